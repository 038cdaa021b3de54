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
// Delay before an outcome is resent; it doubles after each send up to the maximum.
constexpr std::chrono::milliseconds kInitialOutcomeDelay{ 500 };
constexpr std::chrono::milliseconds kMaxOutcomeDelay{ 15000 };

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

Refusal expiredKeyRefusal()
{
    // An earlier request with the key may have run, and its claim may have been removed.
    return makeRefusal(RefusalCode::IdempotencyKeyExpired, Verdict::MayHaveRun,
                       "the idempotency key is older than its lifetime");
}

Refusal logUnavailableRefusal()
{
    return makeRefusal(RefusalCode::LogUnavailable, Verdict::DidNotRun,
                       "the claim log is unavailable or did not decide the claim in time");
}

std::optional<Refusal> refusalForValidity(IdempotencyKeyValidity validity)
{
    switch (validity) {
    case IdempotencyKeyValidity::Valid:
        return std::nullopt;
    case IdempotencyKeyValidity::Expired:
        return expiredKeyRefusal();
    case IdempotencyKeyValidity::TooFarInFuture:
        break;
    }
    return makeRefusal(RefusalCode::IdempotencyKeyInvalid, Verdict::DidNotRun,
                       "the timestamp of the idempotency key is too far in the future");
}

Refusal refusalForStatus(proto::ClaimStatus status)
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
        return expiredKeyRefusal();
    default:
        return logUnavailableRefusal();
    }
}

proto::ClaimOutcome toClaimOutcome(ExecutionOutcome outcome)
{
    return outcome == ExecutionOutcome::Completed ? proto::CLAIM_OUTCOME_COMPLETED
                                                  : proto::CLAIM_OUTCOME_RELEASED;
}

std::string toBytes(std::uint64_t hash)
{
    return { reinterpret_cast<const char *>(&hash), sizeof(hash) };
}

} // namespace

