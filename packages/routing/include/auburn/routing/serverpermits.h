// ServerPermits keeps the limits that backend servers have named: it grants the requests to a
// server, one at a time, for all daemons. Each server has one daemon that does so, its permit
// owner.
//
// A permit is a token of a bucket that fills at the server's limit. If the owner sees only a part
// of the fleet, the others may have an owner of their own, so it uses no more than that part of the
// limit. Requests that have to wait for a permit get it by their urgency, but none waits for more
// urgent ones forever.
#pragma once

#include "auburn/routing/trafficconfig.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <map>
#include <string>

namespace auburn::routing {

// A request for one permit.
struct PermitQuery
{
    std::string serverId;
    // The limit that the server has named.
    double requestsPerSecond = 0;
    // Part of the fleet that the owner sees, 0 to 1.
    double fleetShare = 1;
    // 0 is the most urgent.
    int urgency = 0;
};

struct PermitDecision
{
    bool granted = false;
    // If not granted: the time after which it is worth asking again.
    std::chrono::milliseconds wait{ 0 };
};

class ServerPermits
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    PermitDecision decide(const PermitQuery &query, TimePoint now);
    // Drops the bucket of a server that restarted or was removed.
    void remove(const std::string &serverId);

private:
    static constexpr std::size_t kUrgencies = static_cast<std::size_t>(kLowestUrgency) + 1;

    // The requests of one urgency that were denied a permit and have got none since.
    struct Waiting
    {
        TimePoint since;
        // Requests of this urgency come back before this time, or not at all.
        TimePoint until;
    };
    struct Bucket
    {
        double tokens = 1;
        TimePoint updatedAt;
        std::array<Waiting, kUrgencies> waiting{};
    };

    Bucket &bucketOf(const std::string &serverId, TimePoint now);
    static void refill(Bucket &bucket, double rate, TimePoint now);
    // True if requests of another urgency are waiting and come first.
    static bool mustYield(const Bucket &bucket, std::size_t urgency, TimePoint now);
    static void recordDenial(Waiting &waiting, double rate, TimePoint now);

    std::map<std::string, Bucket> buckets_;
};

} // namespace auburn::routing
