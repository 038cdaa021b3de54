// ClaimClient: the front's side of claims.
//
// A claim is answered within kClaimTimeout. A claim whose answer did not come in time is refused
// and never dispatched later; its release is sent until an owner confirms that it is in the log, so
// the key does not stay held.
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
        // This daemon's own owner side, for direct calls.
        ClaimOwner *localOwner = nullptr;
        std::function<TimePoint()> clock = [] { return std::chrono::steady_clock::now(); };
        // Time since the epoch, for the age of keys; empty for the system's clock.
        std::function<IdempotencyKey::WallTime()> wallClock;
    };

    // Null with lastError() set if an option is missing. Sets the bus handler of ClaimReply and the
    // local handler of the owner.
    static std::unique_ptr<ClaimClient> make(Options options);

    void claim(ClaimRequest demand, Callback callback) override;
    void finish(const WonClaim &claim, ExecutionOutcome end) override;

    // Resends, times out; to be called every 50 ms.
    void tick(TimePoint now);

    // Claims without an answer, and outcomes that no owner has confirmed.
    std::size_t pendingCount() const;
    std::size_t unconfirmedCount() const;

private:
    struct Pending
    {
        Callback callback;
        std::string attemptId;
        std::string organisation;
        std::string key;
        Hash128 keyHash;
        std::uint64_t bodyHash = 0;
        unsigned partition = 0;
        TimePoint deadline;
        TimePoint sent;
        unsigned sends = 0;
        // True if the answer must not lead to a dispatch.
        bool refused = false;
    };

    struct Outcome
    {
        proto::ClaimFinish message;
        unsigned partition = 0;
        unsigned sends = 0;
        TimePoint nextSend;
        std::chrono::milliseconds interval{ 0 };
        // The key has expired then, and the outcome has no effect any more.
        TimePoint givesUp;
    };

    struct Outgoing
    {
        std::string receiver;
        proto::Envelope envelope;
    };

    using Outbox = std::vector<Outgoing>;

    explicit ClaimClient(Options options);

    void onReply(const proto::ClaimReply &reply);
    void sendClaim(Pending &pending, TimePoint now, Outbox &outbox) const;
    void addOutcome(const std::string &attemptId, const Hash128 &keyHash,
                    proto::ClaimOutcome outcome, TimePoint now, Outbox &outbox);
    void sendOutcome(Outcome &outcome, TimePoint now, Outbox &outbox) const;
    std::string ownerOf(unsigned partition, unsigned rank) const;
    void send(Outbox outbox);

    const Options options_;
    mutable std::mutex mutex_;
    // By attempt id.
    std::map<std::string, Pending> pending_;
    std::map<std::string, Outcome> outcomes_;
};

} // namespace auburn