std::unique_ptr<ClaimClient> ClaimClient::make(Options options)
{
    if (!options.bus || !options.views || !options.localOwner || options.selfId.empty()) {
        setLastError("claim client requires a daemon id, a bus, a view source and a claim owner");
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

void ClaimClient::claim(ClaimRequest request, Callback callback)
{
    if (request.key.empty()) {
        callback(makeRefusal(RefusalCode::IdempotencyKeyMissing, Verdict::DidNotRun,
                             "a non-idempotent request needs an Idempotency-Key"));
        return;
    }
    const std::optional<IdempotencyKey> key = IdempotencyKey::parse(request.key);
    if (!key) {
        callback(makeRefusal(RefusalCode::IdempotencyKeyInvalid, Verdict::DidNotRun, lastError()));
        return;
    }
    if (const auto refusal = refusalForValidity(key->validityAt(options_.wallClock()))) {
        callback(*refusal);
        return;
    }
    const TimePoint now = options_.clock();
    PendingClaim pending;
    pending.keyHash = key->hashFor(request.organisation);
    pending.partition = claimPartition(pending.keyHash);
    pending.bodyHash = stableHash(request.body);
    pending.attemptId = makeRandomId();
    pending.deadline = now + kClaimTimeout;
    pending.callback = std::move(callback);
    pending.organisation = std::move(request.organisation);
    pending.key = std::move(request.key);
    Outbox outbox;
    {
        const std::lock_guard lock(mutex_);
        const std::string attemptId = pending.attemptId;
        PendingClaim &entry = pending_.emplace(attemptId, std::move(pending)).first->second;
        sendClaim(entry, now, outbox);
    }
    send(std::move(outbox));
}

void ClaimClient::finish(const WonClaim &claim, ExecutionOutcome outcome)
{
    const std::optional<IdempotencyKey> key = IdempotencyKey::parse(claim.key);
    if (!key || outcome == ExecutionOutcome::Unknown)
        return;
    Outbox outbox;
    {
        const std::lock_guard lock(mutex_);
        addOutcome(claim.attemptId, key->hashFor(claim.organisation), toClaimOutcome(outcome),
                   options_.clock(), outbox);
    }
    send(std::move(outbox));
}

void ClaimClient::tick(TimePoint now)
{
    Outbox outbox;
    std::vector<Callback> timedOut;
    {
        const std::lock_guard lock(mutex_);
        for (auto it = pending_.begin(); it != pending_.end();) {
            PendingClaim &pending = it->second;
            if (now >= pending.deadline) {
                timedOut.push_back(std::move(pending.callback));
                addOutcome(pending.attemptId, pending.keyHash, proto::CLAIM_OUTCOME_RELEASED, now,
                           outbox);
                it = pending_.erase(it);
                continue;
            }
            if (now - pending.lastSent >= kResendInterval)
                sendClaim(pending, now, outbox);
            ++it;
        }
        std::erase_if(outcomes_, [&](const auto &entry) { return now >= entry.second.expiresAt; });
        for (auto &entry : outcomes_) {
            if (now >= entry.second.nextSend)
                sendOutcome(entry.second, now, outbox);
        }
    }
    for (const Callback &callback : timedOut)
        callback(logUnavailableRefusal());
    send(std::move(outbox));
}

std::size_t ClaimClient::pendingClaimCount() const
{
    const std::lock_guard lock(mutex_);
    return pending_.size();
}

std::size_t ClaimClient::unconfirmedOutcomeCount() const
{
    const std::lock_guard lock(mutex_);
    return outcomes_.size();
}

void ClaimClient::onReply(const proto::ClaimReply &reply)
{
    Outbox outbox;
    std::optional<PendingClaim> answered;
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
        // If this process was paused, a win may be handled after its deadline. The claim is then
        // released like any other that was not answered in time.
        const bool late = now >= answered->deadline;
        if (late || reply.status() == proto::CLAIM_STATUS_LOG_UNAVAILABLE) {
            addOutcome(answered->attemptId, answered->keyHash, proto::CLAIM_OUTCOME_RELEASED, now,
                       outbox);
            answered->refused = true;
        }
    }
    send(std::move(outbox));
    if (answered->refused)
        answered->callback(logUnavailableRefusal());
    else if (reply.status() == proto::CLAIM_STATUS_WON)
        answered->callback(WonClaim{ .attemptId = answered->attemptId,
                                     .organisation = answered->organisation,
                                     .key = answered->key });
    else
        answered->callback(refusalForStatus(reply.status()));
}

void ClaimClient::sendClaim(PendingClaim &pending, TimePoint now, Outbox &outbox) const
{
    proto::Envelope envelope;
    proto::ClaimRequest *message = envelope.mutable_claim_request();
    message->set_attempt_id(pending.attemptId);
    message->set_organisation(pending.organisation);
    message->set_key(pending.key);
    message->set_body_hash(toBytes(pending.bodyHash));
    pending.lastSent = now;
    const unsigned rank = pending.sendCount++ / kSendsPerOwner;
    outbox.push_back({ ownerAtRank(pending.partition, rank), std::move(envelope) });
}

void ClaimClient::addOutcome(const std::string &attemptId, const Hash128 &keyHash,
                             proto::ClaimOutcome outcome, TimePoint now, Outbox &outbox)
{
    PendingOutcome entry;
    entry.partition = claimPartition(keyHash);
    entry.resendDelay = kInitialOutcomeDelay;
    entry.expiresAt = now + kIdempotencyKeyLifetime + kMaxCallerClockSkew;
    entry.message.set_attempt_id(attemptId);
    entry.message.set_key_hash_high(keyHash.high);
    entry.message.set_key_hash_low(keyHash.low);
    entry.message.set_outcome(outcome);
    const auto [found, inserted] = outcomes_.emplace(attemptId, std::move(entry));
    if (inserted)
        sendOutcome(found->second, now, outbox);
}

void ClaimClient::sendOutcome(PendingOutcome &outcome, TimePoint now, Outbox &outbox) const
{
    proto::Envelope envelope;
    *envelope.mutable_claim_finish() = outcome.message;
    outcome.nextSend = now + outcome.resendDelay;
    outcome.resendDelay = std::min(2 * outcome.resendDelay, kMaxOutcomeDelay);
    outbox.push_back({ ownerAtRank(outcome.partition, outcome.sendCount++ / kSendsPerOwner),
                       std::move(envelope) });
}

std::string ClaimClient::ownerAtRank(unsigned partition, unsigned rank) const
{
    const auto view = options_.views->view();
    const std::vector<std::string> ranked = view ? view->rankedOwners(
                                                    claimOwnerKey(view->failureDomain, partition))
                                                 : std::vector<std::string>();
    // Every daemon that receives a claim reads the stream, so only the first two are used.
    const std::size_t candidateCount = std::min<std::size_t>(ranked.size(), 2);
    return candidateCount == 0 ? options_.selfId : ranked[rank % candidateCount];
}

void ClaimClient::send(Outbox outbox)
{
    for (OutgoingMessage &outgoing : outbox) {
        outgoing.envelope.set_sender(options_.selfId);
        if (outgoing.receiver == options_.selfId)
            options_.localOwner->handle(options_.selfId, outgoing.envelope);
        else
            options_.bus->send(outgoing.receiver, std::move(outgoing.envelope));
    }
}

} // namespace auburn
