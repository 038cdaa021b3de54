// ClaimClient acquires and finishes claims on behalf of this daemon's requests. It sends them to
// the claim owners of the failure domain and matches the replies.
//
// Every claim is answered within kClaimTimeout. A claim without a reply by then is refused and its
// request is never dispatched afterwards. Its release is resent until an owner confirms that it is
// in the log; otherwise the key would stay held.
#pragma once

#include "auburn/claims/claimowner.h"
#include "auburn/claims/claimservice.h"
#include "auburn/claims/idempotencykey.h"
#include "auburn/mesh/bus.h"
#include "auburn/mesh/memberview.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace auburn {

class ClaimClient : public ClaimService
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    struct Options
    {
        std::string selfId;
        MessageBus *bus = nullptr;
        const MemberViewSource *views = nullptr;
        // This daemon's claim owner, called directly when this daemon is the receiver of a message.
        ClaimOwner *localOwner = nullptr;
        std::function<TimePoint()> clock = [] { return std::chrono::steady_clock::now(); };
        // Returns the time since the Unix epoch, against which key timestamps are checked. The
        // system clock is used if empty.
        std::function<IdempotencyKey::WallTime()> wallClock;
    };

    // Returns null, with lastError() set, if a required option is missing. Registers the bus
    // handler for ClaimReply and the local handler of the owner.
    static std::unique_ptr<ClaimClient> make(Options options);

    void claim(ClaimRequest request, Callback callback) override;
    void finish(const WonClaim &claim, ExecutionOutcome outcome) override;

    // Resends unanswered messages and expires overdue claims. Must be called every 50 ms.
    void tick(TimePoint now);

    // Number of claims that wait for a reply.
    std::size_t pendingClaimCount() const;
    // Number of outcomes that no owner has confirmed yet.
    std::size_t unconfirmedOutcomeCount() const;

private:
    // A claim that waits for its reply.
    struct PendingClaim
    {
        Callback callback;
        std::string attemptId;
        std::string organisation;
        std::string key;
        Hash128 keyHash;
        std::uint64_t bodyHash = 0;
        unsigned partition = 0;
        TimePoint deadline;
        TimePoint lastSent;
        unsigned sendCount = 0;
        // True if the claim is refused whatever its reply says, because the reply came too late or
        // the log was unavailable.
        bool refused = false;
    };

    // An outcome that is resent, with exponential backoff, until an owner confirms it.
    struct PendingOutcome
    {
        proto::ClaimFinish message;
        unsigned partition = 0;
        unsigned sendCount = 0;
        TimePoint nextSend;
        std::chrono::milliseconds resendDelay{ 0 };
        // Time at which the key has certainly expired, so that the outcome has no effect any more.
        TimePoint expiresAt;
    };

    struct OutgoingMessage
    {
        std::string receiver;
        proto::Envelope envelope;
    };

    using Outbox = std::vector<OutgoingMessage>;

    explicit ClaimClient(Options options);

    // Completes the claim or the outcome that the reply refers to.
    void onReply(const proto::ClaimReply &reply);
    // Appends the message of a claim to the outbox, which is sent after the mutex is released.
    void sendClaim(PendingClaim &pending, TimePoint now, Outbox &outbox) const;
    // Registers an outcome and sends it for the first time. Does nothing if the attempt already has
    // one.
    void addOutcome(const std::string &attemptId, const Hash128 &keyHash,
                    proto::ClaimOutcome outcome, TimePoint now, Outbox &outbox);
    // Appends the message of an outcome to the outbox and schedules the next one.
    void sendOutcome(PendingOutcome &outcome, TimePoint now, Outbox &outbox) const;
    // Returns the id of the daemon at the given rank in the partition's rendezvous order. Ranks
    // wrap around after the second daemon. Returns this daemon's id if no daemon is ready.
    std::string ownerAtRank(unsigned partition, unsigned rank) const;
    void send(Outbox outbox);

    const Options options_;
    mutable std::mutex mutex_;
    // Both are keyed by attempt id.
    std::map<std::string, PendingClaim> pending_;
    std::map<std::string, PendingOutcome> outcomes_;
};

} // namespace auburn
