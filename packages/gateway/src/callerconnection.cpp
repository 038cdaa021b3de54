#include "callerconnection.h"

#include "beastview.h"
#include "retryafter.h"
#include "socketoptions.h"

#include "auburn/core/log.h"

#include <boost/asio/completion_condition.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <utility>

namespace auburn::gateway {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t kReadBytes = std::size_t{ 8 } * 1024;
// The same once a body has reached this size: the wait before each read costs a system call.
constexpr std::size_t kLargeReadBytes = std::size_t{ 32 } * 1024;
// Input that is read ahead while a response is in progress. It only has to show that the caller has
// disconnected; the rest of it waits in the socket.
constexpr std::size_t kMaxPipelinedBytes = std::size_t{ 16 } * 1024;
// Limit of the line with the size of a chunk, beyond the limit of the header.
constexpr std::size_t kMaxChunkLineBytes = 256;
// Memory of a connection without its buffers: the object, its timers, and its socket.
constexpr std::size_t kConnectionBytes = std::size_t{ 2 } * 1024;
constexpr milliseconds kBodyTimeout{ 20000 };
constexpr milliseconds kWriteTimeout{ 10000 };
constexpr milliseconds kLingerTimeout{ 1500 };
constexpr std::size_t kMaxLingerBytes = std::size_t{ 8 } * 1024 * 1024;
// Reading from the backend server pauses while more bytes than this wait for a slow caller.
constexpr std::size_t kOutputHighWatermark = std::size_t{ 128 } * 1024;
// The retry delay sent by a daemon that is shutting down or short of memory. The retry reaches
// another daemon.
constexpr milliseconds kOtherDaemonRetryDelay{ 500 };
// Added to the idle limit, because callers reuse connections that have been idle for almost that
// long, and a request must not cross the close of its connection.
constexpr milliseconds kIdleTimeoutMargin{ 1000 };

// Checks that the body length of a request has only one interpretation. Otherwise a caller could
// smuggle a request inside another one. Also rejects several Host fields.
bool hasUnambiguousFraming(const RequestHeader &header)
{
    const auto lengths = header.count(http::field::content_length);
    const auto encodings = header.count(http::field::transfer_encoding);
    if (lengths > 1 || encodings > 1 || (lengths > 0 && encodings > 0))
        return false;
    if (encodings > 0 && !boost::beast::iequals(header[http::field::transfer_encoding], "chunked"))
        return false;
    return header.count(http::field::host) <= 1;
}

} // namespace

CallerConnection::CallerConnection(GatewayContext &context, tcp::socket socket)
    : context_(context)
    , socket_(std::move(socket))
    , readDeadline_(context.io, [this] { readTimedOut(); })
    , writeDeadline_(context.io, [this] { postClose(); })
    , startupDeadline_(context.io, [this] { endStartupWait("timeout"); })
    , held_(context.memory)
{
    ++context_.connections;
}

CallerConnection::~CallerConnection()
{
    --context_.connections;
}

void CallerConnection::start()
{
    ErrorCode ignored;
    socket_.non_blocking(true, ignored);
    setTcpOptions(socket_);
    const tcp::endpoint remote = socket_.remote_endpoint(ignored);
    source_ = ignored ? 0 : connectionSource(remote.address());
    context_.callers.add(*this);
    beginRequest();
}

void CallerConnection::drain()
{
    if (phase_ == Phase::Idle)
        readDeadline_.setAfter(context_.drainIdleTime);
}

void CallerConnection::endRequest()
{
    if (const auto exchange = exchange_)
        exchange->endForShutdown();
}

routing::TrafficLimits CallerConnection::currentLimits() const
{
    return context_.state.config ? context_.state.config->limits() : routing::TrafficLimits();
}

void CallerConnection::beginRequest()
{
    const routing::TrafficLimits limits = currentLimits();
    const milliseconds idle = context_.state.config ? limits.idleTimeout + kIdleTimeoutMargin
                                                    : limits.idleTimeout;
    parser_.emplace();
    heldBody_.emplace(context_.memory);
    parser_->header_limit(static_cast<std::uint32_t>(limits.headerBytes));
    parser_->body_limit(limits.bodyBytes);
    keepAlive_ = true;
    http10_ = false;
    headRequest_ = false;
    responseDone_ = false;
    abortResponse_ = false;
    headerSize_ = {};
    phase_ = Phase::Idle;
    held_.resize(heldBytes());
    context_.callers.addIdle(*this);
    readDeadline_.setAfter(context_.draining ? context_.drainIdleTime : idle);
    parseInput();
}

