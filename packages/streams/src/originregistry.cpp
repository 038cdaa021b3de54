#include "auburn/streams/originregistry.h"

#include "auburn.pb.h"
#include "auburn/core/hash.h"
#include "auburn/core/log.h"
#include "auburn/proto/parsemessage.h"

#include <algorithm>
#include <random>
#include <utility>

namespace auburn::streams {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds kExpiryInterval{ 50 };
constexpr milliseconds kListInterval{ 2000 };
// When the whole system starts, another daemon writes the baselines within this time.
constexpr milliseconds kFirstListingDelay{ 4000 };

milliseconds randomDelay(milliseconds limit)
{
    static std::minstd_rand random{ std::random_device{}() };
    return milliseconds(std::uniform_int_distribution<std::int64_t>(0, limit.count())(random));
}

} // namespace

OriginRegistry::OriginRegistry(boost::asio::io_context &io, Options options)
    : options_(std::move(options))
    , history_(options_.isFirstStart)
    , batchTimer_(io)
    , expiryTimer_(io)
    , listTimer_(io)
{
    if (options_.isFirstStart)
        nextListing_ = options_.now() + kFirstListingDelay;
}

std::optional<std::string> OriginRegistry::baselineOf(const std::string &service) const
{
    const auto found = baselines_.find(service);
    return found == baselines_.end() ? std::nullopt : std::optional(found->second.version);
}

std::set<std::string> OriginRegistry::resumableServices() const
{
    std::set<std::string> services;
    const auto config = *options_.config;
    if (!config)
        return services;
    for (const routing::Route &route : config->routes()) {
        if (route.kind != routing::RequestKind::Stream || !route.resumable)
            continue;
        for (const routing::WeightedService &entry : route.services)
            services.insert(entry.service);
    }
    return services;
}

void OriginRegistry::update()
{
    const auto now = options_.now();
    history_.observe(*options_.directory, now);
    observeBaselines();
    expireStreams();
    const std::set<std::string> services = resumableServices();
    const bool isNeeded = std::any_of(services.begin(), services.end(), [this](const auto &name) {
        return history_.oldestVersion(name).has_value();
    });
    if (!isNeeded)
        return;
    proposeBaselines();
    if ((!areBaselinesListed_ || needsListing(services)) && now >= nextListing_)
        listBaselines();
}

bool OriginRegistry::needsListing(const std::set<std::string> &services) const
{
    return std::any_of(services.begin(), services.end(), [this](const auto &name) {
        const auto found = baselines_.find(name);
        if (found == baselines_.end())
            return history_.oldestVersion(name).has_value();
        if (found->second.listedGeneration < found->second.generation)
            return true;
        return found->second.mayHaveMoved && isServedForLong(name, found->second);
    });
}

bool OriginRegistry::isServedForLong(const std::string &service, const Baseline &baseline) const
{
    return history_.isListed(service, baseline.version) && baseline.servedSince
           && options_.now() - *baseline.servedSince >= kVersionSettleTime;
}

void OriginRegistry::observeBaselines()
{
    for (auto &[service, baseline] : baselines_) {
        if (!history_.isListed(service, baseline.version)) {
            baseline.mayHaveMoved = true;
            baseline.servedSince.reset();
        } else if (!baseline.servedSince) {
            baseline.servedSince = options_.now();
        }
    }
}

std::optional<std::string> OriginRegistry::currentBaseline(const std::string &service) const
{
    const auto found = baselines_.find(service);
    // After a restore that has lost the baseline, another daemon may write a different one.
    const bool isCurrent = found != baselines_.end() && !found->second.mayHaveMoved
                           && found->second.listedGeneration >= found->second.generation;
    return isCurrent ? std::optional(found->second.version) : std::nullopt;
}

bool OriginRegistry::isOfOtherService(std::uint64_t stream, const std::string &service) const
{
    const auto found = streams_.find(stream);
    return found != streams_.end() && found->second.service != service;
}

std::optional<std::string> OriginRegistry::knownVersion(std::uint64_t stream,
                                                        const std::string &service) const
{
    const auto found = streams_.find(stream);
    if (found != streams_.end() && found->second.service == service
        && (found->second.isOwn || found->second.isFinal))
        return found->second.version;
    if (history_.namesNoVersion(service))
        return std::string();
    std::optional<std::string> baseline = currentBaseline(service);
    if (baseline && history_.onlyVersion(service, options_.now()) == baseline)
        return baseline;
    return std::nullopt;
}

