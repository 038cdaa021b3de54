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
    , startedAt_(options_.now())
    , batchTimer_(io)
    , expiryTimer_(io)
    , lookupTimer_(io)
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
    processes_.expire(now);
    updateRecordsEra();
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
    return onlyCurrentVersion(service);
}

std::optional<std::string> OriginRegistry::onlyCurrentVersion(const std::string &service) const
{
    if (history_.namesNoVersion(service))
        return std::string();
    std::optional<std::string> baseline = currentBaseline(service);
    if (baseline && isViewCurrent() && history_.onlyVersion(service, options_.now()) == baseline)
        return baseline;
    return std::nullopt;
}

void OriginRegistry::find(const std::string &requestId, const std::string &service,
                          milliseconds timeLimit, VersionHandler handler)
{
    const auto now = options_.now();
    Query query{ .number = ++lastQuery_,
                 .stream = requestId.empty() ? std::nullopt : std::optional(stableHash(requestId)),
                 .service = service,
                 .arrivedAt = now,
                 .deadline = now + timeLimit,
                 .nextQuestionAt = now + options_.questionDelay,
                 .handler = std::move(handler) };
    if (std::optional<Answer> answer = decide(query)) {
        if (!answer->version)
            ++counters_.unknown;
        query.handler(std::move(answer->version));
        return;
    }
    ++counters_.lookups;
    // The store alone cannot decide these.
    if (!isViewCurrent() || !unconfirmedProcesses().empty())
        query.nextQuestionAt = now;
    queries_.push_back(std::move(query));
    askPeers(queries_.back());
    scheduleExpiry();
    startLookup();
}

// A lookup counts only for queries that arrived before it: a stream is recorded before its caller
// can ask for it, so such a lookup finds it.
void OriginRegistry::startLookup()
{
    if (lookupSteps_ > 0)
        return;
    bool isNeeded = false;
    for (Query &query : queries_) {
        query.isInLookup = query.stream.has_value();
        isNeeded = isNeeded || query.isInLookup;
    }
    if (!isNeeded)
        return;
    hasLookupFailed_ = false;
    lookup_ = { .startedAt = options_.now(),
                .era = era_,
                .isRestoreKnown = isRestoreRecent(),
                .unconfirmed = unconfirmedProcesses() };
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
    // A restored log may hold a record that was replaced since, until all daemons have written
    // again.
    if (!isLogComplete(lookup_))
        return;
    // The read began after these streams were resumed, so their first events had been passed on.
    for (const Query &query : queries_) {
        const auto found = query.isInLookup ? streams_.find(*query.stream) : streams_.end();
        if (found != streams_.end())
            found->second.isFinal = true;
    }
}

void OriginRegistry::lookupStepEnded(bool succeeded)
{
    hasLookupFailed_ = hasLookupFailed_ || !succeeded;
    if (--lookupSteps_ > 0)
        return;
    bool hasArrivedMeanwhile = false;
    for (Query &query : queries_) {
        hasArrivedMeanwhile = hasArrivedMeanwhile || (query.stream && !query.isInLookup);
        if (!std::exchange(query.isInLookup, false))
            continue;
        if (hasLookupFailed_) {
            query.nextQuestionAt = options_.now();
            askPeers(query);
        } else {
            query.lookup = lookup_;
        }
    }
    answerQueries();
    if (hasArrivedMeanwhile && !hasLookupFailed_)
        startLookup();
    else
        scheduleLookup();
}

void OriginRegistry::scheduleLookup()
{
    if (queries_.empty() || std::exchange(isLookupScheduled_, true))
        return;
    lookupTimer_.expires_after(options_.retryDelay);
    lookupTimer_.async_wait([this](boost::system::error_code error) {
        isLookupScheduled_ = false;
        if (!error)
            startLookup();
    });
}