void CallerConnection::read()
{
    if (reading_ || phase_ == Phase::Closed)
        return;
    const std::size_t maxPipelined = context_.callers.isUnderPressure() ? 0 : kMaxPipelinedBytes;
    if (phase_ == Phase::Responding && input_.size() > maxPipelined)
        return;
    reading_ = true;
    // No part of the input buffer is in use while the connection waits: an idle connection needs
    // none, and the parser may consume what has been read ahead.
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](ErrorCode error) {
        self->reading_ = false;
        self->readable(error);
    });
}

void CallerConnection::readable(ErrorCode error)
{
    if (phase_ == Phase::Closed)
        return;
    std::size_t bytes = 0;
    if (!error)
        bytes = socket_.read_some(input_.prepare(readSize()), error);
    if (error == asio::error::would_block)
        read();
    else
        received(error, bytes);
}

std::size_t CallerConnection::readSize() const
{
    const bool isLarge = phase_ == Phase::Body && parser_->get().body().size() >= kLargeReadBytes;
    return isLarge ? kLargeReadBytes : kReadBytes;
}

void CallerConnection::received(ErrorCode error, std::size_t bytes)
{
    if (error) {
        close();
        return;
    }
    if (phase_ == Phase::Lingering) {
        lingerBytes_ += bytes;
        if (lingerBytes_ > kMaxLingerBytes)
            close();
        else
            read();
        return;
    }
    input_.commit(bytes);
    progress_.addBytes(bytes);
    if (phase_ == Phase::Responding) {
        held_.resize(heldBytes());
        read();
    } else {
        parseInput();
    }
}

void CallerConnection::parseInput()
{
    while (phase_ == Phase::Idle || phase_ == Phase::Header || phase_ == Phase::Body) {
        if (phase_ == Phase::Idle && input_.size() > 0) {
            phase_ = Phase::Header;
            IdleConnectionHook::unlink();
            received_ = Clock::now();
            readDeadline_.setAfter(currentLimits().headerTimeout);
        }
        ErrorCode error = http::error::need_more;
        if (phase_ == Phase::Body && !reserveBody())
            return;
        if (input_.size() > 0) {
            const std::size_t used = parser_->put(input_.data(), error);
            countHeader(used);
            input_.consume(used);
            const bool waits = error == http::error::need_more;
            if ((!error || waits) && exceedsHeaderLimit(waits ? input_.size() : 0))
                error = http::error::header_limit;
        }
        if (error && error != http::error::need_more) {
            parseFailed(error);
            return;
        }
        if (phase_ == Phase::Header && parser_->is_header_done()) {
            if (!headerComplete())
                return;
        } else if (error == http::error::need_more) {
            break;
        }
        if (phase_ == Phase::Body && !holdBody(parser_->get().body().capacity()))
            return;
        if (phase_ == Phase::Body && parser_->is_done()) {
            if (holdRequest())
                requestComplete();
            return;
        }
    }
    if (holdRequest())
        read();
}

// The parser applies its own limit to each call of put() only, so many short fields would pass it.
// It consumes the trailers in one call, once they are complete.
void CallerConnection::countHeader(std::size_t bytes)
{
    const bool isTrailer = phase_ == Phase::Body && parser_->is_done() && parser_->chunked();
    if (phase_ != Phase::Header && !isTrailer)
        return;
    headerSize_.add(static_cast<const char *>(input_.data().data()), bytes);
}

// Trailers count as header. Until they are complete they wait in the input, as does a line with the
// size of a chunk. The start of a header that waits is limited by the parser.
bool CallerConnection::exceedsHeaderLimit(std::size_t waitingBytes) const
{
    const std::size_t limit = currentLimits().headerBytes;
    if (phase_ != Phase::Body)
        return headerSize_.bytes > limit;
    return headerSize_.bytes + waitingBytes > limit + kMaxChunkLineBytes;
}

bool CallerConnection::headerComplete()
{
    const RequestHeader &header = parser_->get();
    phase_ = Phase::Body;
    keepAlive_ = parser_->keep_alive();
    http10_ = header.version() < 11;
    headRequest_ = header.method() == http::verb::head;
    readDeadline_.setAfter(kBodyTimeout);
    if (!hasUnambiguousFraming(header)) {
        // The parser may have found an end of the request, but it is not certain.
        keepAlive_ = false;
        reject(400, "ambiguous_framing");
        return false;
    }
    if (!holdBody(static_cast<std::size_t>(parser_->content_length().value_or(0))))
        return false;
    const bool expects = boost::beast::iequals(header[http::field::expect], "100-continue");
    if (expects && !parser_->is_done() && !http10_)
        write("HTTP/1.1 100 Continue\r\n\r\n");
    return true;
}