void OriginRegistry::find(const std::string &requestId, const std::string &service,
                          milliseconds timeLimit, VersionHandler handler)
{
    const std::uint64_t stream = stableHash(requestId);
    if (isOfOtherService(stream, service)) {
        ++counters_.unknown;
        handler(std::nullopt);
        return;
    }
    if (std::optional<std::string> version = knownVersion(stream, service)) {
        handler(std::move(version));
        return;
    }
    // A caller that does not name the stream may resume it only if one version has served.
    if (requestId.empty()) {
        ++counters_.unknown;
        handler(std::nullopt);
        return;
    }
    ++counters_.lookups;
    nextQueries_.push_back({ .stream = stream,
                             .service = service,
                             .deadline = options_.now() + timeLimit,
                             .handler = std::move(handler) });
    scheduleExpiry();
    startLookup();
}

// A query is answered only by reads that began after it: a stream is recorded before its caller can
// ask for it, so such a read finds it.
void OriginRegistry::startLookup()
{
    if (lookupSteps_ > 0 || nextQueries_.empty())
        return;
    currentQueries_ = std::exchange(nextQueries_, {});
    hasLookupFailed_ = false;
    lookupStartedAt_ = options_.now();
    lookupSteps_ = 2;
    options_.baselines->list([this](const std::optional<duties::LogListing> &listing) {
        if (listing)
            baselinesListed(listing);
        lookupStepEnded(listing.has_value());
    });
    options_.records->readNew([this](const std::optional<std::vector<OriginRecord>> &records) {
        recordsRead(records);
        lookupStepEnded(records.has_value());
    });
}

void OriginRegistry::recordsRead(const std::optional<std::vector<OriginRecord>> &records)
{
    if (!records)
        return;
    const auto now = options_.now();
    for (const OriginRecord &record : *records) {
        for (const std::uint64_t id : record.streams) {
            Stream &stream = streams_[id];
            // This daemon's own records are older than what it knows, and a restored log may hold
            // an earlier record.
            if (stream.isOwn || stream.isFinal)
                continue;
            stream = { .service = record.service,
                       .version = record.softwareVersion,
                       .knownAt = now,
                       .hasRecord = true };
        }
    }
    // The read began after these streams were resumed, so their first events had been passed on.
    for (const Query &query : currentQueries_) {
        const auto found = streams_.find(query.stream);
        if (found != streams_.end())
            found->second.isFinal = true;
    }
}

void OriginRegistry::lookupStepEnded(bool succeeded)
{
    hasLookupFailed_ = hasLookupFailed_ || !succeeded;
    if (--lookupSteps_ > 0)
        return;
    std::list<Query> queries = std::exchange(currentQueries_, {});
    const bool isComplete = !hasLookupFailed_ && lookupStartedAt_ >= recordsCompleteAt_;
    for (auto query = queries.begin(); query != queries.end();) {
        const auto next = std::next(query);
        // The others are asked again until their time is over.
        if (!isComplete && !knownVersion(query->stream, query->service))
            nextQueries_.splice(nextQueries_.begin(), queries, query);
        query = next;
    }
    if (!isComplete && !nextQueries_.empty()) {
        listTimer_.expires_after(options_.retryDelay);
        listTimer_.async_wait([this](boost::system::error_code error) {
            if (!error)
                startLookup();
        });
    }
    for (const Query &query : queries)
        answer(query, isComplete);
    if (isComplete)
        startLookup();
}

void OriginRegistry::answer(const Query &query, bool isComplete)
{
    std::optional<std::string> version = knownVersion(query.stream, query.service);
    if (!version && !isOfOtherService(query.stream, query.service))
        version = isComplete ? baselineOf(query.service) : assumedVersion(query.service);
    if (!version)
        ++counters_.unknown;
    query.handler(std::move(version));
}

std::optional<std::string> OriginRegistry::assumedVersion(const std::string &service) const
{
    if (std::optional<std::string> only = history_.onlyVersion(service, options_.now()))
        return only;
    // The lost record of a stream may name any version.
    if (options_.now() < recordsCompleteAt_)
        return std::nullopt;
    const std::optional<std::string> baseline = baselineOf(service);
    std::optional<std::string> version = history_.establishedVersion(service, options_.unixNow());
    return !baseline || baseline == version ? version : std::nullopt;
}

