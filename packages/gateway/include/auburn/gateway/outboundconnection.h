#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburn::gateway {

// Status line and header fields of a response, as parsed by Boost.Beast.
using ResponseHeader = boost::beast::http::response_header<>;

// A serialized HTTP request.
struct OutboundRequest
{
    // The request line and the header fields, including the terminating empty line.
    std::string head;
    // Null if the request has no body.
    std::shared_ptr<const std::string> body;
    // The id that the response repeats; empty if the request has none.
    std::string requestId = {};
    // Asked directly before the first byte is sent, after connecting; the call ends with NotSent if
    // it returns false. May be empty.
    std::function<bool()> sendCondition = nullptr;
    // With a condition: time for which the request may stay unacknowledged before the kernel gives
    // it up.
    std::chrono::milliseconds transmitLimit{ 0 };
};

// How a call ended.
enum class CallOutcome {
    Complete,
    ConnectFailed,
    // The connection failed before any byte of the request was sent, or the request's condition
    // for sending did not hold.
    NotSent,
    // The connection closed before the response was complete.
    Broken,
    // The server sent an invalid HTTP response, or one that exceeds a limit or cannot be matched to
    // the request.
    Invalid,
};

std::string_view callOutcomeName(CallOutcome outcome);

// The outcome of a call, with the details of a failure.
struct CallResult
{
    CallOutcome outcome = CallOutcome::Complete;
    // True if an earlier call succeeded on this connection, and it broke before the server sent any
    // byte for this call. The server probably closed it while it was idle.
    bool staleConnection = false;
    // True if the response has neither a length nor chunks, so that the close of the connection is
    // its only end.
    bool endedByClose = false;
    std::string error;
};

// Which request a response belongs to, according to the request id in its header.
enum class ResponseMatch {
    ThisCall,
    AnotherCall,
    // The response carries no request id.
    Unidentified,
};

// CallHandler receives the events of one call. No function is called after callEnded() or after
// OutboundConnection::close().
class CallHandler
{
public:
    virtual ~CallHandler() = default;
    // Tells which request the response belongs to. A response to another request is discarded.
    virtual ResponseMatch matchResponse(const ResponseHeader &header) = 0;
    // Called once, when the header of the response has arrived. Interim responses are skipped.
    virtual void responseStarted(const ResponseHeader &header) = 0;
    // Receives a part of the response body. The views are valid only until the function returns.
    virtual void responseData(const std::vector<std::string_view> &data) = 0;
    // Called when the server closes the connection of a response without a length. Returns why the
    // response is not complete after the data received so far, or null if it may be.
    virtual const char *incompleteReason() const { return nullptr; }
    // Called once, at the end of the call.
    virtual void callEnded(const CallResult &result) = 0;
};

// OutboundConnection is an HTTP/1.1 connection to a backend server or another HTTP service.
//
// It carries one call at a time. Responses that the call's handler does not recognise as its own
// are read and discarded, because a faulty server may send more responses than it received
// requests. While the connection is idle, its socket is watched, so that a server that closes the
// connection or sends unsolicited bytes is detected before the next call. The bytes stay in the
// socket: a pending read would take them out of it before its handler runs, and isQuiet() would not
// see them.
//
// Such a response may be the copy of an earlier one, also of a rejection, and then bears the id of
// the earlier request. The id tells it from the response to the call only if no two calls on the
// connection have the same id, so users of connections check hasCarried().
//
// A faulty server may also stop inside the head of such a response. Its start then joins with the
// head of the response to the next request. Neither the status nor the fields of a joined head can
// be attributed, so the call fails as one whose request may have run.
//
// A server may respond before it has read the whole request. If sending then fails, the connection
// is broken, and its end is not the end of a response without a length.
//
// The kernel closes the connections of a process that crashes, too. So a response without a length
// that ends with its connection is complete only if the server then accepts another connection,
// which replaces the closed one.
class OutboundConnection : public std::enable_shared_from_this<OutboundConnection>
{
public:
    using Clock = std::chrono::steady_clock;

    OutboundConnection(boost::asio::io_context &io, std::string address);
    ~OutboundConnection();
    OutboundConnection(const OutboundConnection &) = delete;
    OutboundConnection &operator=(const OutboundConnection &) = delete;

