#pragma once

#include "auburn/gateway/outboundconnection.h"

#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace auburn::gateway {

// Returns the number of idle connections that a daemon may keep to one backend server.
// acceptedConnections is the number of connections that the server accepts from all daemons, or 0
// if unknown.
std::size_t idleConnectionLimit(unsigned acceptedConnections, unsigned liveDaemons);

// ConnectionPool keeps the idle connections to backend servers for reuse, by address.
class ConnectionPool : public std::enable_shared_from_this<ConnectionPool>
{
public:
    explicit ConnectionPool(boost::asio::io_context &io);

    // A connection for one call.
    struct Acquired
    {
        std::shared_ptr<OutboundConnection> connection;
        // An idle connection was passed over because it had carried a request with the same id.
        bool repeatsId = false;
    };
    // Returns the most recently used idle connection that is quiet, has been idle for at most
    // maxIdle and has not carried a request with the id, or a new one if there is none. A new one
    // replaces a connection that has carried the id, because a server may reset connections beyond
    // those that it has.
    Acquired acquire(const std::string &address, std::chrono::milliseconds maxIdle,
                     std::string_view requestId);
    // Returns a connection to the pool. It is closed if it is not reusable or idleLimit connections
    // to its address are idle already.
    void release(const std::shared_ptr<OutboundConnection> &connection, std::size_t idleLimit);
    // Closes connections that have been idle for too long.
    void closeExpired();
    // Closes all idle connections to the address.
    void closeIdleTo(const std::string &address);

private:
    boost::asio::io_context &io_;
    std::unordered_map<std::string, std::vector<std::shared_ptr<OutboundConnection>>>
            idleByAddress_;
};

} // namespace auburn::gateway
