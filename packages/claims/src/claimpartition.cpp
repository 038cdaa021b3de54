#include "claimpartition.h"

#include "auburn/core/log.h"

#include <algorithm>
#include <utility>

namespace auburn {

namespace {

constexpr unsigned kReadMax = 1000;
// A long poll; the log answers earlier when a record arrives.
constexpr std::chrono::milliseconds kReadWait{ 1000 };
// Pause after a failed read or an append without a certain result; for appends it doubles up to the
// maximum.
constexpr std::chrono::milliseconds kRetryPause{ 200 };
constexpr std::chrono::milliseconds kMaxRetryPause{ 5000 };
// Batches that are not read yet, and those among them whose append has no certain result. Further
// claims and outcomes wait, so an outage of the log does not pile up appends.
constexpr std::ptrdiff_t kMaxOpenBatches = 16;
constexpr std::ptrdiff_t kMaxUncertainBatches = 4;
// Claims and outcomes in one batch; at 200 bytes each, a record stays under 100 KB.
constexpr std::size_t kMaxBatchItems = 500;
// Steps of this machine's clock that the choice of the first record to read allows for.
constexpr std::chrono::minutes kClockStep{ 5 };
// A partition that is not owned and not asked stops reading after this time.
constexpr std::chrono::seconds kIdleTime{ 60 };

} // namespace

ClaimPartition::ClaimPartition(Options options)
    : options_(std::move(options))
{}

void ClaimPartition::claim(const std::string &client, proto::ClaimRecord record)
{
    const std::lock_guard lock(mutex_);
    const TimePoint now = options_.clock();
    lastNeeded_ = now;
    const std::string attempt = record.attempt_id();
    const Claim entry{ .record = std::move(record), .client = client, .since = now };
    if (claims_.emplace(attempt, entry).second)
        queuedClaims_.push_back(attempt);
}

void ClaimPartition::finish(const std::string &client, proto::ClaimOutcomeRecord record)
{
    const std::lock_guard lock(mutex_);
    lastNeeded_ = options_.clock();
    const std::string attempt = record.attempt_id();
    const auto [found, inserted] = outcomes_.try_emplace(attempt);
    found->second.clients.insert(client);
    if (!inserted)
        return;
    found->second.record = std::move(record);
    found->second.since = lastNeeded_;
    queuedOutcomes_.push_back(attempt);
}

void ClaimPartition::tick(TimePoint now, bool owned)
{
    Work work;
    {
        const std::lock_guard lock(mutex_);
        if (closed_)
            return;
        if (owned || hasWork())
            lastNeeded_ = now;
        giveUp(now, work);
        retryBatches(now, work);
        makeBatch(now, work);
        const bool needed = now - lastNeeded_ < kIdleTime && lastNeeded_ != TimePoint();
        if (!needed && !reading_)
            forgetFold();
        work.read = needed && !reading_ && now >= readAgainAt_;
        reading_ = reading_ || work.read;
    }
    perform(work);
}

void ClaimPartition::close()
{
    const std::lock_guard lock(mutex_);
    closed_ = true;
}

void ClaimPartition::perform(const Work &work)
{
    for (const Answer &answer : work.answers)
        options_.reply(answer.receiver, answer.attemptId, answer.status);
    for (const std::uint64_t number : work.appends)
        append(number);
    if (work.read)
        read();
}

void ClaimPartition::append(std::uint64_t number)
{
    std::string bytes;
    {
        const std::lock_guard lock(mutex_);
        const auto batch = batches_.find(number);
        if (batch == batches_.end())
            return;
        bytes = batch->second.bytes;
    }
    options_.log->append(options_.stream, std::move(bytes),
                         [weak = weak_from_this(), number](const ClaimAppendResult &result) {
                             if (const auto self = weak.lock())
                                 self->onAppended(number, result);
                         });
}

void ClaimPartition::read()
{
    std::uint64_t from = 0;
    bool searching = false;
    {
        const std::lock_guard lock(mutex_);
        if (!fold_ && !search_) {
            const IdempotencyKey::WallTime oldestValid = options_.wallClock()
                                                         - kIdempotencyKeyLifetime
                                                         - kMaxClientClockSkew;
            search_.emplace(oldestValid - kClockStep, kReadMax);
        }
        searching = search_.has_value();
        from = searching ? search_->offset() : nextOffset_;
    }
    options_.log->read(options_.stream, from, searching ? 1 : kReadMax,
                       searching ? std::chrono::milliseconds(0) : kReadWait,
                       [weak = weak_from_this()](const ClaimReadResult &result) {
                           if (const auto self = weak.lock())
                               self->onRead(result);
                       });
}

void ClaimPartition::onAppended(std::uint64_t number, const ClaimAppendResult &result)
{
    Work work;
    {
        const std::lock_guard lock(mutex_);
        const auto found = batches_.find(number);
        if (closed_ || found == batches_.end())
            return;
        Batch &batch = found->second;
        if (std::holds_alternative<ClaimAppended>(result)) {
            // The read answers the claims; the batch stays in flight until it has been read.
            return;
        }
        batch.inFlight = false;
        batch.retryAt = options_.clock() + batch.retryPause;
        batch.retryPause = std::min(2 * batch.retryPause, kMaxRetryPause);
        if (std::holds_alternative<ClaimAppendUnknown>(result))
            batch.uncertain = true;
        if (batch.uncertain)
            return;
        for (const std::string &attempt : batch.claims)
            answer({ .attemptId = attempt, .status = proto::CLAIM_STATUS_LOG_UNAVAILABLE }, work);
        for (const std::string &attempt : batch.outcomes)
            queuedOutcomes_.push_back(attempt);
        lastBatch_ = options_.clock() + kRetryPause;
        batches_.erase(found);
    }
    perform(work);
}

void ClaimPartition::onRead(const ClaimReadResult &result)
{
    Work work;
    {
        const std::lock_guard lock(mutex_);
        reading_ = false;
        if (closed_)
            return;
        if (!result.succeeded) {
            readAgainAt_ = options_.clock() + kRetryPause;
            return;
        }
        if (search_)
            onSearchRead(result, work);
        else
            onRecords(result, work);
        reading_ = work.read;
    }
    perform(work);
}

void ClaimPartition::onSearchRead(const ClaimReadResult &result, Work &work)
{
    search_->take(result);
    work.read = true;
    if (!search_->isDone())
        return;
    nextOffset_ = search_->start();
    fold_.emplace(ClaimStateMachine::Options{});
    search_.reset();
}

void ClaimPartition::onRecords(const ClaimReadResult &result, Work &work)
{
    noteGap(result);
    for (const ClaimLogRecord &record : result.records) {
        if (record.offset < nextOffset_)
            continue;
        foldRecord(record, work);
        nextOffset_ = record.offset + 1;
    }
    // Catch up at once; otherwise the next tick reads, which bounds the number of reads.
    work.read = nextOffset_ < result.next && !result.records.empty();
}

void ClaimPartition::foldRecord(const ClaimLogRecord &record, Work &work)
{
    for (const ClaimDecision &decision : fold_->apply(record))
        answer(decision, work);
    proto::ClaimBatch batch;
    if (!batch.ParseFromString(record.data))
        return;
    answerOutcomes(batch, work);
    if (batch.writer() == options_.writer)
        batches_.erase(batch.batch());
}

void ClaimPartition::answer(const ClaimDecision &decision, Work &work)
{
    const auto found = claims_.find(decision.attemptId);
    if (found == claims_.end())
        return;
    work.answers.push_back({ found->second.client, decision.attemptId, decision.status });
    claims_.erase(found);
}

void ClaimPartition::answerOutcomes(const proto::ClaimBatch &batch, Work &work)
{
    for (const proto::ClaimOutcomeRecord &outcome : batch.outcomes()) {
        const auto found = outcomes_.find(outcome.attempt_id());
        if (found == outcomes_.end())
            continue;
        for (const std::string &client : found->second.clients)
            work.answers.push_back(
                    { client, outcome.attempt_id(), proto::CLAIM_STATUS_UNSPECIFIED });
        outcomes_.erase(found);
    }
}

void ClaimPartition::noteGap(const ClaimReadResult &result)
{
    if (result.earliest <= nextOffset_)
        return;
    // The records that are gone are older than the first one that is left. Normally their keys have
    // expired; if the log keeps less than that, the keys are refused.
    const IdempotencyKey::WallTime oldestValid = options_.wallClock() - kIdempotencyKeyLifetime
                                                 - kMaxClientClockSkew;
    if (!result.records.empty() && result.records.front().time > oldestValid) {
        fold_->markRecordsMissingBefore(result.records.front().time);
        logEvent(LogLevel::Error, "claims-missing",
                 { { "stream", options_.stream },
                   { "earliest", static_cast<long long>(result.earliest) } });
    }
    nextOffset_ = result.earliest;
}

void ClaimPartition::makeBatch(TimePoint now, Work &work)
{
    const bool due = now - lastBatch_ >= kClaimBatchInterval;
    const auto uncertain = std::count_if(batches_.begin(), batches_.end(),
                                         [](const auto &entry) { return entry.second.uncertain; });
    const bool full = uncertain >= kMaxUncertainBatches || std::ssize(batches_) >= kMaxOpenBatches;
    if (!due || full || (queuedClaims_.empty() && queuedOutcomes_.empty()))
        return;
    lastBatch_ = now;
    const std::uint64_t number = nextBatch_++;
    proto::ClaimBatch message;
    message.set_writer(options_.writer);
    message.set_batch(number);
    Batch batch;
    batch.retryPause = kRetryPause;
    batch.inFlight = true;
    while (!queuedClaims_.empty() && batch.claims.size() < kMaxBatchItems) {
        const std::string attempt = std::move(queuedClaims_.front());
        queuedClaims_.pop_front();
        const auto found = claims_.find(attempt);
        if (found == claims_.end())
            continue;
        *message.add_claims() = found->second.record;
        batch.claims.push_back(attempt);
    }
    while (!queuedOutcomes_.empty() && batch.outcomes.size() < kMaxBatchItems) {
        const std::string attempt = std::move(queuedOutcomes_.front());
        queuedOutcomes_.pop_front();
        const auto found = outcomes_.find(attempt);
        if (found == outcomes_.end())
            continue;
        *message.add_outcomes() = found->second.record;
        batch.outcomes.push_back(attempt);
    }
    if (batch.claims.empty() && batch.outcomes.empty())
        return;
    batch.bytes = message.SerializeAsString();
    batches_.emplace(number, std::move(batch));
    work.appends.push_back(number);
}

void ClaimPartition::retryBatches(TimePoint now, Work &work)
{
    for (auto one = batches_.begin(); one != batches_.end();) {
        Batch &batch = one->second;
        if (batch.inFlight || now < batch.retryAt) {
            ++one;
            continue;
        }
        const auto waits = [](const auto &table) {
            return [&table](const std::string &attempt) { return table.contains(attempt); };
        };
        const bool wanted = std::any_of(batch.claims.begin(), batch.claims.end(), waits(claims_))
                            || std::any_of(batch.outcomes.begin(), batch.outcomes.end(),
                                           waits(outcomes_));
        if (!wanted) {
            one = batches_.erase(one);
            continue;
        }
        batch.inFlight = true;
        work.appends.push_back(one->first);
        ++one;
    }
}

void ClaimPartition::giveUp(TimePoint now, Work &work)
{
    std::vector<std::string> late;
    for (const auto &[attempt, claim] : claims_) {
        if (now - claim.since >= kClaimTimeout)
            late.push_back(attempt);
    }
    for (const std::string &attempt : late)
        answer({ .attemptId = attempt, .status = proto::CLAIM_STATUS_LOG_UNAVAILABLE }, work);
    // The key of an older outcome has expired.
    std::erase_if(outcomes_, [&](const auto &entry) {
        return now - entry.second.since > kIdempotencyKeyLifetime + kMaxClientClockSkew;
    });
}

bool ClaimPartition::hasWork() const
{
    return !claims_.empty() || !outcomes_.empty();
}

void ClaimPartition::forgetFold()
{
    search_.reset();
    fold_.reset();
    nextOffset_ = 0;
}

} // namespace auburn
