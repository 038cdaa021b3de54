// ClientConnection: one caller's connection; reads requests within the limits and writes answers.
//
// Requests on one connection are answered one after the other. While an answer is under way the
// connection keeps reading, because the end of the input is how a caller that leaves is noticed.
#pragma once

#include "exchange.h"
#include "gatewaycontext.h"
#include "responsewriter.h"

#include "auburn/core/bootclock.h"
#include "auburn/core/lazydeadline.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace auburn::gateway {

class CallerConnection
    : public std::enable_shared_from_this<CallerConnection>
    , private ResponseWriter
{
public:
    CallerConnection(GatewayContext &context, boost::asio::ip::tcp::socket socket);
    ~CallerConnection() override;

    void start();
    // Closes the connection after the drain's idle time unless a request arrives.
    void drain();

private:
    using ErrorCode = boost::system::error_code;
    using Clock = BootClock;
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    enum class Phase {
        Idle,
        Header,
        Body,
        Responding,
        // The answer is written; what the caller still sends is dropped.
        Lingering,
        Closed,
    };

    // Those of the configuration in force, or the defaults before there is one.
    routing::TrafficLimits currentLimits() const;
    void beginRequest();
    void read();
    void received(ErrorCode error, std::size_t bytes);
    void parseInput();
    // False if the request was answered from its header alone.
    bool headerComplete();
    void requestComplete();
    void parseFailed(ErrorCode error);
    void readTimedOut();
    // What a caller is told to wait whose request the gateway refuses without an exchange.
    std::chrono::milliseconds rejectionRetryDelay() const;
    // Bytes of a request have arrived that were not read yet.
    bool hasUnreadInput() const;
    // An answer of the gateway itself before an exchange exists.
    void reject(int status, const char *reason);

    void sendResponse(ResponseHead head, std::string body) override;
    void beginStream(ResponseHead head) override;
    void sendStreamData(std::string_view data) override;
    void endStream(bool complete) override;
    bool isCongested() const override;

    std::string formatHead(const ResponseHead &head) const;
    void write(std::string_view data);
    void flushOutput();
    void writeFinished(ErrorCode error, std::size_t bytes);
    void responseComplete();
    void responseWritten();
    void postClose();
    void close();

    GatewayContext &context_;
    boost::asio::ip::tcp::socket socket_;
    Phase phase_ = Phase::Idle;
    boost::beast::flat_buffer input_;
    std::optional<Parser> parser_;
    LazyDeadline readDeadline_;
    LazyDeadline writeDeadline_;
    std::shared_ptr<Exchange> exchange_;
    Clock::time_point received_;
    bool keepAlive_ = true;
    bool chunked_ = false;
    bool http10_ = false;
    bool headRequest_ = false;
    bool reading_ = false;
    bool responseDone_ = false;
    bool abortResponse_ = false;
    bool congested_ = false;
    std::size_t headerBytes_ = 0;
    std::size_t lingerBytes_ = 0;
    // Bytes that wait for the socket, and the ones that it is taking.
    std::string pendingOutput_;
    std::string outputInFlight_;
    std::size_t writtenBytes_ = 0;
    bool writeInProgress_ = false;
};

} // namespace auburn::gateway
