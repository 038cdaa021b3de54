#include "connectionpool.h"

#include <algorithm>

namespace auburn::gateway {

using std::chrono::milliseconds;

namespace {

// For servers that do not announce how long they keep an idle connection.
constexpr milliseconds kDefaultIdleTime{ 4000 };
// A connection is given up this much earlier than the server would close it.
constexpr milliseconds kIdleMargin{ 800 };
constexpr std::size_t kIdlePerServer = 48;
// Part of the connections that a server accepts which may be idle. A server resets those beyond its
// limit, and a request that was sent on one may have run.
constexpr double kIdleShare = 0.5;

milliseconds idleTimeLimit(const OutboundConnection &connection)
{
    if (!connection.keepAlive())
        return kDefaultIdleTime;
    return std::max(milliseconds(200), milliseconds(*connection.keepAlive()) - kIdleMargin);
}

bool isFresh(const OutboundConnection &connection, milliseconds maxIdle)
{
    const auto idle = OutboundConnection::Clock::now() - connection.idleSince();
    return idle <= std::min(maxIdle, idleTimeLimit(connection));
}

} // namespace

ConnectionPool::ConnectionPool(boost::asio::io_context &io)
    : io_(io)
{}

std::shared_ptr<OutboundConnection> ConnectionPool::take(const std::string &address,
                                                         milliseconds maxIdle)
{
    const auto found = idle_.find(address);
    if (found != idle_.end() && !found->second.empty()) {
        std::shared_ptr<OutboundConnection> newest = found->second.back();
        if (newest->isReusable() && isFresh(*newest, maxIdle)) {
            found->second.pop_back();
            return newest;
        }
    }
    return std::make_shared<OutboundConnection>(io_, address);
}

std::size_t idleConnectionLimit(unsigned accepted, unsigned daemons)
{
    if (accepted == 0)
        return kIdlePerServer;
    const double share = kIdleShare * accepted / std::max(1U, daemons);
    return std::clamp<std::size_t>(static_cast<std::size_t>(share), 1, kIdlePerServer);
}

void ConnectionPool::put(const std::shared_ptr<OutboundConnection> &connection,
                         std::size_t idleLimit)
{
    std::vector<std::shared_ptr<OutboundConnection>> &idle = idle_[connection->address()];
    if (!connection->isReusable() || idle.size() >= idleLimit) {
        connection->close();
        return;
    }
    idle.push_back(connection);
    connection->watchIdle([pool = weak_from_this(), address = connection->address()] {
        const auto self = pool.lock();
        if (!self)
            return;
        std::erase_if(self->idle_[address], [](const auto &entry) { return entry->isClosed(); });
    });
}

void ConnectionPool::sweep()
{
    for (auto &[address, idle] : idle_) {
        std::erase_if(idle, [](const auto &connection) {
            if (isFresh(*connection, milliseconds::max()))
                return false;
            connection->close();
            return true;
        });
    }
    std::erase_if(idle_, [](const auto &entry) { return entry.second.empty(); });
}

void ConnectionPool::drop(const std::string &address)
{
    const auto found = idle_.find(address);
    if (found == idle_.end())
        return;
    for (const auto &connection : found->second)
        connection->close();
    idle_.erase(found);
}

} // namespace auburn::gateway
