#include "connectionpool.h"

#include <algorithm>
#include <cstddef>

namespace auburn::gateway {

using std::chrono::milliseconds;

namespace {

// The idle limit for servers that announce no keep-alive timeout.
constexpr milliseconds kDefaultMaxIdle{ 4000 };
// A connection is dropped this long before the server would close it.
constexpr milliseconds kKeepAliveMargin{ 800 };
constexpr std::size_t kMaxIdlePerServer = 48;
// The fraction of the connections accepted by a server that all daemons together may keep idle. A
// server resets connections beyond its limit, and a request that was sent on such a connection may
// have run.
constexpr double kMaxIdleFraction = 0.5;

milliseconds serverIdleLimit(const OutboundConnection &connection)
{
    if (!connection.keepAlive())
        return kDefaultMaxIdle;
    return std::max(milliseconds(200), milliseconds(*connection.keepAlive()) - kKeepAliveMargin);
}

bool isWithinIdleLimit(const OutboundConnection &connection, milliseconds maxIdle)
{
    const auto idle = OutboundConnection::Clock::now() - connection.idleSince();
    return idle <= std::min(maxIdle, serverIdleLimit(connection));
}

} // namespace

ConnectionPool::ConnectionPool(boost::asio::io_context &io)
    : io_(io)
{}

ConnectionPool::Acquired ConnectionPool::acquire(const std::string &address, milliseconds maxIdle,
                                                 std::string_view requestId)
{
    Acquired result{ .connection = std::make_shared<OutboundConnection>(io_, address) };
    const auto found = idleByAddress_.find(address);
    if (found == idleByAddress_.end())
        return result;
    std::vector<std::shared_ptr<OutboundConnection>> &idle = found->second;
    std::shared_ptr<OutboundConnection> carrier;
    // The newest connections are last.
    for (std::size_t i = idle.size(); i > 0; --i) {
        std::shared_ptr<OutboundConnection> connection = idle[i - 1];
        if (!connection->isReusable() || !isWithinIdleLimit(*connection, maxIdle))
            break;
        if (connection->hasCarried(requestId)) {
            result.repeatsId = true;
            carrier = connection;
            continue;
        }
        idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(i - 1));
        if (connection->isQuiet()) {
            result.connection = std::move(connection);
            return result;
        }
        connection->close();
    }
    if (carrier) {
        std::erase(idle, carrier);
        carrier->close();
    }
    return result;
}

std::size_t idleConnectionLimit(unsigned acceptedConnections, unsigned liveDaemons)
{
    if (acceptedConnections == 0)
        return kMaxIdlePerServer;
    const double share = kMaxIdleFraction * acceptedConnections / std::max(1U, liveDaemons);
    return std::clamp<std::size_t>(static_cast<std::size_t>(share), 1, kMaxIdlePerServer);
}

void ConnectionPool::release(const std::shared_ptr<OutboundConnection> &connection,
                             std::size_t idleLimit)
{
    std::vector<std::shared_ptr<OutboundConnection>> &idle = idleByAddress_[connection->address()];
    if (!connection->isReusable() || idle.size() >= idleLimit) {
        connection->close();
        return;
    }
    idle.push_back(connection);
    connection->watchIdle([pool = weak_from_this(), address = connection->address()] {
        const auto self = pool.lock();
        if (!self)
            return;
        std::erase_if(self->idleByAddress_[address],
                      [](const auto &entry) { return entry->isClosed(); });
    });
}

void ConnectionPool::closeExpired()
{
    for (auto &[address, idle] : idleByAddress_) {
        std::erase_if(idle, [](const auto &connection) {
            if (isWithinIdleLimit(*connection, milliseconds::max()))
                return false;
            connection->close();
            return true;
        });
    }
    std::erase_if(idleByAddress_, [](const auto &entry) { return entry.second.empty(); });
}

void ConnectionPool::closeIdleTo(const std::string &address)
{
    const auto found = idleByAddress_.find(address);
    if (found == idleByAddress_.end())
        return;
    for (const auto &connection : found->second)
        connection->close();
    idleByAddress_.erase(found);
}

} // namespace auburn::gateway
