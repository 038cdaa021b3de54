#include "callerconnection.h"

#include "auburn/core/ids.h"

#include <QJsonDocument>
#include <QJsonObject>

#include <boost/asio/post.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <utility>

namespace auburn {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace {

constexpr std::size_t kReadSize = std::size_t{ 16 } * 1024;
// Memory of a connection without its buffers: the object, its timers, and its socket.
constexpr std::size_t kConnectionBytes = std::size_t{ 4 } * 1024;
// How long and how much input is discarded after a refusal, so that the caller can read the answer
// before its connection is reset.
constexpr std::chrono::milliseconds kLingerTime{ 2000 };
constexpr std::size_t kLingerBytes = std::size_t{ 8 } * 1024 * 1024;

const char *errorTypeOf(int status)
{
    if (status == 401 || status == 403)
        return "authentication_error";
    if (status == 429)
        return "rate_limit_error";
    return status < 500 ? "invalid_request_error" : "server_error";
}

std::string errorBody(const Refusal &refusal)
{
    const std::string code(refusalCodeName(refusal.code));
    const QJsonObject error{ { "message", QString::fromStdString(refusal.message) },
                             { "type", errorTypeOf(refusalHttpStatus(refusal.code)) },
                             { "code", QString::fromStdString(code) },
                             { "param", QJsonValue::Null } };
    return QJsonDocument(QJsonObject{ { "error", error } })
            .toJson(QJsonDocument::Compact)
            .toStdString();
}

std::size_t totalSize(const std::vector<std::string_view> &data)
{
    std::size_t total = 0;
    for (const std::string_view view : data)
        total += view.size();
    return total;
}

} // namespace

CallerConnection::CallerConnection(WorkerContext &worker, tcp::socket socket)
    : worker_(worker)
    , socket_(std::move(socket))
    , input_(worker.shared.options.limits.headerBytes + kReadSize)
    , readDeadline_(worker.io, [this] { readDeadlinePassed(); })
    , writeDeadline_(worker.io, [this] { writeFailed(); })
    , held_(worker.shared.memory)
    , idleEntry_(worker.idle, this)
{}

CallerConnection::~CallerConnection()
{
    --worker_.shared.connections;
}

void CallerConnection::start()
{
    ErrorCode ignored;
    socket_.non_blocking(true, ignored);
    socket_.set_option(tcp::no_delay(true), ignored);
    const tcp::endpoint remote = socket_.remote_endpoint(ignored);
    source_ = ignored ? 0 : connectionSource(remote.address());
    beginRequest();
    if (worker_.shared.draining)
        drain();
}

void CallerConnection::drain()
{
    if (phase_ == Phase::Idle)
        readDeadline_.setAfter(worker_.shared.options.limits.drainIdleTime);
}

void CallerConnection::abort()
{
    const auto self = shared_from_this();
    close();
}

// ---- Input -----------------------------------------------------------------

void CallerConnection::beginRequest()
{
    const RelayLimits &limits = worker_.shared.options.limits;
    parser_.emplace();
    heldBody_.emplace(worker_.shared.memory);
    parser_->header_limit(static_cast<std::uint32_t>(limits.headerBytes));
    parser_->body_limit(limits.bodyBytes);
    identity_.reset();
    requestId_ = makeRandomId();
    headRequest_ = false;
    keepAlive_ = true;
    httpVersion_ = 11;
    answerDone_ = false;
    callerBehind_ = false;
    answerBytes_ = 0;
    headerSize_ = {};
    phase_ = Phase::Idle;
    idleEntry_.enter();
    // An idle connection holds no buffer.
    if (input_.size() == 0)
        input_.shrink_to_fit();
    held_.resize(heldBytes());
    readDeadline_.setAfter(worker_.shared.draining ? limits.drainIdleTime : limits.keepAliveTime);
    parseInput();
}

void CallerConnection::read()
{
    // While an answer is under way the buffer holds pipelined input only up to its limit.
    if (reading_ || inputEnded_ || phase_ == Phase::Closed)
        return;
    if (input_.size() + kReadSize > input_.max_size())
        return;
    // Pipelined requests wait in the socket while memory is short.
    if (phase_ == Phase::Answering && input_.size() > 0
        && worker_.shared.shedding.isUnderPressure())
        return;
    reading_ = true;
    // No part of the input buffer is in use while the connection waits, so the parser may consume
    // what has been read ahead.
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
        bytes = socket_.read_some(input_.prepare(kReadSize), error);
    if (error == asio::error::would_block)
        read();
    else
        received(error, bytes);
}

void CallerConnection::received(ErrorCode error, std::size_t bytes)
{
    if (error) {
        inputEnded_ = true;
        close();
        return;
    }
    if (phase_ == Phase::Lingering) {
        lingerBytes_ += bytes;
        if (lingerBytes_ > kLingerBytes)
            close();
        else
            read();
        return;
    }
    input_.commit(bytes);
    progress_.addBytes(bytes);
    if (phase_ == Phase::Answering) {
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
            idleEntry_.leave();
            readDeadline_.setAfter(worker_.shared.options.limits.headerTime);
        }
        if (phase_ == Phase::Body && !reserveBody())
            return;
        const ErrorCode error = parseBuffered();
        if (error && error != http::error::need_more) {
            parseFailed(error);
            return;
        }
        if (phase_ == Phase::Header && parser_->is_header_done())
            headerComplete();
        else if (error == http::error::need_more)
            break;
        const bool isBody = phase_ == Phase::Body;
        if (isBody && (!holdBody(parser_->get().body().capacity()) || !holdRequest()))
            return;
        if (isBody && parser_->is_done())
            requestComplete();
    }
    if (holdRequest())
        read();
}