std::optional<std::string> OriginRegistry::versionWithoutRecords(const std::string &service) const
{
    if (!isLogLost_)
        return std::nullopt;
    std::optional<std::string> baseline = currentBaseline(service);
    return baseline && history_.isListed(service, *baseline) ? baseline : std::nullopt;
}

std::optional<std::string> OriginRegistry::preferredVersion(const std::string &service) const
{
    if (std::optional<std::string> version = versionWithoutRecords(service))
        return version;
    return settledVersion(service);
}

bool OriginRegistry::preferenceYieldsToLatency(const std::string &service) const
{
    return versionWithoutRecords(service) && !settledVersion(service);
}

std::optional<std::string> OriginRegistry::settledVersion(const std::string &service) const
{
    std::optional<std::string> baseline = baselineOf(service);
    if (!baseline)
        baseline = history_.oldestVersion(service);
    if (!baseline)
        return std::nullopt;
    return history_.preferredVersion(service, *baseline, options_.now(), options_.unixNow());
}

void OriginRegistry::streamSent(const routing::StreamOrigin &origin)
{
    if (history_.namesNoVersion(origin.service))
        return;
    const std::uint64_t id = stableHash(origin.requestId);
    Stream &stream = streams_[id];
    const bool sentBefore = stream.hasRecord || stream.isPending;
    const bool sameVersion = stream.version == origin.softwareVersion;
    stream.service = origin.service;
    stream.version = origin.softwareVersion;
    stream.knownAt = options_.now();
    stream.isOwn = true;
    // A record of a version that the stream was sent to before has to be replaced, also by one of
    // the baseline version.
    const bool isBaseline = currentBaseline(origin.service) == origin.softwareVersion;
    if (isBaseline && !stream.hasRecord)
        stream.isPending = false;
    else if (sentBefore ? !sameVersion : !isBaseline)
        setPending(id, stream);
}

void OriginRegistry::setPending(std::uint64_t id, Stream &stream)
{
    if (!std::exchange(stream.isPending, true))
        pending_.push_back(id);
    scheduleBatch(options_.batchTime);
}

bool OriginRegistry::awaitsRecord(std::uint64_t stream) const
{
    const auto found = streams_.find(stream);
    return found != streams_.end() && (found->second.isPending || appending_.contains(stream));
}

void OriginRegistry::whenFindable(const std::string &requestId, FindableHandler handler)
{
    const std::uint64_t id = stableHash(requestId);
    if (!awaitsRecord(id)) {
        handler(true);
        return;
    }
    if (isLogLost_) {
        ++counters_.unrecorded;
        handler(false);
        return;
    }
    waiters_.push_back({ .stream = id,
                         .deadline = options_.now() + options_.maxRecordWait,
                         .handler = std::move(handler) });
    scheduleExpiry();
}

void OriginRegistry::scheduleBatch(milliseconds delay)
{
    if (isAppending_ || pending_.empty() || std::exchange(isBatchScheduled_, true))
        return;
    batchTimer_.expires_after(delay);
    batchTimer_.async_wait([this](boost::system::error_code error) {
        isBatchScheduled_ = false;
        if (!error)
            appendBatch();
    });
}

void OriginRegistry::appendBatch()
{
    std::vector<std::uint64_t> ids;
    std::map<std::pair<std::string, std::string>, OriginRecord> groups;
    for (const std::uint64_t id : std::exchange(pending_, {})) {
        const auto found = streams_.find(id);
        // A stream that was sent again to the baseline version needs no record any more.
        if (found == streams_.end() || !found->second.isPending)
            continue;
        ids.push_back(id);
        Stream &stream = found->second;
        // The stream may be sent to another version before the append ends.
        stream.isPending = false;
        stream.hasRecord = true;
        OriginRecord &group = groups[{ stream.service, stream.version }];
        group.service = stream.service;
        group.softwareVersion = stream.version;
        group.streams.push_back(id);
    }
    // All of them have expired, so no append tells whether the store is available.
    if (groups.empty()) {
        setLogLost(false);
        return;
    }
    std::vector<OriginRecord> records;
    records.reserve(groups.size());
    for (auto &[key, group] : groups)
        records.push_back(std::move(group));
    isAppending_ = true;
    appending_ = { ids.begin(), ids.end() };
    options_.records->append(records, [this, ids](bool appended) { batchAppended(ids, appended); });
}

