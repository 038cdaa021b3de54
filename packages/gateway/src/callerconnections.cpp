#include "callerconnections.h"

#include "callerconnection.h"

#include <malloc.h>
#include <utility>
#include <vector>

namespace auburn::gateway {

CallerConnections::CallerConnections(boost::asio::io_context &io, Options options)
    : timer_(io)
    , options_(std::move(options))
    , policy_(options_.memory, options_.maxConnections, options_.metrics)
{
    options_.memory->setPressureHandler(options_.memory->percent(SheddingPolicy::kPressurePercent),
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

void CallerConnections::scheduleRound()
{
    if (std::exchange(scheduled_, true))
        return;
    timer_.expires_after(SheddingPolicy::kRoundInterval);
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
        policy_.record("descriptors", closed, *options_.connections);
    const std::vector<std::shared_ptr<CallerConnection>> connections = owners();
    std::vector<ConnectionLoad> loads;
    loads.reserve(connections.size());
    for (const auto &connection : connections)
        loads.push_back(connection->nextRound());
    const bool underPressure = isUnderPressure();
    if (!underPressure && !isCrowded())
        return;
    const std::vector<std::size_t> chosen = selectConnectionsToShed(
            loads, policy_.goal(*options_.connections));
    for (const std::size_t index : chosen)
        connections[index]->shed(underPressure ? "memory_pressure" : "connection_limit");
    if (!chosen.empty()) {
        policy_.record(underPressure ? "memory" : "descriptors", chosen.size(),
                       *options_.connections);
        // The C library keeps freed blocks for later ones of the same size.
        ::malloc_trim(0);
    }
    scheduleRound();
}

} // namespace auburn::gateway
