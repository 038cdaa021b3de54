#include "auburn/claims/claimclient.h"

#include "auburn/core/hash.h"
#include "auburn/core/ids.h"
#include "auburn/core/lasterror.h"

#include <algorithm>
#include <utility>

namespace auburn {

namespace {

// Two sends to the owner and two to the next daemon fit into kClaimTimeout.
constexpr std::chrono::milliseconds kResendInterval{ 500 };
constexpr unsigned kSendsPerOwner = 2;
constexpr std::chrono::milliseconds kFirstOutcomeInterval{ 500 };
constexpr std::chrono::milliseconds kMaxOutcomeInterval{ 15000 };

IdempotencyKey::WallTime systemTime()
{
    return std::chrono::duration_cast<IdempotencyKey::WallTime>(
            std::chrono::system_clock::now().time_since_epoch());
}

Refusal makeRefusal(RefusalCode code, Verdict verdict, std::string message)
{
    return Refusal{
        .code = code, .verdict = verdict, .message = std::move(message), .retryAfter = std::nullopt
    };
}

Refusal expiredKey()
{
    // An earlier request with the key may have run; its claim may be forgotten.
    return makeRefusal(RefusalCode::IdempotencyKeyExpired, Verdict::MayHaveRun,
                       "the idempotency key is older than its lifetime");
}

Refusal unavailableLog()
{
    return makeRefusal(RefusalCode::LogUnavailable, Verdict::DidNotRun,
                       "the claim could not be decided in time");
}

std::optional<Refusal> refusalOfAge(IdempotencyKeyValidity age)
{
    switch (age) {
    case IdempotencyKeyValidity::Valid:
        return std::nullopt;
    case IdempotencyKeyValidity::Expired:
        return expiredKey();
    case IdempotencyKeyValidity::TooFarInFuture:
        break;
    }
    return makeRefusal(RefusalCode::IdempotencyKeyInvalid, Verdict::DidNotRun,
                       "the time of the idempotency key is in the future");
}

Refusal refusalOfStatus(proto::ClaimStatus status)
{
    switch (status) {
    case proto::CLAIM_STATUS_HELD:
        return makeRefusal(RefusalCode::IdempotencyKeyHeld, Verdict::MayHaveRun,
                           "another request with the idempotency key is in progress, or its "
                           "outcome is unknown");
    case proto::CLAIM_STATUS_COMPLETED:
        return makeRefusal(RefusalCode::AlreadyCompleted, Verdict::Ran,
                           "a request with the idempotency key has completed");
    case proto::CLAIM_STATUS_BODY_MISMATCH:
        return makeRefusal(RefusalCode::IdempotencyKeyReused, Verdict::DidNotRun,
                           "the idempotency key was used with another body");
    case proto::CLAIM_STATUS_KEY_EXPIRED:
        return expiredKey();
    default:
        return unavailableLog();
    }
}

proto::ClaimOutcome outcomeOf(ExecutionOutcome end)
{
    return end == ExecutionOutcome::Completed ? proto::CLAIM_OUTCOME_COMPLETED
                                              : proto::CLAIM_OUTCOME_RELEASED;
}

std::string bytesOf(std::uint64_t hash)
{
    return { reinterpret_cast<const char *>(&hash), sizeof(hash) };
}

} // namespace

std::unique_ptr<ClaimClient> ClaimClient::make(Options options)
{
    if (!options.bus || !options.views || !options.localOwner || options.selfId.empty()) {
        setLastError("claim client needs a daemon id, a bus, a view source and a claim owner");
        return nullptr;
    }
    if (!options.wallClock)
        options.wallClock = systemTime;
    std::unique_ptr<ClaimClient> client(new ClaimClient(std::move(options)));
    const MessageBus::Handler handler = [self = client.get()](const std::string &,
                                                              const proto::Envelope &envelope) {
        self->onReply(envelope.claim_reply());
    };
    client->options_.bus->setHandler(proto::Envelope::kClaimReply, handler);
    client->options_.localOwner->setLocalHandler(handler);
    return client;
}

ClaimClient::ClaimClient(Options options)
    : options_(std::move(options))
{}

void ClaimClient::claim(ClaimRequest demand, Callback callback)
{
    if (demand.key.empty()) {
        callback(makeRefusal(RefusalCode::IdempotencyKeyMissing, Verdict::DidNotRun,
                             "a non-idempotent request needs an Idempotency-Key"));
        return;
    }
    const std::optional<IdempotencyKey> key = IdempotencyKey::parse(demand.key);
    if (!key) {
        callback(makeRefusal(RefusalCode::IdempotencyKeyInvalid, Verdict::DidNotRun, lastError()));
        return;
    }
    if (const auto refusal = refusalOfAge(key->validityAt(options_.wallClock()))) {
        callback(*refusal);
        return;
    }
    const TimePoint now = options_.clock();
    Pending pending;
    pending.keyHash = key->hashFor(demand.organisation);
    pending.partition = claimPartition(pending.keyHash);
    pending.bodyHash = stableHash(demand.body);
    pending.attemptId = makeRandomId();
    pending.deadline = now + kClaimTimeout;
    pending.callback = std::move(callback);
    pending.organisation = std::move(demand.organisation);
    pending.key = std::move(demand.key);
    Outbox outbox;
    {
        const std::lock_guard lock(mutex_);
        const std::string attempt = pending.attemptId;
        Pending &entry = pending_.emplace(attempt, std::move(pending)).first->second;
        sendClaim(entry, now, outbox);
    }
    send(std::move(outbox));
}

void ClaimClient::finish(const WonClaim &claim, ExecutionOutcome end)
{
    const std::optional<IdempotencyKey> key = IdempotencyKey::parse(claim.key);
    if (!key || end == ExecutionOutcome::Unknown)
        return;
    Outbox outbox;
    {
        const std::lock_guard lock(mutex_);
        addOutcome(claim.attemptId, key->hashFor(claim.organisation), outcomeOf(end),
                   options_.clock(), outbox);
    }
    send(std::move(outbox));
}

void ClaimClient::tick(TimePoint now)
{
    Outbox outbox;
    std::vector<Callback> late;
    {
        const std::lock_guard lock(mutex_);
        for (auto one = pending_.begin(); one != pending_.end();) {
            Pending &pending = one->second;
            if (now >= pending.deadline) {
                late.push_back(std::move(pending.callback));
                addOutcome(pending.attemptId, pending.keyHash, proto::CLAIM_OUTCOME_RELEASED, now,
                           outbox);
                one = pending_.erase(one);
                continue;
            }
            if (now - pending.sent >= kResendInterval)
                sendClaim(pending, now, outbox);
            ++one;
        }
        std::erase_if(outcomes_, [&](const auto &entry) { return now >= entry.second.givesUp; });
        for (auto &entry : outcomes_) {
            if (now >= entry.second.nextSend)
                sendOutcome(entry.second, now, outbox);
        }
    }
    for (const Callback &callback : late)
        callback(unavailableLog());
    send(std::move(outbox));
}

std::size_t ClaimClient::pendingCount() const
{
    const std::lock_guard lock(mutex_);
    return pending_.size();
}

std::size_t ClaimClient::unconfirmedCount() const
{
    const std::lock_guard lock(mutex_);
    return outcomes_.size();
}

void ClaimClient::onReply(const proto::ClaimReply &reply)
{
    Outbox outbox;
    std::optional<Pending> answered;
    {
        const std::lock_guard lock(mutex_);
        if (reply.status() == proto::CLAIM_STATUS_UNSPECIFIED) {
            outcomes_.erase(reply.attempt_id());
            return;
        }
        const auto found = pending_.find(reply.attempt_id());
        if (found == pending_.end())
            return;
        const TimePoint now = options_.clock();
        answered = std::move(found->second);
        pending_.erase(found);
        // A paused process may find a win that is too late; its claim is released like any other
        // that did not come in time.
        const bool late = now >= answered->deadline;
        if (late || reply.status() == proto::CLAIM_STATUS_LOG_UNAVAILABLE) {
            addOutcome(answered->attemptId, answered->keyHash, proto::CLAIM_OUTCOME_RELEASED, now,
                       outbox);
            answered->refused = true;
        }
    }
    send(std::move(outbox));
    if (answered->refused)
        answered->callback(unavailableLog());
    else if (reply.status() == proto::CLAIM_STATUS_WON)
        answered->callback(WonClaim{ .attemptId = answered->attemptId,
                                     .organisation = answered->organisation,
                                     .key = answered->key });
    else
        answered->callback(refusalOfStatus(reply.status()));
}

void ClaimClient::sendClaim(Pending &pending, TimePoint now, Outbox &outbox) const
{
    proto::Envelope envelope;
    proto::ClaimRequest *message = envelope.mutable_claim_request();
    message->set_attempt_id(pending.attemptId);
    message->set_organisation(pending.organisation);
    message->set_key(pending.key);
    message->set_body_hash(bytesOf(pending.bodyHash));
    pending.sent = now;
    const unsigned rank = pending.sends++ / kSendsPerOwner;
    outbox.push_back({ ownerOf(pending.partition, rank), std::move(envelope) });
}

void ClaimClient::addOutcome(const std::string &attemptId, const Hash128 &keyHash,
                             proto::ClaimOutcome outcome, TimePoint now, Outbox &outbox)
{
    Outcome entry;
    entry.partition = claimPartition(keyHash);
    entry.interval = kFirstOutcomeInterval;
    entry.givesUp = now + kIdempotencyKeyLifetime + kMaxClientClockSkew;
    entry.message.set_attempt_id(attemptId);
    entry.message.set_key_hash_high(keyHash.high);
    entry.message.set_key_hash_low(keyHash.low);
    entry.message.set_outcome(outcome);
    const auto [found, inserted] = outcomes_.emplace(attemptId, std::move(entry));
    if (inserted)
        sendOutcome(found->second, now, outbox);
}

void ClaimClient::sendOutcome(Outcome &outcome, TimePoint now, Outbox &outbox) const
{
    proto::Envelope envelope;
    *envelope.mutable_claim_finish() = outcome.message;
    outcome.nextSend = now + outcome.interval;
    outcome.interval = std::min(2 * outcome.interval, kMaxOutcomeInterval);
    outbox.push_back(
            { ownerOf(outcome.partition, outcome.sends++ / kSendsPerOwner), std::move(envelope) });
}

// The daemon at a rank of the partition's order; ranks beyond the last one start again.
std::string ClaimClient::ownerOf(unsigned partition, unsigned rank) const
{
    const auto view = options_.views->view();
    const std::vector<std::string> ranked = view ? view->rankedOwners(
                                                    claimOwnerKey(view->failureDomain, partition))
                                                 : std::vector<std::string>();
    // More than two daemons in turn would each have to read the stream.
    const std::size_t choices = std::min<std::size_t>(ranked.size(), 2);
    return choices == 0 ? options_.selfId : ranked[rank % choices];
}

void ClaimClient::send(Outbox outbox)
{
    for (Outgoing &outgoing : outbox) {
        outgoing.envelope.set_sender(options_.selfId);
        if (outgoing.receiver == options_.selfId)
            options_.localOwner->handle(options_.selfId, outgoing.envelope);
        else
            options_.bus->send(outgoing.receiver, std::move(outgoing.envelope));
    }
}

} // namespace auburn