void OriginRegistry::batchAppended(const std::vector<std::uint64_t> &ids, bool appended)
{
    isAppending_ = false;
    setLogLost(!appended);
    appending_.clear();
    if (appended)
        counters_.recorded += ids.size();
    for (const std::uint64_t id : ids) {
        const auto found = streams_.find(id);
        if (!appended && found != streams_.end() && !std::exchange(found->second.isPending, true))
            pending_.push_back(id);
    }
    releaseWaiters();
    scheduleBatch(appended ? options_.batchTime : options_.retryDelay);
}

void OriginRegistry::setLogLost(bool isLost)
{
    if (std::exchange(isLogLost_, isLost) == isLost)
        return;
    logEvent(isLost ? LogLevel::Warning : LogLevel::Info, "stream_record_log",
             { { "available", isLost ? "no" : "yes" },
               { "pending", static_cast<long long>(pending_.size() + appending_.size()) } });
}

void OriginRegistry::releaseWaiters()
{
    const auto now = options_.now();
    std::list<Waiter> findable;
    std::list<Waiter> expired;
    for (auto waiter = waiters_.begin(); waiter != waiters_.end();) {
        const auto next = std::next(waiter);
        if (!awaitsRecord(waiter->stream))
            findable.splice(findable.end(), waiters_, waiter);
        else if (isLogLost_ || waiter->deadline <= now)
            expired.splice(expired.end(), waiters_, waiter);
        waiter = next;
    }
    counters_.unrecorded += expired.size();
    // The handlers ask for the preferred version, which depends on the state of the log.
    if (!expired.empty())
        setLogLost(true);
    for (const Waiter &waiter : findable)
        waiter.handler(true);
    for (const Waiter &waiter : expired)
        waiter.handler(false);
}

void OriginRegistry::expireQueries()
{
    const auto now = options_.now();
    std::list<Query> expired;
    for (std::list<Query> *queries : { &currentQueries_, &nextQueries_ }) {
        for (auto query = queries->begin(); query != queries->end();) {
            const auto next = std::next(query);
            if (query->deadline <= now)
                expired.splice(expired.end(), *queries, query);
            query = next;
        }
    }
    for (const Query &query : expired)
        answer(query, false);
}

void OriginRegistry::scheduleExpiry()
{
    if (std::exchange(isExpiryScheduled_, true))
        return;
    expiryTimer_.expires_after(kExpiryInterval);
    expiryTimer_.async_wait([this](boost::system::error_code error) {
        isExpiryScheduled_ = false;
        if (error)
            return;
        releaseWaiters();
        expireQueries();
        if (!waiters_.empty() || !currentQueries_.empty() || !nextQueries_.empty())
            scheduleExpiry();
    });
}

void OriginRegistry::expireStreams()
{
    const auto now = options_.now();
    std::erase_if(streams_, [now](const auto &entry) {
        return now - entry.second.knownAt > kStreamLifetime;
    });
}

void OriginRegistry::listBaselines()
{
    if (std::exchange(isListing_, true))
        return;
    nextListing_ = options_.now() + kListInterval;
    options_.baselines->list([this](const std::optional<duties::LogListing> &listing) {
        isListing_ = false;
        // update() lists again after a failure.
        if (listing)
            baselinesListed(listing);
        if (std::exchange(appendsAfterListing_, false) && listing)
            appendDueBaseline();
    });
}

void OriginRegistry::baselinesListed(const std::optional<duties::LogListing> &listing)
{
    areBaselinesListed_ = true;
    baselinesEnd_ = listing->end;
    for (auto &[service, baseline] : baselines_)
        baseline.listedGeneration = 0;
    for (const duties::LogItem &item : listing->items) {
        proto::StreamBaseline record;
        if (proto::parseMessage(item.value, record) && record.generation() > 0)
            recordBaseline(item.key, { .version = record.software_version(),
                                       .generation = record.generation(),
                                       .listedGeneration = record.generation() });
    }
    for (const auto &[service, baseline] : baselines_) {
        if (baseline.listedGeneration < baseline.generation)
            recordUnlistedStreams(service, std::nullopt);
    }
}

