#include "claimpartition.h"

#include "auburn/core/log.h"

#include <algorithm>
#include <utility>

namespace auburn {

namespace {

constexpr unsigned kMaxRecordsPerRead = 1000;
// Longest wait of a read for a new record; the log responds earlier when one arrives.
constexpr std::chrono::milliseconds kLongPollTimeout{ 1000 };
// Delay before repeating a failed read or an append that failed or whose result is unknown. For
// appends with an unknown result it doubles up to the maximum.
constexpr std::chrono::milliseconds kRetryDelay{ 200 };
constexpr std::chrono::milliseconds kMaxRetryDelay{ 5000 };
// Limits on the batches that have not been read back, and on those among them whose append result
// is unknown. Further claims and outcomes wait in the queues, so that appends do not accumulate
// during an outage of the log.
constexpr std::ptrdiff_t kMaxOpenBatches = 16;
constexpr std::ptrdiff_t kMaxUncertainBatches = 4;
// Maximum number of claims, and of outcomes, in one batch. At 200 bytes each, either kind adds at
// most 100 KB to a record.
constexpr std::size_t kMaxBatchItems = 500;
// Steps of the local clock that are tolerated when the first record to read is chosen.
constexpr std::chrono::minutes kClockStepTolerance{ 5 };
// A partition that is not owned and has no requests stops reading after this time.
constexpr std::chrono::seconds kIdleTimeout{ 60 };

} // namespace

ClaimPartition::ClaimPartition(Options options)
    : options_(std::move(options))
{}

void ClaimPartition::claim(const std::string &client, proto::ClaimRecord record)
{
    const std::lock_guard lock(mutex_);
    const TimePoint now = options_.clock();
    lastActive_ = now;
    const std::string attemptId = record.attempt_id();
    const PendingClaim entry{ .record = std::move(record), .client = client, .receivedAt = now };
    if (claims_.emplace(attemptId, entry).second)
        queuedClaims_.push_back(attemptId);
}

void ClaimPartition::finish(const std::string &client, proto::ClaimOutcomeRecord record)
{
    const std::lock_guard lock(mutex_);
    lastActive_ = options_.clock();
    const std::string attemptId = record.attempt_id();
    const auto [found, inserted] = outcomes_.try_emplace(attemptId);
    found->second.clients.insert(client);
    if (!inserted)
        return;
    found->second.record = std::move(record);
    found->second.receivedAt = lastActive_;
    queuedOutcomes_.push_back(attemptId);
}

void ClaimPartition::tick(TimePoint now, bool isOwner)
{
    DeferredWork work;
    {
        const std::lock_guard lock(mutex_);
        if (closed_)
            return;
        if (isOwner || hasPendingRequests())
            lastActive_ = now;
        expireRequests(now, work);
        retryBatches(now, work);
        createBatch(now, work);
        const bool isActive = now - lastActive_ < kIdleTimeout && lastActive_ != TimePoint();
        if (!isActive && !reading_)
            resetStateMachine();
        work.read = isActive && !reading_ && now >= nextReadAt_;
        reading_ = reading_ || work.read;
    }
    perform(work);
}

void ClaimPartition::close()
{
    const std::lock_guard lock(mutex_);
    closed_ = true;
}

void ClaimPartition::perform(const DeferredWork &work)
{
    for (const OutgoingReply &reply : work.replies)
        options_.reply(reply.receiver, reply.attemptId, reply.status);
    for (const std::uint64_t number : work.appends)
        append(number);
    if (work.read)
        read();
}

void ClaimPartition::append(std::uint64_t number)
{
    std::string serializedBatch;
    {
        const std::lock_guard lock(mutex_);
        const auto batch = batches_.find(number);
        if (batch == batches_.end())
            return;
        serializedBatch = batch->second.serializedBatch;
    }
    options_.log->append(options_.stream, std::move(serializedBatch),
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
        if (!stateMachine_ && !startSearch_) {
            const IdempotencyKey::WallTime oldestValidKeyTime = options_.wallClock()
                                                                - kIdempotencyKeyLifetime
                                                                - kMaxCallerClockSkew;
            startSearch_.emplace(oldestValidKeyTime - kClockStepTolerance, kMaxRecordsPerRead);
        }
        searching = startSearch_.has_value();
        from = searching ? startSearch_->probeOffset() : nextOffset_;
    }
    options_.log->read(options_.stream, from, searching ? 1 : kMaxRecordsPerRead,
                       searching ? std::chrono::milliseconds(0) : kLongPollTimeout,
                       [weak = weak_from_this()](const ClaimReadResult &result) {
                           if (const auto self = weak.lock())
                               self->onRead(result);
                       });
}

void ClaimPartition::onAppended(std::uint64_t number, const ClaimAppendResult &result)
{
    DeferredWork work;
    {
        const std::lock_guard lock(mutex_);
        const auto found = batches_.find(number);
        if (closed_ || found == batches_.end())
            return;
        Batch &batch = found->second;
        if (std::holds_alternative<ClaimAppended>(result)) {
            // The claims are answered when the record is read. Until then the batch stays in
            // flight.
            return;
        }
        batch.inFlight = false;
        batch.retryAt = options_.clock() + batch.retryDelay;
        batch.retryDelay = std::min(2 * batch.retryDelay, kMaxRetryDelay);
        if (std::holds_alternative<ClaimAppendUnknown>(result))
            batch.uncertain = true;
        if (batch.uncertain)
            return;
        for (const std::string &attemptId : batch.claims)
            queueReply({ .attemptId = attemptId, .status = proto::CLAIM_STATUS_LOG_UNAVAILABLE },
                       work);
        for (const std::string &attemptId : batch.outcomes)
            queuedOutcomes_.push_back(attemptId);
        lastBatchTime_ = options_.clock() + kRetryDelay;
        batches_.erase(found);
    }
    perform(work);
}

void ClaimPartition::onRead(const ClaimReadResult &result)
{
    DeferredWork work;
    {
        const std::lock_guard lock(mutex_);
        reading_ = false;
        if (closed_)
            return;
        if (!result.succeeded) {
            nextReadAt_ = options_.clock() + kRetryDelay;
            return;
        }
        if (startSearch_)
            onSearchResult(result, work);
        else
            onRecords(result, work);
        reading_ = work.read;
    }
    perform(work);
}

void ClaimPartition::onSearchResult(const ClaimReadResult &result, DeferredWork &work)
{
    startSearch_->addReadResult(result);
    work.read = true;
    if (!startSearch_->isDone())
        return;
    nextOffset_ = startSearch_->startOffset();
    stateMachine_.emplace(ClaimStateMachine::Options{});
    startSearch_.reset();
}

void ClaimPartition::onRecords(const ClaimReadResult &result, DeferredWork &work)
{
    handleRetentionGap(result);
    for (const ClaimLogRecord &record : result.records) {
        if (record.offset < nextOffset_)
            continue;
        applyRecord(record, work);
        nextOffset_ = record.offset + 1;
    }
    // Continue immediately while behind the end of the stream. Otherwise the next tick starts the
    // read, which bounds the rate of reads.
    work.read = nextOffset_ < result.next && !result.records.empty();
}

void ClaimPartition::applyRecord(const ClaimLogRecord &record, DeferredWork &work)
{
    for (const ClaimDecision &decision : stateMachine_->apply(record))
        queueReply(decision, work);
    proto::ClaimBatch batch;
    if (!batch.ParseFromString(record.data))
        return;
    queueOutcomeReplies(batch, work);
    if (batch.writer() == options_.writer)
        batches_.erase(batch.batch());
}

void ClaimPartition::queueReply(const ClaimDecision &decision, DeferredWork &work)
{
    const auto found = claims_.find(decision.attemptId);
    if (found == claims_.end())
        return;
    work.replies.push_back({ found->second.client, decision.attemptId, decision.status });
    claims_.erase(found);
}

void ClaimPartition::queueOutcomeReplies(const proto::ClaimBatch &batch, DeferredWork &work)
{
    for (const proto::ClaimOutcomeRecord &outcome : batch.outcomes()) {
        const auto found = outcomes_.find(outcome.attempt_id());
        if (found == outcomes_.end())
            continue;
        for (const std::string &client : found->second.clients)
            work.replies.push_back(
                    { client, outcome.attempt_id(), proto::CLAIM_STATUS_UNSPECIFIED });
        outcomes_.erase(found);
    }
}

void ClaimPartition::handleRetentionGap(const ClaimReadResult &result)
{
    if (result.earliest <= nextOffset_)
        return;
    // The removed records are older than the first retained one. Normally their keys have expired.
    // If the retention of the log is shorter than the lifetime of keys, the keys are refused.
    const IdempotencyKey::WallTime oldestValidKeyTime = options_.wallClock()
                                                        - kIdempotencyKeyLifetime
                                                        - kMaxCallerClockSkew;
    if (!result.records.empty() && result.records.front().time > oldestValidKeyTime) {
        stateMachine_->markRecordsMissingBefore(result.records.front().time);
        logEvent(LogLevel::Error, "claims-missing",
                 { { "stream", options_.stream },
                   { "earliest", static_cast<long long>(result.earliest) } });
    }
    nextOffset_ = result.earliest;
}

void ClaimPartition::createBatch(TimePoint now, DeferredWork &work)
{
    const bool due = now - lastBatchTime_ >= kClaimBatchInterval;
    const auto uncertain = std::count_if(batches_.begin(), batches_.end(),
                                         [](const auto &entry) { return entry.second.uncertain; });
    const bool full = uncertain >= kMaxUncertainBatches || std::ssize(batches_) >= kMaxOpenBatches;
    if (!due || full || (queuedClaims_.empty() && queuedOutcomes_.empty()))
        return;
    lastBatchTime_ = now;
    const std::uint64_t number = nextBatchNumber_++;
    proto::ClaimBatch message;
    message.set_writer(options_.writer);
    message.set_batch(number);
    Batch batch;
    batch.retryDelay = kRetryDelay;
    batch.inFlight = true;
    while (!queuedClaims_.empty() && batch.claims.size() < kMaxBatchItems) {
        const std::string attemptId = std::move(queuedClaims_.front());
        queuedClaims_.pop_front();
        const auto found = claims_.find(attemptId);
        if (found == claims_.end())
            continue;
        *message.add_claims() = found->second.record;
        batch.claims.push_back(attemptId);
    }
    while (!queuedOutcomes_.empty() && batch.outcomes.size() < kMaxBatchItems) {
        const std::string attemptId = std::move(queuedOutcomes_.front());
        queuedOutcomes_.pop_front();
        const auto found = outcomes_.find(attemptId);
        if (found == outcomes_.end())
            continue;
        *message.add_outcomes() = found->second.record;
        batch.outcomes.push_back(attemptId);
    }
    if (batch.claims.empty() && batch.outcomes.empty())
        return;
    batch.serializedBatch = message.SerializeAsString();
    batches_.emplace(number, std::move(batch));
    work.appends.push_back(number);
}

void ClaimPartition::retryBatches(TimePoint now, DeferredWork &work)
{
    for (auto it = batches_.begin(); it != batches_.end();) {
        Batch &batch = it->second;
        if (batch.inFlight || now < batch.retryAt) {
            ++it;
            continue;
        }
        const auto isPending = [](const auto &table) {
            return [&table](const std::string &attemptId) { return table.contains(attemptId); };
        };
        const bool stillPending = std::any_of(batch.claims.begin(), batch.claims.end(),
                                              isPending(claims_))
                                  || std::any_of(batch.outcomes.begin(), batch.outcomes.end(),
                                                 isPending(outcomes_));
        if (!stillPending) {
            it = batches_.erase(it);
            continue;
        }
        batch.inFlight = true;
        work.appends.push_back(it->first);
        ++it;
    }
}

void ClaimPartition::expireRequests(TimePoint now, DeferredWork &work)
{
    std::vector<std::string> timedOut;
    for (const auto &[attemptId, claim] : claims_) {
        if (now - claim.receivedAt >= kClaimTimeout)
            timedOut.push_back(attemptId);
    }
    for (const std::string &attemptId : timedOut)
        queueReply({ .attemptId = attemptId, .status = proto::CLAIM_STATUS_LOG_UNAVAILABLE }, work);
    // The keys of older outcomes have expired.
    std::erase_if(outcomes_, [&](const auto &entry) {
        return now - entry.second.receivedAt > kIdempotencyKeyLifetime + kMaxCallerClockSkew;
    });
}

bool ClaimPartition::hasPendingRequests() const
{
    return !claims_.empty() || !outcomes_.empty();
}

void ClaimPartition::resetStateMachine()
{
    startSearch_.reset();
    stateMachine_.reset();
    nextOffset_ = 0;
}

} // namespace auburn