CallerConnection::ErrorCode CallerConnection::parseBuffered()
{
    ErrorCode error = http::error::need_more;
    if (input_.size() == 0)
        return error;
    const auto data = input_.data();
    const std::size_t used = parser_->put(data, error);
    // Trailers are consumed in one call, once they are complete.
    const bool isTrailer = phase_ == Phase::Body && parser_->is_done() && parser_->chunked();
    if (phase_ == Phase::Header || isTrailer)
        headerSize_.add(static_cast<const char *>(data.data()), used);
    input_.consume(used);
    // The parser's own limit applies to each part that arrives; many short fields pass it.
    if (phase_ == Phase::Header && headerSize_.bytes > worker_.shared.options.limits.headerBytes)
        return http::error::header_limit;
    // Trailers or a chunk line that fill the buffer can never be consumed.
    const bool isStuck = phase_ == Phase::Body && error == http::error::need_more
                         && input_.size() + kReadSize > input_.max_size();
    return isStuck ? ErrorCode(http::error::header_limit) : error;
}

bool CallerConnection::holdBody(std::size_t bytes)
{
    if (bytes <= heldBody_->size() || heldBody_->tryResize(bytes))
        return true;
    rejectForMemory("the daemon has no memory left for the body");
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
    const bool isIncomplete = phase_ == Phase::Header || phase_ == Phase::Body;
    if (isIncomplete && !held_.tryResize(heldBytes())) {
        rejectForMemory("the daemon has no memory left for the request");
        return false;
    }
    if (!isIncomplete)
        held_.resize(heldBytes());
    return true;
}

std::size_t CallerConnection::heldBytes() const
{
    return kConnectionBytes + input_.capacity() + output_.capacity() + headerSize_.heldBytes();
}

