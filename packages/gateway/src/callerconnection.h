#pragma once

#include "exchange.h"
#include "gatewaycontext.h"
#include "responsewriter.h"

#include "auburn/core/bootclock.h"
#include "auburn/core/gradualbody.h"
#include "auburn/core/headersize.h"
#include "auburn/core/lazydeadline.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <chrono>
#include <cstdint>
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
    , public ConnectionHook
    , public IdleConnectionHook
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

    // Closes the connection if it waits for a request and has received none. Returns false if not.
    bool closeIfIdle();
    // Starts a round of the timer that looks for connections to close, and returns what this one
    // held and moved in the last round.
    ConnectionLoad nextRound();
    // Frees what the connection holds because memory or descriptors are short. A request that is
    // incomplete is rejected, since it certainly did not run; a response that is not read is broken
    // off. The reason is a code for logs and metrics.
    void shed(const char *reason);

private:
    using ErrorCode = boost::system::error_code;
    using Clock = BootClock;
    using Parser = boost::beast::http::request_parser<GradualBody>;

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
    void readable(ErrorCode error);
    std::size_t readSize() const;
    void received(ErrorCode error, std::size_t bytes);
    void parseInput();
    // Returns false if the request was rejected on the basis of its header.
    bool headerComplete();
    // Counts the bytes that the parser has just consumed as header or trailers, if they are.
    void countHeader(std::size_t bytes);
    // waitingBytes is the input that the parser cannot consume yet.
    bool exceedsHeaderLimit(std::size_t waitingBytes) const;
    // Accounts for the memory of the request's body. Returns false if the request was rejected
    // because all connections together hold too much.
    bool holdBody(std::size_t bytes);
    // Accounts for the growth of the body by the buffered input before the parser appends it.
    bool reserveBody();
    // Accounts for everything else that the connection holds. Returns false if the request was
    // rejected because all connections together hold too much.
    bool holdRequest();
    // Bytes of memory of the connection, its buffers and its header.
    std::size_t heldBytes() const;
    // Frees the memory of a request that has been rejected before it was complete.
    void releaseRequest();
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
    // Accounts for the memory of the buffers, and returns that of a large response.
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
    // The header and the trailers.
    HeaderSize headerSize_;
    std::size_t lingerBytes_ = 0;
    // Bytes that wait to be written, and the ones that are being written.
    std::string pendingOutput_;
    std::string outputInFlight_;
    // Number of bytes of the current write that the socket has taken.
    std::size_t writtenBytes_ = 0;
    bool writeInProgress_ = false;
    // The memory of everything but bodies that belong to the request.
    HeldMemory held_;
    // Identifies the caller's address.
    std::uint64_t source_ = 0;
    ConnectionProgress progress_;
};

} // namespace auburn::gateway
