#include "auburn/gateway/outboundconnection.h"

#include "beastview.h"
#include "socketoptions.h"

#include "auburn/core/datasinkbody.h"
#include "auburn/core/endpoint.h"
#include "auburn/core/lasterror.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>

#include <array>
#include <charconv>
#include <limits>
#include <utility>

namespace auburn::gateway {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t kReadSize = std::size_t{ 16 } * 1024;
// Heads of one call, those of interim answers included, and a line that has not ended.
constexpr std::uint32_t kAnswerHeadLimit = 64 * 1024;
// Answers to other requests that are dropped in one call.
constexpr std::size_t kDroppedLimit = std::size_t{ 1024 } * 1024;

} // namespace

struct OutboundConnection::Parser
{
    Parser()
    {
        response.eager(true);
        response.header_limit(kAnswerHeadLimit);
        response.body_limit(std::numeric_limits<std::uint64_t>::max());
    }

    http::response_parser<DataSinkBody> response;
};

std::string_view callEndName(CallEnd end)
{
    switch (end) {
    case CallEnd::Complete:
        return "complete";
    case CallEnd::ConnectFailed:
        return "connect_failed";
    case CallEnd::NotSent:
        return "not_sent";
    case CallEnd::Broken:
        return "broken";
    case CallEnd::Invalid:
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
                              CallEvents *events)
{
    request_ = std::move(request);
    events_ = events;
    onUnusable_ = nullptr;
    inCall_ = true;
    reusable_ = false;
    sent_ = false;
    anyByte_ = false;
    headSeen_ = false;
    dropping_ = false;
    headBytes_ = 0;
    droppedBytes_ = 0;
    parser_ = std::make_unique<Parser>();
    if (connected_)
        send();
    else
        connect(connectTimeout);
}

void OutboundConnection::connect(std::chrono::milliseconds timeout)
{
    const auto endpoint = parseEndpoint(address_);
    if (!endpoint) {
        asio::post(socket_.get_executor(), [self = shared_from_this(), reason = lastError()] {
            self->end(CallEnd::ConnectFailed, reason);
        });
        return;
    }
    connectTimer_.expires_after(timeout);
    connectTimer_.async_wait([self = shared_from_this()](ErrorCode error) {
        if (!error && !self->connected_)
            self->end(CallEnd::ConnectFailed, "connect timed out");
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
        end(CallEnd::ConnectFailed, "connect: " + error.message());
        return;
    }
    connected_ = true;
    setTransportOptions(socket_);
    send();
}

void OutboundConnection::send()
{
    std::array<asio::const_buffer, 2> parts{ asio::buffer(request_.head), asio::const_buffer() };
    if (request_.body)
        parts[1] = asio::buffer(*request_.body);
    asio::async_write(socket_, parts,
                      [self = shared_from_this()](ErrorCode error, std::size_t bytes) {
                          if (self->closed_ || !self->inCall_)
                              return;
                          if (error && bytes == 0)
                              self->end(CallEnd::NotSent, "send: " + error.message());
                          else
                              self->sent_ = !error;
                          // After a partial write the answer, if any, is still read.
                      });
    read();
}

void OutboundConnection::read()
{
    if (reading_ || paused_ || closed_)
        return;
    reading_ = true;
    socket_.async_read_some(input_.prepare(kReadSize),
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
        // The server closed the idle connection or sent bytes that nobody asked for.
        reusable_ = false;
        const auto onUnusable = std::exchange(onUnusable_, nullptr);
        close();
        if (onUnusable)
            onUnusable();
        return;
    }
    if (error) {
        readEnded(error);
        return;
    }
    anyByte_ = true;
    input_.commit(bytes);
    if (parse())
        read();
}

void OutboundConnection::readEnded(ErrorCode error)
{
    if (error == asio::error::eof && headSeen_ && !dropping_ && parser_->response.need_eof()) {
        ErrorCode ignored;
        parser_->response.put_eof(ignored);
        if (parser_->response.is_done()) {
            answerParsed();
            return;
        }
    }
    end(CallEnd::Broken,
        error == asio::error::eof ? "the server closed the connection" : error.message());
}

bool OutboundConnection::parse()
{
    const auto self = shared_from_this();
    while (inCall_ && !closed_) {
        ErrorCode error;
        if (input_.size() > 0) {
            const std::size_t used = parser_->response.put(input_.data(), error);
            headBytes_ += headSeen_ ? 0 : used;
            if (parser_->response.is_header_done() && !headSeen_ && !headerParsed())
                return false;
            deliver();
            droppedBytes_ += dropping_ ? used : 0;
            input_.consume(used);
            if (!inCall_ || closed_)
                return false;
            if (isBeyondLimits()) {
                end(CallEnd::Invalid, "an answer beyond the limits");
                return false;
            }
        } else {
            error = http::error::need_more;
        }
        if (error && error != http::error::need_more) {
            end(CallEnd::Invalid, "invalid HTTP answer: " + error.message());
            return false;
        }
        if (parser_->response.is_done()) {
            if (!dropping_) {
                answerParsed();
                return false;
            }
            parser_ = std::make_unique<Parser>();
            headSeen_ = false;
            dropping_ = false;
            continue;
        }
        if (error == http::error::need_more || input_.size() == 0)
            return true;
    }
    return false;
}

bool OutboundConnection::isBeyondLimits() const
{
    return headBytes_ > kAnswerHeadLimit || input_.size() > kAnswerHeadLimit
           || droppedBytes_ > kDroppedLimit;
}

// A server that names the request in its answers does so in each of them.
bool OutboundConnection::isTrusted(AnswerOwner owner) const
{
    return owner != AnswerOwner::Unnamed || !namesRequests_;
}

bool OutboundConnection::headerParsed()
{
    headSeen_ = true;
    const AnswerHeader &header = parser_->response.get();
    const bool interim = header.result_int() / 100 == 1;
    const AnswerOwner owner = interim ? AnswerOwner::Unnamed : events_->ownerOf(header);
    dropping_ = interim || owner == AnswerOwner::AnotherCall;
    if (dropping_) {
        // A foreign answer without a length cannot be told from the one that follows it.
        if (!interim && parser_->response.need_eof()) {
            end(CallEnd::Invalid, "an answer to another request without a length");
            return false;
        }
        return true;
    }
    if (!isTrusted(owner)) {
        end(CallEnd::Invalid, "an answer without the request's id on a connection in use");
        return false;
    }
    namesRequests_ = namesRequests_ || owner == AnswerOwner::ThisCall;
    noteKeepAlive(header);
    events_->answerBegun(header);
    return inCall_ && !closed_;
}

void OutboundConnection::deliver()
{
    std::vector<std::string_view> &data = parser_->response.get().body();
    if (headSeen_ && !dropping_ && !data.empty())
        events_->answerData(data);
    data.clear();
}

void OutboundConnection::answerParsed()
{
    ++answers_;
    idleSince_ = Clock::now();
    // An answer that came before the request was sent leaves the rest of it on its way.
    reusable_ = sent_ && parser_->response.keep_alive() && !parser_->response.need_eof()
                && input_.size() == 0;
    inCall_ = false;
    CallEvents *events = std::exchange(events_, nullptr);
    const auto self = shared_from_this();
    if (!reusable_)
        close();
    if (events)
        events->callEnded(CallResult{});
}

void OutboundConnection::noteKeepAlive(const AnswerHeader &header)
{
    constexpr std::string_view kName = "timeout=";
    const std::string_view text = view(header[http::field::keep_alive]);
    const std::size_t at = text.find(kName);
    if (at == std::string_view::npos)
        return;
    int seconds = 0;
    const char *first = text.data() + at + kName.size();
    if (std::from_chars(first, text.data() + text.size(), seconds).ec == std::errc())
        keepAlive_ = std::chrono::seconds(seconds);
}

void OutboundConnection::end(CallEnd how, std::string error)
{
    if (closed_)
        return;
    const auto self = shared_from_this();
    const bool stale = answers_ > 0 && !anyByte_ && how == CallEnd::Broken;
    inCall_ = false;
    CallEvents *events = std::exchange(events_, nullptr);
    close();
    if (events)
        events->callEnded(
                CallResult{ .end = how, .staleConnection = stale, .error = std::move(error) });
}

void OutboundConnection::close()
{
    if (closed_)
        return;
    closed_ = true;
    inCall_ = false;
    events_ = nullptr;
    connectTimer_.cancel();
    ErrorCode ignored;
    socket_.close(ignored);
}

void OutboundConnection::watchIdle(std::function<void()> onUnusable)
{
    onUnusable_ = std::move(onUnusable);
    read();
}

} // namespace auburn::gateway
