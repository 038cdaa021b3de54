#include "auburn/gateway/outboundconnection.h"

#include "beastview.h"
#include "socketoptions.h"

#include "auburn/core/datasinkbody.h"
#include "auburn/core/endpoint.h"
#include "auburn/core/hash.h"
#include "auburn/core/joinedhead.h"
#include "auburn/core/lasterror.h"
#include "auburn/core/responsestatus.h"
#include "auburn/core/socketstate.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <utility>

namespace auburn::gateway {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace {

constexpr std::size_t kReadBytes = std::size_t{ 16 } * 1024;
// Limit of the header bytes of all responses in one call, including interim ones. It also limits
// the input that the parser cannot consume yet, such as an unterminated line.
constexpr std::uint32_t kMaxHeaderBytes = 64 * 1024;
// Limit of the lines of one response head. Many short fields take far more memory than their bytes.
constexpr std::size_t kMaxHeaderLines = 1000;
constexpr std::chrono::milliseconds kReconnectTimeout{ 300 };
// Bounds the memory for the ids of a connection. A copy comes where one of the next responses is
// due.
constexpr std::size_t kMaxCarriedIds = 512;
// A body up to this size fits into the receive buffer of any server.
constexpr std::size_t kBufferedBodyBytes = std::size_t{ 4 } * 1024;
// Limit of the bytes of responses to other requests that are discarded in one call.
constexpr std::size_t kMaxDiscardedBytes = std::size_t{ 1024 } * 1024;

} // namespace

struct OutboundConnection::Parser
{
    // A response to a HEAD request has no body, whatever its length says.
    explicit Parser(bool isForHead)
    {
        response.skip(isForHead);
        response.eager(true);
        response.header_limit(kMaxHeaderBytes);
        response.body_limit(std::numeric_limits<std::uint64_t>::max());
    }