bool CallerConnection::holdBody(std::size_t bytes)
{
    if (bytes <= heldBody_->size() || heldBody_->tryResize(bytes))
        return true;
    reject(503, "memory_limit");
    return false;
}

// Without this, the body would grow to its new size before it is known whether memory is left.
bool CallerConnection::reserveBody()
{
    if (!parser_->chunked())
        return true;
    std::string &body = parser_->get().body();
    const std::size_t needed = body.size() + input_.size();
    if (needed <= body.capacity())
        return true;
    const std::size_t grown = std::max(needed, 2 * body.capacity());
    if (!holdBody(grown))
        return false;
    body.reserve(grown);
    return true;
}

bool CallerConnection::holdRequest()
{
    if (held_.tryResize(heldBytes()))
        return true;
    if (phase_ == Phase::Idle) {
        // No request has begun, so that there is nothing to reject.
        held_.resize(heldBytes());
        return true;
    }
    reject(503, "memory_limit");
    return false;
}

std::size_t CallerConnection::heldBytes() const
{
    return kConnectionBytes + input_.capacity() + pendingOutput_.capacity()
           + outputInFlight_.capacity() + headerSize_.heldBytes();
}

void CallerConnection::releaseRequest()
{
    parser_->get().body() = {};
    heldBody_->resize(0);
    parser_->get().clear();
    headerSize_ = {};
    input_.clear();
    input_.shrink_to_fit();
    held_.resize(heldBytes());
}

void CallerConnection::requestComplete()
{
    readDeadline_.clear();
    phase_ = Phase::Responding;
    if (input_.size() == 0)
        input_.shrink_to_fit();
    HeldString body{ .text = std::move(parser_->get().body()), .memory = std::move(*heldBody_) };
    heldBody_.reset();
    CallerRequest request = readCallerRequest(parser_->get(), std::move(body),
                                              context_.options.headerNames);
    request.received = received_;
    const milliseconds wait = startupWaitLimit(request.deadline);
    if (context_.state.canRoute() || context_.refusingNewRequests || wait.count() == 0)
        routeRequest(std::move(request));
    else
        waitForRouting(std::move(request), wait);
}

void CallerConnection::waitForRouting(CallerRequest request, milliseconds limit)
{
    heldRequest_ = std::move(request);
    startupDeadline_.setAfter(limit);
    startupEntry_ = context_.startupQueue.add(
            [self = shared_from_this()] { self->endStartupWait("routable"); });
    read();
}

// Does nothing if the request no longer waits, or if its caller has disconnected.
void CallerConnection::endStartupWait(std::string_view reason)
{
    const auto self = shared_from_this();
    startupDeadline_.clear();
    context_.startupQueue.remove(startupEntry_);
    if (!heldRequest_ || phase_ == Phase::Closed)
        return;
    CallerRequest request = *std::exchange(heldRequest_, std::nullopt);
    const auto waited = std::chrono::duration_cast<milliseconds>(Clock::now() - request.received);
    logEvent(LogLevel::Info, "startup_wait_ended",
             { { "id", request.id },
               { "reason", reason },
               { "waited_ms", static_cast<long long>(waited.count()) } });
    routeRequest(std::move(request));
}

void CallerConnection::routeRequest(CallerRequest request)
{
    const std::shared_ptr<const routing::TrafficConfig> config = context_.state.config;
    request.config = config;
    if (!config || context_.refusingNewRequests) {
        reject(503, config ? "stopping" : "no_configuration");
        return;
    }
    request.route = config->findRoute(request.host, pathOf(request.target));
    if (!request.route) {
        reject(404, "no_route");
        return;
    }
    if (request.id.empty()) {
        reject(400, "no_request_id");
        return;
    }
    if (config->requiresApiKeys()) {
        request.organisation = config->findOrganisation(request.apiKey);
        if (!request.organisation && !request.route->isPublic) {
            reject(401, "unknown_key");
            return;
        }
    }
    std::shared_ptr<ResponseWriter> writer(shared_from_this(), this);
    exchange_ = std::make_shared<Exchange>(context_, std::move(request), std::move(writer));
    const auto exchange = exchange_;
    // The fields have been copied into the request.
    parser_.reset();
    exchange->start();
    read();
}