std::optional<OriginRegistry::Answer> OriginRegistry::decide(const Query &query) const
{
    if (query.stream && isOfOtherService(*query.stream, query.service))
        return Answer{};
    std::optional<std::string> version = query.stream ? knownVersion(*query.stream, query.service)
                                                      : onlyCurrentVersion(query.service);
    if (version)
        return Answer{ std::move(version) };
    if (query.origin) {
        const bool isOfService = query.origin->service == query.service;
        return Answer{ isOfService ? std::optional(query.origin->softwareVersion) : std::nullopt };
    }
    if (query.lookup) {
        if (std::optional<Answer> answer = decideByRead(query))
            return answer;
    }
    if (std::optional<std::string> only = versionConfirmedByPeers(query))
        return Answer{ std::move(only) };
    // A stream that its caller does not name may be resumed only if one version has served.
    if (!query.stream && isViewCurrent())
        return Answer{};
    return std::nullopt;
}

std::optional<OriginRegistry::Answer> OriginRegistry::decideByRead(const Query &query) const
{
    if (std::optional<std::string> version = recordedVersion(*query.stream, query.service))
        return Answer{ std::move(version) };
    if (isAbsenceProven(query))
        return Answer{ baselineOf(query.service) };
    return std::nullopt;
}

std::optional<std::string> OriginRegistry::recordedVersion(std::uint64_t stream,
                                                           const std::string &service) const
{
    const auto found = streams_.find(stream);
    return found != streams_.end() && found->second.service == service
                   ? std::optional(found->second.version)
                   : std::nullopt;
}

bool OriginRegistry::isRestoreRecent() const
{
    return restoredAt_ && options_.now() - *restoredAt_ < kStreamLifetime;
}

std::vector<std::string> OriginRegistry::unconfirmedProcesses() const
{
    if (!isRestoreRecent() || !era_)
        return {};
    std::vector<std::string> names = processes_.withUnconfirmedRecords(*era_, *restoredAt_);
    // A daemon that started later does not know the processes that were killed before.
    if (startedAt_ > *restoredAt_ && processes_.missRecords(options_.now() - kVersionSettleTime))
        names.emplace_back();
    return names;
}

bool OriginRegistry::missesRecords() const
{
    return isRestoreRecent() && startedAt_ <= *restoredAt_ && !unconfirmedProcesses().empty();
}

bool OriginRegistry::knowsRestore(const Lookup &lookup) const
{
    return !isRestoreRecent() || (lookup.era == era_ && lookup.isRestoreKnown);
}

bool OriginRegistry::isLogComplete(const Lookup &lookup) const
{
    if (!knowsRestore(lookup))
        return false;
    if (!isRestoreRecent())
        return true;
    return processes_.areKnown() ? lookup.unconfirmed.empty()
                                 : lookup.startedAt >= *restoredAt_ + options_.rewriteTime;
}

bool OriginRegistry::isAbsenceProven(const Query &query) const
{
    const Lookup &lookup = *query.lookup;
    if (isLogComplete(lookup))
        return true;
    // A process that does not know the stream has not begun it, whatever its records say.
    return knowsRestore(lookup) && processes_.areKnown()
           && query.denials.haveConfirmed(lookup.unconfirmed, { .askedSince = query.arrivedAt });
}

bool OriginRegistry::isViewCurrent() const
{
    if (!options_.viewConfirmedAt)
        return true;
    const std::optional<Clock::time_point> confirmedAt = options_.viewConfirmedAt();
    return confirmedAt && options_.now() - *confirmedAt <= kVersionSettleTime;
}

std::optional<std::string> OriginRegistry::versionConfirmedByPeers(const Query &query) const
{
    const auto now = options_.now();
    // A process that agreed later cannot have begun a stream of a version that is new since.
    const std::vector<std::string> ahead = processes_.withUnknownServers(now - kVersionSettleTime);
    if (!options_.peers || query.denials.confirmed({}) == 0
        || !query.denials.haveConfirmed(ahead, { .askedSince = query.arrivedAt }))
        return std::nullopt;
    std::set<std::string> versions = query.versions;
    for (std::string &version : history_.versions(query.service))
        versions.insert(std::move(version));
    const bool hasSeenLifetime = query.hasSeenLifetime
                                 || history_.hasSeenLifetime(query.service, now);
    if (versions.size() != 1 || !hasSeenLifetime)
        return std::nullopt;
    const std::optional<std::string> baseline = baselineOf(query.service);
    return !baseline || *baseline == *versions.begin() ? std::optional(*versions.begin())
                                                       : std::nullopt;
}