void CallerConnection::rejectForMemory(const char *message)
{
    reject({ .code = RefusalCode::MemoryShortage,
             .message = message,
             .retryAfter = std::chrono::seconds(1) });
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

void CallerConnection::headerComplete()
{
    const RequestHeader &header = parser_->get();
    httpVersion_ = header.version();
    keepAlive_ = parser_->keep_alive() && !worker_.shared.draining;
    headRequest_ = header.method() == http::verb::head;
    phase_ = Phase::Body;
    readDeadline_.setAfter(worker_.shared.options.limits.bodyTime);
    if (const std::optional<Refusal> refusal = checkFraming(header)) {
        // The parser may have found an end of the request, but it is not certain.
        keepAlive_ = false;
        reject(*refusal);
        return;
    }
    std::shared_ptr<const ConfigState> config = worker_.shared.options.config();
    const auto &ready = worker_.shared.options.ready;
    if (!config || (ready && !ready())) {
        reject({ .code = RefusalCode::NotReady,
                 .message = "the daemon has no configuration yet",
                 .retryAfter = std::chrono::seconds(1) });
        return;
    }
    auto identity = identifyCaller(std::move(config), header, worker_.shared.options.limits);
    if (const auto *refusal = std::get_if<Refusal>(&identity)) {
        reject(*refusal);
        return;
    }
    identity_ = std::get<CallerIdentity>(std::move(identity));
    if (!holdBody(static_cast<std::size_t>(parser_->content_length().value_or(0))))
        return;
    const bool expects = boost::beast::iequals(header[http::field::expect], "100-continue");
    if (expects && !parser_->is_done() && httpVersion_ >= 11) {
        constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
        write({ asio::buffer(kContinue.data(), kContinue.size()) });
    }
}

void CallerConnection::requestComplete()
{
    const RequestHeader &header = parser_->get();
    readDeadline_.clear();
    if (header.target() == "/v1/models") {
        const bool allowed = header.method() == http::verb::get || headRequest_;
        if (!allowed) {
            reject({ .code = RefusalCode::MethodNotAllowed, .message = "models take GET only" });
            return;
        }
        phase_ = Phase::Answering;
        sendWhole({ .status = 200, .fields = { { "Content-Type", "application/json" } } },
                  modelList(*identity_->config));
        return;
    }
    startSession();
}

void CallerConnection::startSession()
{
    auto read = readRequest(*identity_, parser_->get(), std::move(parser_->get().body()));
    if (const auto *refusal = std::get_if<Refusal>(&read)) {
        reject(*refusal);
        return;
    }
    auto &request = std::get<RelayRequest>(read);
    request.id = requestId_;
    const Organisation &organisation = *identity_->organisation;
    HeldMemory memory = std::move(*heldBody_);
    heldBody_.reset();
    if (!memory.tryResize(RelaySession::heldBytes(request))) {
        rejectForMemory("the daemon has no memory left for the request");
        return;
    }
    auto ticket = worker_.shared.organisations.enter(organisation.name, organisation.maxConcurrent);
    if (!ticket) {
        reject({ .code = RefusalCode::OrganisationLimit,
                 .message = "the organisation has too many concurrent requests",
                 .retryAfter = std::chrono::seconds(1) });
        return;
    }
    phase_ = Phase::Answering;
    identity_.reset();
    // The fields have been copied into the request.
    parser_.reset();
    headerSize_ = {};
    if (input_.size() == 0)
        input_.shrink_to_fit();
    auto session = std::make_shared<RelaySession>(worker_, std::move(request), std::move(memory),
                                                  std::move(*ticket),
                                                  static_cast<AnswerWriter &>(*this));
    session_ = session;
    session->start();
}

void CallerConnection::parseFailed(const ErrorCode &error)
{
    if (error == http::error::header_limit) {
        reject({ .code = RefusalCode::HeadersTooLarge, .message = "the header is too large" });
        return;
    }
    if (error == http::error::body_limit) {
        reject({ .code = RefusalCode::BodyTooLarge, .message = "the body is too large" });
        return;
    }
    reject({ .code = RefusalCode::InvalidRequest,
             .message = "malformed HTTP request: " + error.message() });
}

void CallerConnection::readDeadlinePassed()
{
    const auto self = shared_from_this();
    if (phase_ == Phase::Header || phase_ == Phase::Body)
        reject({ .code = RefusalCode::RequestTimeout,
                 .message = phase_ == Phase::Header ? "the header did not arrive in time"
                                                    : "the body did not arrive in time" });
    else if (phase_ != Phase::Answering)
        close();
}

void CallerConnection::reject(const Refusal &refusal)
{
    readDeadline_.clear();
    phase_ = Phase::Answering;
    // Input after a request that was not read to its end cannot be interpreted.
    if (!parser_->is_done()) {
        keepAlive_ = false;
        releaseRequest();
    }
    if (RequestObserver *observer = worker_.shared.options.observer)
        observer->rejected(refusal);
    refuse(refusal);
}

// ---- Shedding --------------------------------------------------------------

bool CallerConnection::closeIfIdle()
{
    ErrorCode error;
    const bool hasUnreadInput = socket_.available(error) > 0 && !error;
    const bool isIdle = phase_ == Phase::Idle && !hasUnreadInput;
    if (!isIdle && phase_ != Phase::Lingering)
        return false;
    close();
    return true;
}

ConnectionLoad CallerConnection::nextRound()
{
    const bool isIncomplete = phase_ == Phase::Header || phase_ == Phase::Body;
    // A connection that waits for a request or for a backend server is not stalled.
    const unsigned stalledRounds = progress_.nextRound(isIncomplete || writing_);
    const bool isUnread = phase_ == Phase::Answering && writing_ && stalledRounds > 0;
    return { .heldBytes = held_.size() + (heldBody_ ? heldBody_->size() : 0)
                          + (session_ ? session_->heldBytes() : 0),
             .source = source_,
             .stalledRounds = stalledRounds,
             .isDispensable = isIncomplete || isUnread };
}

void CallerConnection::shed()
{
    const auto self = shared_from_this();
    if (phase_ == Phase::Header || phase_ == Phase::Body)
        rejectForMemory("the daemon is short of memory");
    else if (phase_ == Phase::Answering && writing_ && !progress_.hasMoved())
        close();
}

// ---- Answers ---------------------------------------------------------------

void CallerConnection::refuse(const Refusal &refusal)
{
    AnswerHead head{ .status = refusalHttpStatus(refusal.code),
                     .fields = {
                             { "Content-Type", "application/json" },
                             { "Auburn-Verdict", std::string(verdictName(refusal.verdict)) } } };
    if (refusal.code == RefusalCode::Unauthorized)
        head.fields.push_back({ "WWW-Authenticate", "Bearer" });
    if (refusal.retryAfter) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*refusal.retryAfter).count();
        head.fields.push_back({ "Retry-After", std::to_string(seconds) });
    }
    sendWhole(std::move(head), errorBody(refusal));
}