    http::response_parser<DataSinkBody> response;
};

std::string_view callOutcomeName(CallOutcome outcome)
{
    switch (outcome) {
    case CallOutcome::Complete:
        return "complete";
    case CallOutcome::ConnectFailed:
        return "connect_failed";
    case CallOutcome::NotSent:
        return "not_sent";
    case CallOutcome::Broken:
        return "broken";
    case CallOutcome::Invalid:
        return "invalid";
    }
    return "unknown";
}

OutboundConnection::OutboundConnection(asio::io_context &io, std::string address)
    : address_(std::move(address))
    , socket_(io)
    , connectTimer_(io)
{}

OutboundConnection::~OutboundConnection() = default;

void OutboundConnection::call(OutboundRequest request, std::chrono::milliseconds connectTimeout,
                              CallHandler *handler)
{
    request_ = std::move(request);
    handler_ = handler;
    onUnusable_ = nullptr;
    inCall_ = true;
    ++callCount_;
    reusable_ = false;
    sent_ = false;
    sendError_ = {};
    bytesReceived_ = false;
    headerDone_ = false;
    discarding_ = false;
    headerBytes_ = 0;
    headerLines_ = 0;
    discardedBytes_ = 0;
    parser_ = std::make_unique<Parser>(isHeadRequest());
    recordCarriedId();
    if (connected_)
        send();
    else
        connect(connectTimeout);
}

bool OutboundConnection::isHeadRequest() const
{
    return request_.head.starts_with("HEAD ");
}

void OutboundConnection::connect(std::chrono::milliseconds timeout)
{
    const auto endpoint = parseEndpoint(address_);
    if (!endpoint) {
        asio::post(socket_.get_executor(), [self = shared_from_this(), reason = lastError()] {
            self->finishCall(CallOutcome::ConnectFailed, reason);
        });
        return;
    }
    connectTimer_.expires_after(timeout);
    connectTimer_.async_wait([self = shared_from_this()](ErrorCode error) {
        if (!error && !self->connected_)
            self->finishCall(CallOutcome::ConnectFailed, "connect timed out");
    });
    socket_.async_connect(*endpoint,
                          [self = shared_from_this()](ErrorCode error) { self->connected(error); });
}

void OutboundConnection::connected(ErrorCode error)
{
    if (closed_)
        return;
    connectTimer_.cancel();
    if (error) {
        finishCall(CallOutcome::ConnectFailed, "connect: " + error.message());
        return;
    }
    connected_ = true;
    setTcpOptions(socket_);
    send();
}

void OutboundConnection::send()
{
    if (request_.sendCondition && !request_.sendCondition()) {
        asio::post(socket_.get_executor(), [self = shared_from_this()] {
            self->finishCall(CallOutcome::NotSent, "the condition for sending does not hold");
        });
        return;
    }
    if (request_.sendCondition)
        setUserTimeout(socket_, request_.transmitLimit);
    std::array<asio::const_buffer, 2> parts{ asio::buffer(request_.head), asio::const_buffer() };
    if (request_.body)
        parts[1] = asio::buffer(*request_.body);
    asio::async_write(socket_, parts,
                      [self = shared_from_this()](ErrorCode error, std::size_t bytes) {
                          if (self->closed_ || !self->inCall_)
                              return;
                          self->requestSent(error, bytes);
                      });
    read();
}

void OutboundConnection::requestSent(ErrorCode error, std::size_t bytes)
{
    if (error && bytes == 0) {
        finishCall(CallOutcome::NotSent, "send: " + error.message());
        return;
    }
    // After a partial write a response may still arrive, so reading continues.
    sent_ = !error;
    sendError_ = error;
}

void OutboundConnection::read()
{
    if (reading_ || paused_ || closed_)
        return;
    reading_ = true;
    socket_.async_read_some(input_.prepare(kReadBytes),
                            [self = shared_from_this()](ErrorCode error, std::size_t bytes) {
                                self->reading_ = false;
                                self->received(error, bytes);
                            });
}

void OutboundConnection::resume()
{
    if (!paused_)
        return;
    paused_ = false;
    if (inCall_)
        read();
}

void OutboundConnection::received(ErrorCode error, std::size_t bytes)
{
    if (closed_)
        return;
    if (!inCall_) {
        becameReadable();
        return;
    }
    if (error) {
        readFailed(error);
        return;
    }
    bytesReceived_ = true;
    input_.commit(bytes);
    if (!headerDone_) {
        const char *end = static_cast<const char *>(input_.data().data()) + input_.size();
        headerLines_ += static_cast<std::size_t>(std::count(end - bytes, end, '\n'));
    }
    if (parse())
        read();
}

void OutboundConnection::becameReadable()
{
    reusable_ = false;
    const auto onUnusable = std::exchange(onUnusable_, nullptr);
    close();
    if (onUnusable)
        onUnusable();
}

void OutboundConnection::readFailed(ErrorCode error)
{
    const bool closed = error == asio::error::eof;
    if (closed && sendError_)
        finishCall(CallOutcome::Broken, "send: " + sendError_.message());
    else if (closed && headerDone_ && !discarding_ && parser_->response.need_eof())
        closedByServer();
    else
        finishCall(CallOutcome::Broken,
                   closed ? "the server closed the connection" : error.message());
}

void OutboundConnection::closedByServer()
{
    if (const char *reason = handler_->incompleteReason())
        finishCall({ .outcome = CallOutcome::Broken, .endedByClose = true, .error = reason });
    else
        reconnect();
}

void OutboundConnection::reconnect()
{
    replacement_.emplace(socket_.get_executor());
    connectTimer_.expires_after(kReconnectTimeout);
    connectTimer_.async_wait([self = shared_from_this()](ErrorCode error) {
        if (!error)
            self->reconnected(asio::error::timed_out);
    });
    replacement_->async_connect(
            *parseEndpoint(address_),
            [self = shared_from_this()](ErrorCode error) { self->reconnected(error); });
}

void OutboundConnection::reconnected(ErrorCode error)
{
    if (!replacement_)
        return;
    connectTimer_.cancel();
    tcp::socket replacement = std::move(*replacement_);
    replacement_.reset();
    if (error) {
        finishCall({ .outcome = CallOutcome::Broken,
                     .endedByClose = true,
                     .error = "the server closed the connection and accepts no other: "
                              + error.message() });
        return;
    }
    socket_ = std::move(replacement);
    setTcpOptions(socket_);
    hasUserTimeout_ = true;
    input_.clear();
    responseCount_ = 0;
    carriedIds_.clear();
    echoesRequestId_ = false;
    idleSince_ = Clock::now();
    // The rest of a request that was not sent completely may still be written to the old socket.
    reusable_ = sent_;
    callComplete();
}

bool OutboundConnection::parse()
{
    const auto self = shared_from_this();
    while (inCall_ && !closed_) {
        ErrorCode error;
        if (input_.size() > 0) {
            const std::size_t used = parser_->response.put(input_.data(), error);
            headerBytes_ += headerDone_ ? 0 : used;
            if (parser_->response.is_header_done() && !headerDone_ && !processHeader())
                return false;
            deliverBody();
            discardedBytes_ += discarding_ ? used : 0;
            input_.consume(used);
            if (!inCall_ || closed_)
                return false;
            if (exceedsLimits()) {
                finishCall(CallOutcome::Invalid, "the response exceeds the limits");
                return false;
            }
        } else {
            error = http::error::need_more;
        }
        if (error && error != http::error::need_more) {
            finishCall(CallOutcome::Invalid, "invalid HTTP response: " + error.message());
            return false;
        }
        if (parser_->response.is_done()) {
            if (!discarding_) {
                responseComplete();
                return false;
            }
            parser_ = std::make_unique<Parser>(isHeadRequest());
            headerDone_ = false;
            discarding_ = false;
            continue;
        }
        if (error == http::error::need_more || input_.size() == 0)
            return true;
    }
    return false;
}

bool OutboundConnection::exceedsLimits() const
{
    const bool hasTooManyLines = !headerDone_ && headerLines_ > kMaxHeaderLines;
    return hasTooManyLines || headerBytes_ > kMaxHeaderBytes || input_.size() > kMaxHeaderBytes
           || discardedBytes_ > kMaxDiscardedBytes;
}

// A server that has echoed a request id must do so in every response on the connection.
bool OutboundConnection::isTrusted(ResponseMatch match) const
{
    return match != ResponseMatch::Unidentified || !echoesRequestId_;
}

bool OutboundConnection::processHeader()
{
    headerDone_ = true;
    headerLines_ = 0;
    const ResponseHeader &header = parser_->response.get();
    if (isJoinedHead(header)) {
        finishCall(CallOutcome::Invalid,
                   "the response head contains the start of another response");
        return false;
    }
    if (!isResponseStatus(header.result_int())) {
        finishCall(CallOutcome::Invalid,
                   "the response has the status " + std::to_string(header.result_int()));
        return false;
    }
    const bool interim = header.result_int() / 100 == 1;
    const ResponseMatch match = interim ? ResponseMatch::Unidentified
                                        : handler_->matchResponse(header);
    discarding_ = interim || match == ResponseMatch::AnotherCall;
    if (discarding_) {
        // Without a length, a response to another request cannot be told apart from the next
        // response.
        if (!interim && parser_->response.need_eof()) {
            finishCall(CallOutcome::Invalid, "response to another request without a length");
            return false;
        }
        return true;
    }
    if (!isTrusted(match)) {
        finishCall(CallOutcome::Invalid, "response without the request id on a connection in use");
        return false;
    }
    echoesRequestId_ = echoesRequestId_ || match == ResponseMatch::ThisCall;
    parseKeepAlive(header);
    allowLateReading();
    handler_->responseStarted(header);
    return inCall_ && !closed_;
}

void OutboundConnection::allowLateReading()
{
    const bool mayBeUnread = request_.body && request_.body->size() > kBufferedBodyBytes;
    // What is sent under a condition must not be transmitted after its time.
    if (!mayBeUnread || request_.sendCondition)
        return;
    setUserTimeout(socket_, std::chrono::milliseconds(0));
    hasUserTimeout_ = false;
}

void OutboundConnection::deliverBody()
{
    std::vector<std::string_view> &data = parser_->response.get().body();
    if (headerDone_ && !discarding_ && !data.empty())
        handler_->responseData(data);
    data.clear();
}

void OutboundConnection::responseComplete()
{
    ++responseCount_;
    idleSince_ = Clock::now();
    // If the response arrived before the request was sent completely, the rest of the request is
    // still being written.
    reusable_ = sent_ && parser_->response.keep_alive() && input_.size() == 0;
    if (reusable_ && !hasUserTimeout_) {
        setUserTimeout(socket_, kDefaultUserTimeout);
        hasUserTimeout_ = true;
    }
    callComplete();
}

void OutboundConnection::callComplete()
{
    inCall_ = false;
    // An idle connection must not hold the body of its last request.
    if (sent_)
        request_ = {};
    if (input_.size() == 0 && input_.capacity() > 2 * kReadBytes)
        input_.shrink_to_fit();
    CallHandler *handler = std::exchange(handler_, nullptr);
    const auto self = shared_from_this();
    if (!reusable_)
        close();
    if (handler)
        handler->callEnded(CallResult{ .endedByClose = parser_->response.need_eof() });
}

void OutboundConnection::recordCarriedId()
{
    if (request_.requestId.empty())
        return;
    const std::uint64_t hash = stableHash(request_.requestId);
    if (carriedIds_.size() < kMaxCarriedIds)
        carriedIds_.push_back(hash);
    else
        carriedIds_[oldestCarriedId_++ % kMaxCarriedIds] = hash;
}

bool OutboundConnection::hasCarried(std::string_view requestId) const
{
    return std::find(carriedIds_.begin(), carriedIds_.end(), stableHash(requestId))
           != carriedIds_.end();
}

bool OutboundConnection::isQuiet()
{
    return !closed_ && isSocketQuiet(socket_);
}

void OutboundConnection::parseKeepAlive(const ResponseHeader &header)
{
    constexpr std::string_view kName = "timeout=";
    const std::string_view text = toStringView(header[http::field::keep_alive]);
    const std::size_t at = text.find(kName);
    if (at == std::string_view::npos)
        return;
    int seconds = 0;
    const char *first = text.data() + at + kName.size();
    if (std::from_chars(first, text.data() + text.size(), seconds).ec == std::errc())
        keepAlive_ = std::chrono::seconds(seconds);
}

void OutboundConnection::finishCall(CallOutcome outcome, std::string error)
{
    const bool stale = responseCount_ > 0 && !bytesReceived_ && outcome == CallOutcome::Broken;
    finishCall({ .outcome = outcome, .staleConnection = stale, .error = std::move(error) });
}

void OutboundConnection::finishCall(const CallResult &result)
{
    if (closed_)
        return;
    const auto self = shared_from_this();
    inCall_ = false;
    CallHandler *handler = std::exchange(handler_, nullptr);
    close();
    if (handler)
        handler->callEnded(result);
}

void OutboundConnection::close()
{
    if (closed_)
        return;
    closed_ = true;
    inCall_ = false;
    handler_ = nullptr;
    connectTimer_.cancel();
    replacement_.reset();
    ErrorCode ignored;
    socket_.close(ignored);
}

void OutboundConnection::abort()
{
    ErrorCode ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    close();
}

void OutboundConnection::watchIdle(std::function<void()> onUnusable)
{
    onUnusable_ = std::move(onUnusable);
    paused_ = false;
    const unsigned calls = callCount_;
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this(), calls](ErrorCode) {
        // The wait ends with the first bytes of the next response if the connection was used.
        if (!self->closed_ && self->callCount_ == calls)
            self->becameReadable();
    });
}

} // namespace auburn::gateway