std::optional<std::string> OriginRegistry::assumedVersion(const std::string &service) const
{
    if (!isViewCurrent())
        return std::nullopt;
    if (std::optional<std::string> only = history_.onlyVersion(service, options_.now()))
        return only;
    // The lost record of a stream may name any version.
    if (isRestoreRecent())
        return std::nullopt;
    const std::optional<std::string> baseline = baselineOf(service);
    std::optional<std::string> version = history_.establishedVersion(service, options_.unixNow());
    return !baseline || baseline == version ? version : std::nullopt;
}

void OriginRegistry::observeProcess(const ProcessState &state)
{
    processes_.observe(state, options_.now());
}

OriginReply OriginRegistry::replyTo(const OriginQuestion &question) const
{
    OriginReply reply{ .versions = history_.versions(question.service),
                       .hasSeenLifetime = history_.hasSeenLifetime(question.service,
                                                                   options_.now()) };
    const auto found = question.stream ? streams_.find(*question.stream) : streams_.end();
    if (found != streams_.end() && (found->second.isOwn || found->second.isFinal))
        reply.origin = { .service = found->second.service,
                         .softwareVersion = found->second.version };
    return reply;
}

void OriginRegistry::handleReply(const OriginReply &reply)
{
    const auto query = std::find_if(queries_.begin(), queries_.end(), [&](const Query &waiting) {
        return waiting.number == reply.number;
    });
    if (query == queries_.end())
        return;
    if (reply.origin) {
        query->origin = reply.origin;
    } else {
        const std::string name = reply.process.name();
        query->denials.expect(name);
        query->denials.confirm(name, 0, query->arrivedAt);
        query->versions.insert(reply.versions.begin(), reply.versions.end());
        query->hasSeenLifetime = query->hasSeenLifetime || reply.hasSeenLifetime;
    }
    answerQueries();
}

void OriginRegistry::askPeers(Query &query)
{
    const auto now = options_.now();
    if (!options_.peers || now < query.nextQuestionAt)
        return;
    query.nextQuestionAt = now + options_.questionDelay;
    ++counters_.questions;
    options_.peers->ask(
            { .number = query.number, .stream = query.stream, .service = query.service });
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
    updateRecordsEra();
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

void OriginRegistry::answerQueries()
{
    const auto now = options_.now();
    std::list<std::pair<VersionHandler, Answer>> answered;
    for (auto query = queries_.begin(); query != queries_.end();) {
        std::optional<Answer> answer = decide(*query);
        if (!answer && query->deadline <= now)
            answer = Answer{ query->stream ? assumedVersion(query->service) : std::nullopt };
        if (!answer) {
            ++query;
            continue;
        }
        if (!answer->version)
            ++counters_.unknown;
        answered.emplace_back(std::move(query->handler), std::move(*answer));
        query = queries_.erase(query);
    }
    // The handlers may begin further queries.
    for (auto &[handler, answer] : answered)
        handler(std::move(answer.version));
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
        for (Query &query : queries_)
            askPeers(query);
        answerQueries();
        if (!waiters_.empty() || !queries_.empty())
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
    // Other daemons may have seen servers return that an old list lacks.
    if (!options_.mayMoveBaselines() || !isViewCurrent() || isAppendingBaseline_)
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
    if (!isViewCurrent())
        return;
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
    const bool isRestored = era_ && era > *era_;
    era_ = std::max(era_.value_or(0), era);
    if (isRestored)
        onStoreRestored();
    updateRecordsEra();
}

void OriginRegistry::observeRestore(milliseconds ago)
{
    const auto at = options_.now() - ago;
    restoredAt_ = std::max(restoredAt_.value_or(at), at);
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

void OriginRegistry::updateRecordsEra()
{
    if (era_ && areBaselinesListed_ && pending_.empty() && !isAppending_)
        recordsEra_ = *era_;
}

} // namespace auburn::streams
