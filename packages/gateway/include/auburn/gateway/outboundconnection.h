// OutboundConnection: one HTTP/1.1 connection to a backend server or another HTTP service.
//
// It carries one call at a time. Answers that the caller of a call does not recognise as its own
// are read and dropped, because a faulty server may send one more answer than it was asked for.
// While the connection is idle a read stays open, so a server that closes it, or sends bytes that
// nobody asked for, is noticed before the next call.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburn::gateway {

using ResponseHeader = boost::beast::http::response_header<>;

struct OutboundRequest
{
    // Request line and header with the empty line.
    std::string head;
    // May be null.
    std::shared_ptr<const std::string> body;
};

enum class CallOutcome {
    Complete,
    ConnectFailed,
    // Nothing of the request was sent.
    NotSent,
    // The connection ended before the answer did.
    Broken,
    // The server sent bytes that are not an answer.
    Invalid,
};

std::string_view callOutcomeName(CallOutcome end);

struct CallResult
{
    CallOutcome outcome = CallOutcome::Complete;
    // The server had taken an earlier call on this connection and sent no byte for this one.
    bool staleConnection = false;
    std::string error;
};

// The request that an answer names.
enum class ResponseMatch {
    ThisCall,
    AnotherCall,
    // It names none.
    Unidentified,
};

// Receives what happens to one call. Nothing is called after callEnded() or close().
class CallHandler
{
public:
    virtual ~CallHandler() = default;
    // Whom the answer names; one to another request is dropped.
    virtual ResponseMatch matchResponse(const ResponseHeader &header) = 0;
    virtual void responseStarted(const ResponseHeader &header) = 0;
    // The views are valid during the call only.
    virtual void responseData(const std::vector<std::string_view> &data) = 0;
    virtual void callEnded(const CallResult &result) = 0;
};

class OutboundConnection : public std::enable_shared_from_this<OutboundConnection>
{
public:
    using Clock = std::chrono::steady_clock;

    OutboundConnection(boost::asio::io_context &io, std::string address);
    ~OutboundConnection();
    OutboundConnection(const OutboundConnection &) = delete;
    OutboundConnection &operator=(const OutboundConnection &) = delete;

    // Sends the request, after connecting if the connection is new. The time limit holds for the
    // connection only; the caller of a call keeps its own deadlines.
    void call(OutboundRequest request, std::chrono::milliseconds connectTimeout,
              CallHandler *handler);
    // Ends the call, if any, without telling its events, and closes the connection.
    void close();
    // Stops and restarts reading, for a receiver that cannot take more.
    void pause() { paused_ = true; }
    void resume();

    // The connection can take another call.
    bool isReusable() const { return reusable_ && !closed_; }
    bool isClosed() const { return closed_; }
    // Starts the idle read; onUnusable is called once if the connection ends or sends bytes.
    void watchIdle(std::function<void()> onUnusable);
    const std::string &address() const { return address_; }
    bool isConnected() const { return connected_; }
    // Time of the last complete answer.
    Clock::time_point idleSince() const { return idleSince_; }
    // How long the server keeps an idle connection, as it announced.
    std::optional<std::chrono::seconds> keepAlive() const { return keepAlive_; }

private:
    using ErrorCode = boost::system::error_code;
    struct Parser;

    void connect(std::chrono::milliseconds timeout);
    void connected(ErrorCode error);
    void send();
    void read();
    void received(ErrorCode error, std::size_t bytes);
    // False once the call has ended.
    bool parse();
    bool processHeader();
    void deliverBody();
    void responseComplete();
    void readFailed(ErrorCode error);
    bool exceedsLimits() const;
    // False if the answer may belong to an earlier call.
    bool isTrusted(ResponseMatch match) const;
    void parseKeepAlive(const ResponseHeader &header);
    void finishCall(CallOutcome outcome, std::string error);

    const std::string address_;
    boost::asio::ip::tcp::socket socket_;
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
    bool reading_ = false;
    bool paused_ = false;
    bool headerDone_ = false;
    bool discarding_ = false;
    bool bytesReceived_ = false;
    bool reusable_ = false;
    // The server has named the request in an answer on this connection.
    bool echoesRequestId_ = false;
    std::size_t headerBytes_ = 0;
    std::size_t discardedBytes_ = 0;
    unsigned responseCount_ = 0;
    Clock::time_point idleSince_;
    std::optional<std::chrono::seconds> keepAlive_;
};

} // namespace auburn::gateway
