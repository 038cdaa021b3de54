#pragma once

#include "auburn/core/headerfield.h"
#include "auburn/gateway/outboundconnection.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace auburn::gateway {

// The response to a call of HttpClient, or the reason for its failure.
struct HttpResponse
{
    // The HTTP status, or 0 if no complete response arrived.
    int status = 0;
    // The end-to-end header fields.
    std::vector<HeaderField> fields;
    std::string body;
    // The reason for the failure if no complete response arrived; empty otherwise.
    std::string error;
    // True if no byte of the request was sent.
    bool notSent = false;
    // True if a response arrived that is malformed or too large.
    bool isInvalid = false;

    bool isSuccess() const { return status == 200; }
};

// A POST request of HttpClient.
struct HttpPost
{
    std::string target;
    std::string contentType;
    std::string body;
    // Additional header fields; each of them ends with "\r\n".
    std::string fields;
    // Covers the entire call, including connecting.
    std::chrono::milliseconds timeout{ 1000 };
    // Asked directly before the request is sent. If it is set, nothing of the request is
    // transmitted after the timeout or cancel(), even if the network is interrupted until then. May
    // be empty.
    std::function<bool()> sendCondition = nullptr;
};

// HttpClient calls another HTTP service, such as the platform's store or another daemon.
//
// Each call invokes its handler exactly once, also if the connection fails, unless the client is
// destroyed first. The service may have executed a call that failed, so the client never retries.
//
// Each call uses a connection of its own. The services repeat no request id in their responses, so
// on a connection that has carried another call a late copy of an earlier response could not be
// told from the response to this one.
class HttpClient
{
public:
    using ResponseHandler = std::function<void(HttpResponse)>;
    // Identifies a call of this client.
    using CallId = std::uint64_t;

    // Longer bodies of responses than this are not read.
    static constexpr std::size_t kDefaultMaxResponseBytes = std::size_t{ 8 } * 1024 * 1024;

    // The address is IP:PORT.
    HttpClient(boost::asio::io_context &io, std::string address,
               std::size_t maxResponseBytes = kDefaultMaxResponseBytes);
    ~HttpClient();

    // The timeout covers the entire call, including connecting.
    CallId get(const std::string &target, std::chrono::milliseconds timeout,
               ResponseHandler handler);
    void post(const std::string &target, const std::string &contentType, std::string body,
              std::chrono::milliseconds timeout, ResponseHandler handler);
    CallId post(HttpPost request, ResponseHandler handler);
    // Ends a call whose response is no longer awaited. Its handler is called with an error. Does
    // nothing if the call has ended.
    void cancel(CallId id);
    // Number of calls made so far.
    std::uint64_t calls() const { return calls_; }

private:
    class Call;

    CallId start(OutboundRequest request, std::chrono::milliseconds timeout,
                 ResponseHandler handler);
    void callFinished(Call *call);

    boost::asio::io_context &io_;
    const std::string address_;
    const std::size_t maxResponseBytes_;
    std::uint64_t calls_ = 0;
    std::vector<std::shared_ptr<Call>> activeCalls_;
};

} // namespace auburn::gateway