std::string CallerConnection::headText(const AnswerHead &head) const
{
    const auto reason = http::obsolete_reason(static_cast<http::status>(head.status));
    std::string text;
    text.reserve(512);
    text.append(httpVersion_ >= 11 ? "HTTP/1.1 " : "HTTP/1.0 ");
    text.append(std::to_string(head.status)).append(" ");
    text.append(reason.data(), reason.size()).append("\r\n");
    for (const HeaderField &field : head.fields)
        text.append(field.name).append(": ").append(field.value).append("\r\n");
    text.append("X-Request-Id: ").append(requestId_).append("\r\n");
    if (!keepAlive_)
        text.append("Connection: close\r\n");
    else if (httpVersion_ < 11)
        text.append("Connection: keep-alive\r\n");
    return text;
}

void CallerConnection::sendWhole(AnswerHead head, std::string body)
{
    if (worker_.shared.draining)
        keepAlive_ = false;
    std::string text = headText(head);
    const bool bodyAllowed = head.status != 204 && head.status != 304;
    if (bodyAllowed && !headRequest_)
        text.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n");
    text.append("\r\n");
    if (bodyAllowed && !headRequest_)
        write({ asio::buffer(text), asio::buffer(body) });
    else
        write({ asio::buffer(text) });
    answerComplete();
}

bool CallerConnection::beginStream(const AnswerHead &head,
                                   const std::vector<std::string_view> &data)
{
    if (worker_.shared.draining)
        keepAlive_ = false;
    chunked_ = httpVersion_ >= 11;
    if (!chunked_)
        keepAlive_ = false;
    std::string text = headText(head);
    if (chunked_)
        text.append("Transfer-Encoding: chunked\r\n");
    text.append("\r\n");
    return sendChunk(text, data);
}

bool CallerConnection::sendData(const std::vector<std::string_view> &data)
{
    return sendChunk({}, data);
}

bool CallerConnection::sendChunk(std::string_view before, const std::vector<std::string_view> &data)
{
    std::array<char, 24> size{};
    parts_.clear();
    if (!before.empty())
        parts_.emplace_back(before.data(), before.size());
    if (chunked_) {
        char *end = std::to_chars(size.data(), size.data() + 16, totalSize(data), 16).ptr;
        *end++ = '\r';
        *end++ = '\n';
        parts_.emplace_back(size.data(), static_cast<std::size_t>(end - size.data()));
    }
    for (const std::string_view view : data)
        parts_.emplace_back(view.data(), view.size());
    if (chunked_)
        parts_.emplace_back("\r\n", 2);
    write(parts_);
    const std::size_t waiting = output_.size() - outputSent_;
    callerBehind_ = waiting > worker_.shared.options.limits.relayBufferBytes;
    return !callerBehind_;
}