void OriginRegistry::recordUnlistedStreams(const std::string &service,
                                           const std::optional<std::string> &baseline)
{
    for (auto &[id, stream] : streams_) {
        if (stream.isOwn && !stream.hasRecord && stream.service == service
            && stream.version != baseline)
            setPending(id, stream);
    }
}

void OriginRegistry::recordBaseline(const std::string &service, const Baseline &baseline)
{
    Baseline &known = baselines_[service];
    known.listedGeneration = baseline.generation;
    if (baseline.generation == known.generation && isServedForLong(service, known))
        known.mayHaveMoved = false;
    // A store that was restored lists an earlier one. If it lists another one of the same
    // generation, that one was written after the restore, and daemons that start find only that.
    const bool isReplaced = baseline.generation == known.generation
                            && baseline.version != known.version;
    if (baseline.generation <= known.generation && !isReplaced)
        return;
    recordUnlistedStreams(service, baseline.version);
    known = baseline;
    known.mayHaveMoved = !history_.isListed(service, known.version);
    proposalTimes_.erase(service);
    logEvent(LogLevel::Info, "stream_baseline",
             { { "service", service },
               { "version", baseline.version },
               { "generation", static_cast<long long>(baseline.generation) } });
}

std::optional<OriginRegistry::Baseline> OriginRegistry::dueBaseline(const std::string &service,
                                                                    Clock::time_point now) const
{
    const auto known = baselines_.find(service);
    std::optional<std::string> version;
    std::uint64_t generation = 1;
    if (known == baselines_.end()) {
        version = history_.oldestVersion(service);
    } else if (known->second.listedGeneration < known->second.generation) {
        version = known->second.version;
        generation = known->second.generation;
    } else {
        version = history_.successorOf(service, known->second.version, now);
        generation = known->second.generation + 1;
    }
    if (!version)
        return std::nullopt;
    return Baseline{ .version = *version, .generation = generation };
}

void OriginRegistry::proposeBaselines()
{
    if (!options_.mayMoveBaselines() || isAppendingBaseline_)
        return;
    const auto now = options_.now();
    bool isDue = false;
    for (const std::string &service : resumableServices()) {
        if (!dueBaseline(service, now)) {
            proposalTimes_.erase(service);
            continue;
        }
        const auto [time, isNew] = proposalTimes_.try_emplace(service, now);
        if (isNew)
            time->second += randomDelay(options_.baselineSpread);
        isDue = isDue || now >= time->second;
    }
    if (!isDue)
        return;
    appendsAfterListing_ = true;
    listBaselines();
}

void OriginRegistry::appendDueBaseline()
{
    const auto now = options_.now();
    for (const std::string &service : resumableServices()) {
        const std::optional<Baseline> due = dueBaseline(service, now);
        const auto time = proposalTimes_.find(service);
        if (!due || time == proposalTimes_.end() || now < time->second)
            continue;
        proto::StreamBaseline record;
        record.set_software_version(due->version);
        record.set_generation(due->generation);
        isAppendingBaseline_ = true;
        options_.baselines->append(service, record.SerializeAsString(), baselinesEnd_,
                                   [this, service, baseline = *due](const auto &result) {
                                       baselineAppended(service, baseline, result);
                                   });
        return;
    }
}

void OriginRegistry::baselineAppended(const std::string &service, const Baseline &baseline,
                                      const duties::AppendResult &result)
{
    isAppendingBaseline_ = false;
    proposalTimes_.erase(service);
    if (result.status != duties::AppendStatus::Appended) {
        areBaselinesListed_ = false;
        return;
    }
    baselinesEnd_ = result.end;
    recordBaseline(service, baseline);
}

void OriginRegistry::observeEra(std::uint64_t era)
{
    if (era_ && era > *era_)
        onStoreRestored();
    era_ = std::max(era_.value_or(0), era);
}

void OriginRegistry::observeRestore(milliseconds ago)
{
    recordsCompleteAt_ = std::max(recordsCompleteAt_, options_.now() - ago + options_.rewriteTime);
}

void OriginRegistry::onStoreRestored()
{
    observeRestore(milliseconds(0));
    options_.records->restart();
    areBaselinesListed_ = false;
    nextListing_ = options_.now();
    for (auto &[id, stream] : streams_) {
        if (stream.isOwn && stream.hasRecord)
            setPending(id, stream);
    }
}

} // namespace auburn::streams
