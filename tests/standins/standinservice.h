// StandinService: a stand-in for a plain service that runs next to the engines. Every request under
// any path is one execution; the answer is a function of path, body and request id.
#pragma once

#include "executionrecord.h"
#include "standinhttp.h"

#include <boost/asio/io_context.hpp>

#include <QJsonObject>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace auburn::standin {

struct ServiceOptions
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    // Time that each call takes.
    std::chrono::milliseconds workTime{ 5 };
    // Called for "crash"; empty means that only this service's sockets are closed.
    std::function<void()> crash;
};

class StandinService
{
public:
    static std::unique_ptr<StandinService> make(boost::asio::io_context &context,
                                                ServiceOptions options);

    std::uint16_t port() const { return listener_->port(); }
    const ExecutionRecord &record() const { return record_; }
    unsigned arrivals() const { return arrivals_; }
    // Actions: crash, freeze, thaw, silence, drop (count: requests that are executed, but not
    // answered), fail (count, status), crash_on_word (word).
    bool control(const QJsonObject &command);

private:
    StandinService(boost::asio::io_context &context, ServiceOptions options);

    void handle(const std::shared_ptr<Exchange> &exchange);
    void execute(const std::shared_ptr<Exchange> &exchange);
    void crash();

    boost::asio::io_context &context_;
    ServiceOptions options_;
    std::unique_ptr<HttpListener> listener_;
    ExecutionRecord record_;
    unsigned arrivals_ = 0;
    unsigned dropCount_ = 0;
    unsigned failCount_ = 0;
    int failStatus_ = 503;
    std::string crashWord_;
};

// {"request_id","path","echo"}: the answer to a call.
std::string serviceAnswer(const std::string &requestId, const std::string &target,
                          const std::string &body);

} // namespace auburn::standin