void CallerConnection::parseFailed(ErrorCode error)
{
    if (error == http::error::header_limit)
        reject(431, "header_too_large");
    else if (error == http::error::body_limit)
        reject(413, "body_too_large");
    else
        reject(400, "malformed_request");
}

void CallerConnection::readTimedOut()
{
    const auto self = shared_from_this();
    if (phase_ == Phase::Header || phase_ == Phase::Body)
        reject(408, phase_ == Phase::Header ? "header_timeout" : "body_timeout");
    else if (phase_ == Phase::Idle && hasUnreadInput())
        readDeadline_.setAfter(currentLimits().headerTimeout);
    else if (phase_ != Phase::Responding)
        close();
}

// If this process was paused, the idle timer may expire although a request arrived in time. Such a
// request must still be read.
bool CallerConnection::hasUnreadInput() const
{
    ErrorCode error;
    return socket_.available(error) > 0 && !error;
}

void CallerConnection::reject(int status, const char *reason)
{
    readDeadline_.clear();
    phase_ = Phase::Responding;
    if (!parser_->is_done())
        keepAlive_ = false;
    const bool headerRead = parser_->is_header_done();
    const RequestHeader &header = parser_->get();
    const auto field = [&](const std::string &name) {
        return headerRead ? toStringView(header[name]) : std::string_view();
    };
    logEvent(LogLevel::Warning, "request_rejected",
             { { "id", field(context_.options.headerNames.requestId) },
               { "status", static_cast<long long>(status) },
               { "reason", reason },
               { "target", headerRead ? toStringView(header.target()) : std::string_view() },
               { "config", context_.state.config
                                   ? static_cast<long long>(context_.state.config->version())
                                   : -1LL } });
    if (context_.options.metrics)
        context_.options.metrics
                ->counter("auburn_rejected_total", "Requests rejected before routing",
                          { { "reason", reason } })
                .add();
    if (!parser_->is_done())
        releaseRequest();
    ResponseHead head{ .status = status };
    if (status == 503)
        head.fields.push_back(retryAfterField(rejectionRetryDelay()));
    sendResponse(std::move(head), {});
    read();
}

bool CallerConnection::closeIfIdle()
{
    if (phase_ != Phase::Idle || hasUnreadInput())
        return false;
    close();
    return true;
}

ConnectionLoad CallerConnection::nextRound()
{
    const bool isIncomplete = phase_ == Phase::Header || phase_ == Phase::Body;
    // A connection that waits for a request or for a server is not stalled.
    const unsigned stalledRounds = progress_.nextRound(isIncomplete || writeInProgress_);
    const bool isUnread = phase_ == Phase::Responding && writeInProgress_ && stalledRounds > 0;
    return { .heldBytes = held_.size() + (heldBody_ ? heldBody_->size() : 0),
             .source = source_,
             .stalledRounds = stalledRounds,
             .isDispensable = isIncomplete || isUnread };
}

void CallerConnection::shed(const char *reason)
{
    if (phase_ == Phase::Header || phase_ == Phase::Body)
        reject(503, reason);
    else if (phase_ == Phase::Responding && writeInProgress_)
        close();
}

milliseconds CallerConnection::rejectionRetryDelay() const
{
    if (context_.state.config)
        return kOtherDaemonRetryDelay;
    return missingConfigurationRetryDelay(
            std::chrono::duration_cast<milliseconds>(Clock::now() - context_.startedAt));
}

std::string CallerConnection::formatHead(const ResponseHead &head) const
{
    const auto reason = http::obsolete_reason(static_cast<http::status>(head.status));
    std::string text;
    text.reserve(512);
    text.append(http10_ ? "HTTP/1.0 " : "HTTP/1.1 ").append(std::to_string(head.status));
    text.append(" ").append(reason.data(), reason.size()).append("\r\n");
    for (const HeaderField &field : head.fields)
        text.append(field.name).append(": ").append(field.value).append("\r\n");
    if (!keepAlive_)
        text.append("Connection: close\r\n");
    else if (http10_)
        text.append("Connection: keep-alive\r\n");
    return text;
}

void CallerConnection::sendResponse(ResponseHead head, std::string body)
{
    if (context_.draining)
        keepAlive_ = false;
    std::string text = formatHead(head);
    text.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n\r\n");
    pendingOutput_.reserve(pendingOutput_.size() + text.size() + body.size());
    pendingOutput_.append(text);
    write(headRequest_ ? std::string_view() : body);
    responseComplete();
}

