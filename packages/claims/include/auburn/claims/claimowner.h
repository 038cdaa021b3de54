// ClaimOwner serves the claim requests of a failure domain: it appends claims and outcomes to the
// log in batches and replies in log order.
//
// Several owners of the same partition may run at the same time, in one failure domain or in
// several. Each reads the same stream, and the order of its records decides which claim wins.
#pragma once

#include "auburn/claims/claimlog.h"
#include "auburn/claims/idempotencykey.h"
#include "auburn/mesh/bus.h"
#include "auburn/mesh/memberview.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace auburn {

// Minimum interval between two batches of a partition. A claim waits longer for its batch only if
// more claims are queued than fit into one batch, the limits on open batches are reached, or an
// append has failed.
constexpr std::chrono::milliseconds kClaimBatchInterval{ 100 };
// Longest time from a claim to its result.
constexpr std::chrono::milliseconds kClaimTimeout{ 2000 };

class ClaimPartition;

class ClaimOwner
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    struct Options
    {
        std::string selfId;
        MessageBus *bus = nullptr;
        const MemberViewSource *views = nullptr;
        ClaimLog *log = nullptr;
        std::function<TimePoint()> clock = [] { return std::chrono::steady_clock::now(); };
        // Returns the time since the Unix epoch, against which key timestamps are checked. The
        // system clock is used if empty.
        std::function<IdempotencyKey::WallTime()> wallClock;
    };

    // Returns null, with lastError() set, if a required option is missing. Registers the bus
    // handlers for ClaimRequest and ClaimFinish.
    static std::unique_ptr<ClaimOwner> make(Options options);
    ~ClaimOwner();

    // Handles a ClaimRequest or ClaimFinish envelope from the bus or, called directly, from this
    // daemon's own client. Thread-safe.
    void handle(const std::string &sender, const proto::Envelope &envelope);
    // Sets the handler of replies to this daemon's own client. Must be called before the first
    // message.
    void setLocalHandler(MessageBus::Handler handler) { localHandler_ = std::move(handler); }

    // Appends due batches and starts reads of the streams. Must be called every 50 ms.
    void tick(TimePoint now);

private:
    explicit ClaimOwner(Options options);

    // Adds a claim to its partition. A request whose key is invalid or expired is answered with
    // KEY_EXPIRED at once.
    void onRequest(const std::string &sender, const proto::ClaimRequest &request);
    void onFinish(const std::string &sender, const proto::ClaimFinish &finish);
    // Sends a reply over the bus, or to the local handler if this daemon is the receiver.
    void reply(const std::string &receiver, const std::string &attemptId,
               proto::ClaimStatus status);

    const Options options_;
    MessageBus::Handler localHandler_;
    // Indexed by partition number.
    std::vector<std::shared_ptr<ClaimPartition>> partitions_;
};

} // namespace auburn
