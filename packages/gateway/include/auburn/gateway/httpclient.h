// HttpClient: calls to one other HTTP service, such as the platform's store or another daemon.
//
// Every call gets exactly one reply, also a call whose connection breaks. A call without an answer
// may have been executed; it is never repeated here.
#pragma once

#include "auburn/gateway/outboundconnection.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace auburn::gateway {

struct HttpResponse
{
    // HTTP status; 0 if there was no whole answer.
    int status = 0;
    std::string body;
    // Set if there was no whole answer.
    std::string error;

    bool isSuccess() const { return status == 200; }
};

class HttpClient
{
public:
    using ResponseHandler = std::function<void(HttpResponse)>;

    HttpClient(boost::asio::io_context &io, std::string address);
    ~HttpClient();

    void get(const std::string &target, std::chrono::milliseconds timeout, ResponseHandler handler);
    void post(const std::string &target, const std::string &contentType, std::string body,
              std::chrono::milliseconds timeout, ResponseHandler handler);
    std::uint64_t calls() const { return calls_; }

private:
    class Call;

    void start(const std::string &head, std::string body, std::chrono::milliseconds timeout,
               ResponseHandler handler);
    void callFinished(Call *call, bool reusable);

    boost::asio::io_context &io_;
    const std::string address_;
    std::uint64_t calls_ = 0;
    std::vector<std::shared_ptr<Call>> activeCalls_;
    std::vector<std::shared_ptr<OutboundConnection>> idleConnections_;
};

} // namespace auburn::gateway
