#include "callerconnections.h"

#include "callerconnection.h"

#include "auburn/core/log.h"

#include <chrono>
#include <malloc.h>
#include <utility>
#include <vector>

namespace auburn::gateway {

namespace {

constexpr std::chrono::milliseconds kRoundInterval{ 250 };
// A connection is stalled after about a second in which it moved fewer than 4 KiB. A caller that
// uploads 4 MiB within the body timeout moves 50 times as much.
constexpr unsigned kStalledRounds = 4;

} // namespace

CallerConnections::CallerConnections(boost::asio::io_context &io, Options options)
    : timer_(io)
    , options_(std::move(options))
{
    options_.memory->setPressureHandler(options_.memory->percent(kPressurePercent),
                                        [this] { scheduleRound(); });
}

CallerConnections::~CallerConnections()
{
    options_.memory->setPressureHandler(0, nullptr);
}

void CallerConnections::add(CallerConnection &connection)
{
    connections_.push_back(connection);
    if (isCrowded())
        scheduleRound();
}

void CallerConnections::addIdle(CallerConnection &connection)
{
    idleConnections_.push_back(connection);
}

void CallerConnections::forEach(const std::function<void(CallerConnection &)> &action)
{
    for (const auto &owner : owners())
        action(*owner);
}

// An action on one connection may end another, so the list itself cannot be walked meanwhile.
std::vector<std::shared_ptr<CallerConnection>> CallerConnections::owners()
{
    std::vector<std::shared_ptr<CallerConnection>> result;
    for (CallerConnection &connection : connections_) {
        if (auto owner = connection.weak_from_this().lock())
            result.push_back(std::move(owner));
    }
    return result;
}

bool CallerConnections::closeLongestIdle()
{
    for (CallerConnection &connection : idleConnections_) {
        const auto owner = connection.weak_from_this().lock();
        if (!owner || !owner->closeIfIdle())
            continue;
        ++unloggedIdle_;
        scheduleRound();
        return true;
    }
    return false;
}

bool CallerConnections::isUnderPressure() const
{
    const MemoryBudget &memory = *options_.memory;
    return memory.used() > memory.percent(kPressurePercent);
}

bool CallerConnections::isCrowded() const
{
    return *options_.connections > options_.maxConnections * kCrowdedPercent / 100;
}

void CallerConnections::scheduleRound()
{
    if (std::exchange(scheduled_, true))
        return;
    timer_.expires_after(kRoundInterval);
    timer_.async_wait([this](boost::system::error_code error) {
        if (error)
            return;
        scheduled_ = false;
        runRound();
    });
}

void CallerConnections::runRound()
{
    // One line for each round, whatever the number of connections, so that the log stays bounded.
    if (const std::size_t closed = std::exchange(unloggedIdle_, 0); closed > 0)
        recordShed("descriptors", closed);
    const std::vector<std::shared_ptr<CallerConnection>> connections = owners();
    std::vector<ConnectionLoad> loads;
    loads.reserve(connections.size());
    for (const auto &connection : connections)
        loads.push_back(connection->nextRound());
    const bool underPressure = isUnderPressure();
    if (!underPressure && !isCrowded())
        return;
    const MemoryBudget &memory = *options_.memory;
    const bool emergency = memory.used() > memory.percent(kEmergencyPercent);
    SheddingGoal goal{ .minStalledRounds = emergency ? 0 : kStalledRounds };
    if (underPressure)
        goal.excessBytes = memory.used() - memory.percent(kRelievedPercent);
    if (isCrowded())
        goal.excessConnections = *options_.connections
                                 - options_.maxConnections * kUncrowdedPercent / 100;
    const std::vector<std::size_t> chosen = selectConnectionsToShed(loads, goal);
    for (const std::size_t index : chosen)
        connections[index]->shed(underPressure ? "memory_pressure" : "connection_limit");
    if (!chosen.empty()) {
        recordShed(underPressure ? "memory" : "descriptors", chosen.size());
        // The C library keeps freed blocks for later ones of the same size. Mapping large blocks
        // one by one instead costs 0.4 ms for each body of 400 KB, also in calm.
        ::malloc_trim(0);
    }
    scheduleRound();
}

void CallerConnections::recordShed(const char *reason, std::size_t connections)
{
    const MemoryBudget &memory = *options_.memory;
    logEvent(LogLevel::Warning, "connections_shed",
             { { "reason", reason },
               { "connections", static_cast<long long>(connections) },
               { "open", static_cast<long long>(*options_.connections) },
               { "held_bytes", static_cast<long long>(memory.used()) },
               { "limit_bytes", static_cast<long long>(memory.limit()) } });
    if (options_.metrics)
        options_.metrics
                ->counter(
                        "auburn_connections_shed_total",
                        "Caller connections closed, or their requests rejected, because memory or "
                        "descriptors were short",
                        { { "reason", reason } })
                .add(static_cast<double>(connections));
}

} // namespace auburn::gateway
