#include "auburn/ctl/statusclient.h"

#include "auburn/core/endpoint.h"
#include "auburn/gateway/httpclient.h"

#include <boost/asio/io_context.hpp>

#include <optional>
#include <utility>

namespace auburn {

std::variant<StatusDocument, StatusError> readStatus(const std::string &address,
                                                     const std::string &target,
                                                     std::chrono::milliseconds timeout)
{
    if (!parseEndpoint(address))
        return StatusError{ .failure = StatusFailure::Usage,
                            .message = "--status must be IP:PORT of a daemon's metrics port" };
    boost::asio::io_context io(1);
    gateway::HttpClient client(io, address, kMaxStatusBytes);
    std::optional<gateway::HttpResponse> response;
    client.get(target, timeout,
               [&response](gateway::HttpResponse result) { response = std::move(result); });
    while (!response && io.run_one() > 0) {
    }
    if (!response)
        return StatusError{ .message = "no response from " + address };
    if (response->status == 0)
        return StatusError{ .failure = response->isInvalid ? StatusFailure::Unreadable
                                                           : StatusFailure::Unavailable,
                            .message = "no response from " + address + ": " + response->error };
    return StatusDocument{ .status = response->status, .body = std::move(response->body) };
}

} // namespace auburn