void CallerConnection::beginStream(ResponseHead head)
{
    if (context_.draining)
        keepAlive_ = false;
    chunked_ = !http10_;
    if (!chunked_)
        keepAlive_ = false;
    std::string text = formatHead(head);
    if (chunked_)
        text.append("Transfer-Encoding: chunked\r\n");
    text.append("\r\n");
    pendingOutput_.append(text);
}

void CallerConnection::sendStreamData(std::string_view data)
{
    if (data.empty() || headRequest_)
        return;
    if (!chunked_) {
        write(data);
        return;
    }
    char size[24];
    std::snprintf(size, sizeof(size), "%zx\r\n", data.size());
    pendingOutput_.append(size).append(data);
    write("\r\n");
}

void CallerConnection::endStream(bool complete)
{
    if (complete && chunked_ && !headRequest_)
        pendingOutput_.append("0\r\n\r\n");
    abortResponse_ = !complete;
    if (!complete)
        keepAlive_ = false;
    write({});
    responseComplete();
}

bool CallerConnection::isCongested() const
{
    return pendingOutput_.size() > kOutputHighWatermark;
}

void CallerConnection::write(std::string_view data)
{
    pendingOutput_.append(data);
    flushOutput();
}

void CallerConnection::flushOutput()
{
    if (writeInProgress_ || pendingOutput_.empty() || phase_ == Phase::Closed)
        return;
    outputInFlight_.clear();
    outputInFlight_.swap(pendingOutput_);
    writeInProgress_ = true;
    writtenBytes_ = 0;
    updateHeldOutput();
    writeDeadline_.setAfter(kWriteTimeout);
    const auto countWritten = [this](ErrorCode error, std::size_t bytes) {
        progress_.addBytes(bytes - std::exchange(writtenBytes_, bytes));
        return asio::transfer_all()(error, bytes);
    };
    asio::async_write(socket_, asio::buffer(outputInFlight_), countWritten,
                      [self = shared_from_this()](ErrorCode error, std::size_t bytes) {
                          self->writeFinished(error, bytes);
                      });
}

void CallerConnection::writeFinished(ErrorCode error, std::size_t /*bytes*/)
{
    writeInProgress_ = false;
    writeDeadline_.clear();
    if (phase_ == Phase::Closed)
        return;
    if (error) {
        close();
        return;
    }
    if (!pendingOutput_.empty()) {
        flushOutput();
        return;
    }
    updateHeldOutput();
    if (responseDone_)
        responseWritten();
    else if (exchange_)
        exchange_->callerWritable();
}

void CallerConnection::updateHeldOutput()
{
    if (!writeInProgress_ && outputInFlight_.capacity() > MemoryBudget::kSmallHolderBytes)
        outputInFlight_ = {};
    if (pendingOutput_.empty() && pendingOutput_.capacity() > MemoryBudget::kSmallHolderBytes)
        pendingOutput_ = {};
    held_.resize(heldBytes());
}

void CallerConnection::responseComplete()
{
    responseDone_ = true;
    exchange_.reset();
    if (!writeInProgress_ && pendingOutput_.empty())
        asio::post(socket_.get_executor(), [self = shared_from_this()] {
            if (self->phase_ == Phase::Responding)
                self->responseWritten();
        });
}

void CallerConnection::responseWritten()
{
    if (abortResponse_) {
        close();
        return;
    }
    if (keepAlive_) {
        beginRequest();
        return;
    }
    // Closing a socket with unread input would reset the connection before the caller has read the
    // response.
    ErrorCode ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    phase_ = Phase::Lingering;
    parser_.reset();
    readDeadline_.setAfter(kLingerTimeout);
    read();
}

void CallerConnection::postClose()
{
    asio::post(socket_.get_executor(), [self = shared_from_this()] { self->close(); });
}

void CallerConnection::close()
{
    if (phase_ == Phase::Closed)
        return;
    const auto self = shared_from_this();
    phase_ = Phase::Closed;
    IdleConnectionHook::unlink();
    readDeadline_.clear();
    writeDeadline_.clear();
    startupDeadline_.clear();
    context_.startupQueue.remove(startupEntry_);
    ErrorCode ignored;
    socket_.close(ignored);
    if (const auto exchange = std::exchange(exchange_, nullptr))
        exchange->callerDisconnected();
}

} // namespace auburn::gateway
