// ClaimOwner: collects the claims of a failure domain, appends them to the log in batches, and
// answers them in log order.
//
// Several owners of one partition may run at once, in one failure domain or in several: each reads
// the same stream, and the order there decides.
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

// Longest time that a claim waits for its batch.
constexpr std::chrono::milliseconds kClaimBatchInterval{ 100 };
// Longest time from a claim to its answer.
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
        // Time since the epoch, for the age of keys; empty for the system's clock.
        std::function<IdempotencyKey::WallTime()> wallClock;
    };

    // Null with lastError() set if an option is missing. Sets the bus handlers of ClaimRequest and
    // ClaimFinish.
    static std::unique_ptr<ClaimOwner> make(Options options);
    ~ClaimOwner();

    // Handles one claim message; also the direct path for this daemon's own client. Thread-safe.
    void handle(const std::string &sender, const proto::Envelope &envelope);
    // Receives the answers to this daemon's own client; set before the first message.
    void setLocalHandler(MessageBus::Handler handler) { localHandler_ = std::move(handler); }

    // Appends batches, reads the streams; to be called every 50 ms.
    void tick(TimePoint now);

private:
    explicit ClaimOwner(Options options);

    void onRequest(const std::string &sender, const proto::ClaimRequest &request);
    void onFinish(const std::string &sender, const proto::ClaimFinish &finish);
    void reply(const std::string &receiver, const std::string &attemptId,
               proto::ClaimStatus status);

    const Options options_;
    MessageBus::Handler localHandler_;
    std::vector<std::shared_ptr<ClaimPartition>> partitions_;
};

} // namespace auburn
