#pragma once

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace auburn::gateway {

// The response to a request to a StatusEndpoint.
struct StatusResponse
{
    int status = 200;
    std::string contentType = "text/plain";
    std::string body;
};

// StatusEndpoint is a minimal HTTP server for readiness checks, metrics and state reads by other
// daemons.
class StatusEndpoint
{
public:
    // Handles a GET request for the target, a path with its query. Other methods get status 405.
    using Handler = std::function<StatusResponse(std::string_view target)>;

    // Starts listening. Returns null and sets lastError() if the address cannot be used.
    static std::unique_ptr<StatusEndpoint> make(boost::asio::io_context &io,
                                                const std::string &listenAddress, Handler handler);
    virtual ~StatusEndpoint() = default;
    // Number of connections that were closed because others needed their place.
    virtual std::uint64_t displacedConnections() const = 0;
};

} // namespace auburn::gateway
