#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace auburn::duties {

enum class CallStatus {
    Accepted,
    // No servers of the requested kind are available there at the moment.
    NoneAvailable,
    RateLimited,
    // Another response that says that nothing was done.
    Rejected,
    // Nothing was sent: the permit had ended, or no connection was made.
    NotSent,
    // No response arrived: the call may have taken effect.
    Unknown,
};

// Returns the name of the status for logs and metrics.
std::string_view callStatusName(CallStatus status);

// Number of requests of each organisation that backend servers began to run in one window.
struct UsageFigure
{
    std::uint64_t window = 0;
    std::map<std::string, std::uint64_t> requests;

    bool operator==(const UsageFigure &) const = default;
};

// The number of servers of one kind that a service shall have in a failure domain.
struct ServerOrder
{
    std::string service;
    std::string failureDomain;
    unsigned desired = 0;
    // Spot servers are cheaper, but the platform may reclaim them.
    bool spot = false;

    bool operator==(const ServerOrder &) const = default;
};

// DutyApi is the platform's interface for duties. It checks the permit directly before each call
// and never retries.
class DutyApi
{
public:
    using Handler = std::function<void(CallStatus)>;

    virtual ~DutyApi() = default;

    virtual void reportUsage(const UsageFigure &figure, Handler handler) = 0;
    virtual void orderServers(const ServerOrder &order, Handler handler) = 0;
};

} // namespace auburn::duties
