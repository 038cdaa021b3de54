// ConnectionPool: idle connections to backend servers, by address.
#pragma once

#include "auburn/gateway/outboundconnection.h"

#include <chrono>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace auburn::gateway {

// Connections to one server that a daemon may keep idle, out of those that the server accepts from
// all daemons; 0 accepted means that it does not say.
std::size_t idleConnectionLimit(unsigned acceptedConnections, unsigned liveDaemons);

class ConnectionPool : public std::enable_shared_from_this<ConnectionPool>
{
public:
    explicit ConnectionPool(boost::asio::io_context &io);

    // The connection that was used last, if its idle time is at most maxIdle; a new one otherwise.
    std::shared_ptr<OutboundConnection> acquire(const std::string &address,
                                                std::chrono::milliseconds maxIdle);
    // Keeps a reusable connection unless so many are idle there already; closes any other.
    void release(const std::shared_ptr<OutboundConnection> &connection, std::size_t idleLimit);
    // Closes connections that were idle for too long.
    void closeExpired();
    // Closes all idle connections to the address.
    void closeIdleTo(const std::string &address);

private:
    boost::asio::io_context &io_;
    std::unordered_map<std::string, std::vector<std::shared_ptr<OutboundConnection>>>
            idleByAddress_;
};

} // namespace auburn::gateway
