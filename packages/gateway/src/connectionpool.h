// ConnectionPool: idle connections to backend servers, by address.
#pragma once

#include "auburn/gateway/outboundconnection.h"

#include <chrono>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace auburn::gateway {

class ConnectionPool : public std::enable_shared_from_this<ConnectionPool>
{
public:
    explicit ConnectionPool(boost::asio::io_context &io);

    // The connection that was used last, if its idle time is at most maxIdle; a new one otherwise.
    std::shared_ptr<OutboundConnection> take(const std::string &address,
                                             std::chrono::milliseconds maxIdle);
    // Keeps a reusable connection; closes any other.
    void put(const std::shared_ptr<OutboundConnection> &connection);
    // Closes connections that were idle for too long.
    void sweep();
    // Closes all idle connections to the address.
    void drop(const std::string &address);

private:
    boost::asio::io_context &io_;
    std::unordered_map<std::string, std::vector<std::shared_ptr<OutboundConnection>>> idle_;
};

} // namespace auburn::gateway