    // Sends the request, after connecting if the connection is new. The timeout applies to
    // connecting only; the user of the connection enforces its own deadline for the response.
    // No call may be in progress, and the handler must stay valid until callEnded() or close().
    void call(OutboundRequest request, std::chrono::milliseconds connectTimeout,
              CallHandler *handler);
    // Aborts the current call, if any, without notifying its handler, and closes the connection.
    void close();
    // Like close(), but also discards what the kernel has not transmitted yet. After close() it
    // goes on to retransmit the rest of a request, for minutes if the network is interrupted.
    void abort();
    // Suspends and resumes reading, to apply backpressure to the server.
    void pause() { paused_ = true; }
    void resume();

    // True if the connection can carry another call.
    bool isReusable() const { return reusable_ && !closed_; }
    // True if one of the last 512 calls on this connection carried a request with the id. A
    // response with that id may then be a late copy of the earlier one.
    bool hasCarried(std::string_view requestId) const;
    bool isClosed() const { return closed_; }
    // True if the server has neither closed the idle connection nor sent bytes on it. This looks at
    // the socket itself, because the event loop of a process that was stopped reports it late.
    bool isQuiet();
    // Starts watching the idle connection. onUnusable is called once if the server closes it or
    // sends bytes.
    void watchIdle(std::function<void()> onUnusable);
    const std::string &address() const { return address_; }
    bool isConnected() const { return connected_; }
    // The time of the last complete response.
    Clock::time_point idleSince() const { return idleSince_; }
    // The idle timeout that the server announced in its Keep-Alive header, if any.
    std::optional<std::chrono::seconds> keepAlive() const { return keepAlive_; }

private:
    using ErrorCode = boost::system::error_code;
    struct Parser;

    bool isHeadRequest() const;
    void recordCarriedId();
    void connect(std::chrono::milliseconds timeout);
    void connected(ErrorCode error);
    void send();
    void requestSent(ErrorCode error, std::size_t bytes);
    void read();
    // Handles bytes or the close of an idle connection.
    void becameReadable();
    void received(ErrorCode error, std::size_t bytes);
    // Parses the buffered input. Returns false once the call has ended.
    bool parse();
    // Decides whether the response is discarded. Returns false once the call has ended.
    bool processHeader();
    // Keeps the connection open although the server does not read the rest of the request, because
    // it has begun to respond and so lives.
    void allowLateReading();
    void deliverBody();
    void responseComplete();
    // Ends the call with success.
    void callComplete();
    void readFailed(ErrorCode error);
    // Handles the close of a connection by its server during a response without a length.
    void closedByServer();
    // Connects to the server again, to tell the end of a response from a crash.
    void reconnect();
    void reconnected(ErrorCode error);
    bool exceedsLimits() const;
    // False if the response may belong to an earlier call.
    bool isTrusted(ResponseMatch match) const;
    void parseKeepAlive(const ResponseHeader &header);
    // Ends the call with a failure.
    void finishCall(CallOutcome outcome, std::string error);
    void finishCall(const CallResult &result);

    const std::string address_;
    boost::asio::ip::tcp::socket socket_;
    // The connection that replaces the closed one, while it is being established.
    std::optional<boost::asio::ip::tcp::socket> replacement_;
    boost::asio::steady_timer connectTimer_;
    boost::beast::flat_buffer input_;
    std::unique_ptr<Parser> parser_;
    OutboundRequest request_;
    CallHandler *handler_ = nullptr;
    std::function<void()> onUnusable_;
    bool connected_ = false;
    bool closed_ = false;
    bool inCall_ = false;
    bool sent_ = false;
    // Why a part of the request could not be sent, if so. The kernel reports the failure of a
    // connection to one operation only; reading then ends as if the server had closed it.
    ErrorCode sendError_;
    bool reading_ = false;
    bool paused_ = false;
    bool headerDone_ = false;
    bool discarding_ = false;
    bool bytesReceived_ = false;
    bool hasUserTimeout_ = true;
    bool reusable_ = false;
    // True if a response on this connection carried the id of its request.
    bool echoesRequestId_ = false;
    std::size_t headerBytes_ = 0;
    // Lines received of the current response head.
    std::size_t headerLines_ = 0;
    std::size_t discardedBytes_ = 0;
    unsigned responseCount_ = 0;
    // Tells a wait on the idle connection from the calls that follow it.
    unsigned callCount_ = 0;
    // Hashes of the request ids that this connection has carried, the oldest at oldestCarriedId_
    // modulo their number once the vector is full.
    std::vector<std::uint64_t> carriedIds_;
    std::size_t oldestCarriedId_ = 0;
    Clock::time_point idleSince_;
    std::optional<std::chrono::seconds> keepAlive_;
};

} // namespace auburn::gateway