void CallerConnection::endStream(bool complete)
{
    // Without the last chunk a caller would take a broken stream for a failed connection and lose
    // the error event, so both kinds of end are properly framed.
    if (chunked_)
        write({ asio::buffer("0\r\n\r\n", 5) });
    if (!complete)
        keepAlive_ = false;
    answerComplete();
}

void CallerConnection::write(const std::vector<asio::const_buffer> &parts)
{
    if (phase_ == Phase::Closed || broken_)
        return;
    std::size_t sent = 0;
    if (output_.empty()) {
        ErrorCode error;
        sent = socket_.write_some(parts, error);
        if (error && error != asio::error::would_block) {
            writeFailed();
            return;
        }
        progress_.addBytes(sent);
    }
    for (const asio::const_buffer &part : parts) {
        answerBytes_ += part.size();
        const std::size_t skipped = std::min(sent, part.size());
        sent -= skipped;
        output_.append(static_cast<const char *>(part.data()) + skipped, part.size() - skipped);
    }
    if (output_.empty())
        return;
    updateHeldOutput();
    writeRest();
}

void CallerConnection::updateHeldOutput()
{
    if (output_.empty() && output_.capacity() > MemoryBudget::kSmallHolderBytes)
        output_ = {};
    held_.resize(heldBytes());
}

void CallerConnection::writeRest()
{
    if (writing_)
        return;
    writing_ = true;
    writeDeadline_.setAfter(worker_.shared.options.limits.writeTimeout);
    socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](ErrorCode error) {
        self->writing_ = false;
        if (self->phase_ == Phase::Closed)
            return;
        std::size_t bytes = 0;
        if (!error) {
            const char *rest = self->output_.data() + self->outputSent_;
            bytes = self->socket_.write_some(
                    asio::buffer(rest, self->output_.size() - self->outputSent_), error);
        }
        self->restWritten(error, bytes);
    });
}

void CallerConnection::restWritten(ErrorCode error, std::size_t bytes)
{
    if (error && error != asio::error::would_block) {
        close();
        return;
    }
    outputSent_ += bytes;
    progress_.addBytes(bytes);
    if (outputSent_ < output_.size()) {
        // Bytes that were sent are dropped when they are the larger part, which keeps both the
        // memory and the copying bounded.
        if (outputSent_ > output_.size() / 2) {
            output_.erase(0, outputSent_);
            outputSent_ = 0;
        }
        writeRest();
    } else {
        output_.clear();
        outputSent_ = 0;
        writeDeadline_.clear();
    }
    updateHeldOutput();
    const std::size_t waiting = output_.size() - outputSent_;
    if (callerBehind_ && waiting <= worker_.shared.options.limits.relayBufferBytes / 2) {
        callerBehind_ = false;
        if (session_)
            session_->callerReady();
    }
    if (answerDone_ && output_.empty())
        answerWritten();
}

void CallerConnection::answerComplete()
{
    answerDone_ = true;
    if (!output_.empty())
        return;
    // The session that calls this must return before the next request starts.
    asio::post(worker_.io, [self = shared_from_this()] {
        if (self->answerDone_ && self->output_.empty())
            self->answerWritten();
    });
}

void CallerConnection::answerWritten()
{
    if (phase_ != Phase::Answering)
        return;
    session_.reset();
    if (!keepAlive_) {
        linger();
        return;
    }
    beginRequest();
}

void CallerConnection::writeFailed()
{
    // Called from within a session's calls too, so closing is left to the event loop.
    broken_ = true;
    asio::post(worker_.io, [self = shared_from_this()] { self->close(); });
}

void CallerConnection::linger()
{
    phase_ = Phase::Lingering;
    // A new connection may displace it.
    idleEntry_.enter();
    ErrorCode ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    input_.clear();
    parser_.reset();
    heldBody_.reset();
    held_.resize(heldBytes());
    readDeadline_.setAfter(kLingerTime);
    read();
}

void CallerConnection::close()
{
    if (phase_ == Phase::Closed)
        return;
    phase_ = Phase::Closed;
    idleEntry_.leave();
    readDeadline_.clear();
    writeDeadline_.clear();
    ErrorCode ignored;
    socket_.close(ignored);
    if (const auto session = std::exchange(session_, nullptr))
        session->callerGone();
}

} // namespace auburn
