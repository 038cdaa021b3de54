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

// CallerConnection is an HTTP connection of a caller: it reads requests within the configured
// limits and writes the responses.
//
// Requests on one connection are processed one at a time. The connection keeps reading while a
// response is in progress, because end of file is how it detects that the caller has disconnected.
//
// A connection is owned by what it waits for: each pending read and write, the exchange of its
// request, and the startup queue while the request waits there. It is closed when it waits for
// nothing.
class CallerConnection
    : public std::enable_shared_from_this<CallerConnection>
    , private ResponseWriter
{
public:
    CallerConnection(GatewayContext &context, boost::asio::ip::tcp::socket socket);
    ~CallerConnection() override;

    void start();
    // Closes the connection after the idle time of the drain unless a request arrives.
    void drain();
    // Ends the request in progress, if any, because the process is about to end.
    void endRequest();

private:
    using ErrorCode = boost::system::error_code;
    using Clock = BootClock;
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    enum class Phase {
        Idle,
        Header,
        Body,
        Responding,
        // The response is written; further input from the caller is discarded.
        Lingering,
        Closed,
    };

    // The limits of the current configuration, or the defaults if there is none yet.
    routing::TrafficLimits currentLimits() const;
    void beginRequest();
    void read();
    void received(ErrorCode error, std::size_t bytes);
    void parseInput();
    // Returns false if the request was rejected on the basis of its header.
    bool headerComplete();
    // Accounts for the memory of the request's body. Returns false if the request was rejected
    // because all connections together hold too much.
    bool holdBody(std::size_t bytes);
    void requestComplete();
    // Holds a request for at most the given time, until this daemon can route requests.
    void waitForRouting(CallerRequest request, std::chrono::milliseconds limit);
    // Ends the wait of the held request, if any, and routes it. The reason is a code for the log.
    void endStartupWait(std::string_view reason);
    void routeRequest(CallerRequest request);
    void parseFailed(ErrorCode error);
    void readTimedOut();
    // The Retry-After delay for a request that is rejected before an exchange exists.
    std::chrono::milliseconds rejectionRetryDelay() const;
    // True if the socket has received bytes that have not been read yet.
    bool hasUnreadInput() const;
    // Sends an error response before an exchange exists. The reason is a code for logs and metrics.
    void reject(int status, const char *reason);

    void sendResponse(ResponseHead head, std::string body) override;
    void beginStream(ResponseHead head) override;
    void sendStreamData(std::string_view data) override;
    void endStream(bool complete) override;
    bool isCongested() const override;

    // Formats the status line and header fields, without the terminating empty line.
    std::string formatHead(const ResponseHead &head) const;
    void write(std::string_view data);
    // Starts writing the pending output unless a write is in progress.
    void flushOutput();
    void writeFinished(ErrorCode error, std::size_t bytes);
    // Accounts for the memory of the output, and returns that of a large response.
    void updateHeldOutput();
    void responseComplete();
    void responseWritten();
    // Closes the connection asynchronously.
    void postClose();
    void close();

    GatewayContext &context_;
    boost::asio::ip::tcp::socket socket_;
    Phase phase_ = Phase::Idle;
    boost::beast::flat_buffer input_;
    std::optional<Parser> parser_;
    // The memory of the body that is being read. It passes to the request with the body.
    std::optional<HeldMemory> heldBody_;
    LazyDeadline readDeadline_;
    LazyDeadline writeDeadline_;
    LazyDeadline startupDeadline_;
    // Set while a request waits in the startup queue.
    std::optional<CallerRequest> heldRequest_;
    StartupQueue::EntryId startupEntry_ = 0;
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
    // Bytes that wait to be written, and the ones that are being written.
    std::string pendingOutput_;
    std::string outputInFlight_;
    std::size_t writtenBytes_ = 0;
    bool writeInProgress_ = false;
    // The memory of the output.
    HeldMemory heldOutput_;
};

} // namespace auburn::gateway
