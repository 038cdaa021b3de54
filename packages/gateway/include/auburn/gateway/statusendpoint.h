// StatusEndpoint: a small HTTP server for readiness, metrics and other daemons' reads.
#pragma once

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace auburn::gateway {

struct StatusResponse
{
    int status = 200;
    std::string contentType = "text/plain";
    std::string body;
};

class StatusEndpoint
{
public:
    // Answers a GET of the path without its query.
    using Handler = std::function<StatusResponse(std::string_view path)>;

    // Null with lastError() set if the address cannot be used.
    static std::unique_ptr<StatusEndpoint> make(boost::asio::io_context &io,
                                                const std::string &listenAddress, Handler handler);
    virtual ~StatusEndpoint() = default;
};

} // namespace auburn::gateway
