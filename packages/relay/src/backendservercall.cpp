#include "backendservercall.h"

#include "auburn/core/endpoint.h"
#include "auburn/core/joinedhead.h"
#include "auburn/core/responsestatus.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>

#include <array>
#include <charconv>
#include <utility>

namespace auburn {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace {

constexpr std::size_t kReadSize = std::size_t{ 16 } * 1024;
// Larger than any head that a backend server sends in practice.
constexpr std::uint32_t kAnswerHeadLimit = 64 * 1024;
constexpr const char *kRequestIdField = "X-Request-Id";

std::string requestHead(const BackendServerDial &dial)
{
    const BackendServerMessage &message = dial.message;
    std::string head;
    head.reserve(512);
    head.append(message.method).append(" ").append(message.target).append(" HTTP/1.1\r\n");
    head.append("Host: ").append(dial.address).append("\r\n");
    if (!message.requestId.empty())
        head.append(kRequestIdField).append(": ").append(message.requestId).append("\r\n");
    for (const HeaderField &field : message.fields)
        head.append(field.name).append(": ").append(field.value).append("\r\n");
    const bool hasBody = message.body && !message.body->empty();
    if (hasBody || message.method == "POST" || message.method == "PUT") {
        const std::size_t size = hasBody ? message.body->size() : 0;
        head.append("Content-Length: ").append(std::to_string(size)).append("\r\n");
    }
    if (dial.freshConnection)
        head.append("Connection: close\r\n");
    head.append("\r\n");
    return head;
}

} // namespace

BackendServerCall::BackendServerCall(BackendServerClient &client, BackendServerDial dial,
                                     CallEvents *events)
    : client_(client)
    , dial_(std::move(dial))
    , events_(events)
    , deadline_(client.context_, [this] { timedOut(); })
{
    // The answer to a request without an id could not be told from an earlier one.
    dial_.freshConnection = dial_.freshConnection || dial_.message.requestId.empty();
    parser_.eager(true);
    parser_.header_limit(kAnswerHeadLimit);
    parser_.body_limit(std::numeric_limits<std::uint64_t>::max());
    parser_.skip(dial_.message.method == "HEAD");
}

void BackendServerCall::start()
{
    if (!dial_.freshConnection)
        socket_ = client_.takeIdle(dial_.address);
    reused_ = socket_ != nullptr;
    if (!reused_) {
        connect();
        return;
    }
    connecting_ = false;
    asio::post(client_.context_, [self = shared_from_this()] {
        if (!self->ended_)
            self->sendRequest();
    });
}

void BackendServerCall::connect()
{
    socket_ = std::make_unique<tcp::socket>(client_.context_);
    const std::optional<tcp::endpoint> endpoint = parseEndpoint(dial_.address);
    if (!endpoint) {
        asio::post(client_.context_, [self = shared_from_this()] {
            self->end(CallEnd::ConnectFailed, "address of the backend server is not IP:PORT");
        });
        return;
    }
    deadline_.setAfter(client_.limits_.connectTimeout);
    socket_->async_connect(
            *endpoint, [self = shared_from_this()](ErrorCode error) { self->connected(error); });
}

void BackendServerCall::connected(ErrorCode error)
{
    if (ended_)
        return;
    if (error) {
        end(CallEnd::ConnectFailed, "connect: " + error.message());
        return;
    }
    connecting_ = false;
    socket_->set_option(tcp::no_delay(true), error);
    sendRequest();
}

void BackendServerCall::sendRequest()
{
    head_ = requestHead(dial_);
    deadline_.setAfter(dial_.idleTimeout);
    std::array<asio::const_buffer, 2> parts{ asio::buffer(head_), asio::const_buffer() };
    if (dial_.message.body)
        parts[1] = asio::buffer(*dial_.message.body);
    // From here on the kernel may take bytes before the handler runs.
    verdict_ = Verdict::MayHaveRun;
    asio::async_write(*socket_, parts,
                      [self = shared_from_this()](ErrorCode error, std::size_t bytes) {
                          self->requestSent(error, bytes);
                      });
}

void BackendServerCall::requestSent(ErrorCode error, std::size_t bytes)
{
    if (ended_)
        return;
    if (error && bytes == 0) {
        verdict_ = Verdict::DidNotRun;
        end(CallEnd::Broken, "send: " + error.message());
        return;
    }
    sent_ = !error;
    deadline_.setAfter(dial_.idleTimeout);
    // After a partial write the backend server may have answered and closed, so the answer is still
    // read.
    read();
}

void BackendServerCall::read()
{
    if (reading_ || paused_ || ended_)
        return;
    reading_ = true;
    socket_->async_read_some(buffer_.prepare(kReadSize),
                             [self = shared_from_this()](ErrorCode error, std::size_t bytes) {
                                 self->reading_ = false;
                                 self->received(error, bytes);
                             });
}

void BackendServerCall::received(ErrorCode error, std::size_t bytes)
{
    if (ended_)
        return;
    if (error) {
        end(CallEnd::Broken, error == asio::error::eof ? "the backend server closed the connection"
                                                       : error.message());
        return;
    }
    receivedBytes_ = true;
    buffer_.commit(bytes);
    if (!paused_)
        deadline_.setAfter(dial_.idleTimeout);
    if (parse())
        read();
}

bool BackendServerCall::parse()
{
    ErrorCode error;
    while (buffer_.size() > 0 && !parser_.is_done()) {
        const std::size_t used = parser_.put(buffer_.data(), error);
        buffer_.consume(used);
        if (error == http::error::need_more) {
            error = {};
            break;
        }
        if (error)
            break;
    }
    deliver();
    if (ended_)
        return false;
    if (error) {
        end(CallEnd::Broken, "invalid HTTP answer: " + error.message());
        return false;
    }
    if (parser_.is_done()) {
        answerComplete();
        return false;
    }
    return true;
}

void BackendServerCall::deliver()
{
    if (!headDelivered_ && parser_.is_header_done())
        deliverHead();
    std::vector<std::string_view> &data = parser_.get().body();
    if (events_ && !ended_ && !data.empty())
        events_->callData(data);
    data.clear();
}

void BackendServerCall::deliverHead()
{
    headDelivered_ = true;
    if (isJoinedHead(parser_.get())) {
        end(CallEnd::Broken, "the answer's head contains the start of another answer");
        return;
    }
    if (!isResponseStatus(parser_.get().result_int())) {
        end(CallEnd::Broken,
            "the answer has the status " + std::to_string(parser_.get().result_int()));
        return;
    }
    identified_ = isIdentified();
    if (reused_ && !identified_) {
        end(CallEnd::Unidentified, "the answer on a reused connection is not to this request");
        return;
    }
    verdict_ = Verdict::Ran;
    if (events_)
        events_->callHead(parser_.get());
}

bool BackendServerCall::isIdentified() const
{
    const std::string &id = dial_.message.requestId;
    const auto &header = parser_.get();
    return !id.empty() && header.count(kRequestIdField) == 1 && header[kRequestIdField] == id;
}

void BackendServerCall::answerComplete()
{
    const bool reusable = sent_ && identified_ && !dial_.freshConnection && parser_.keep_alive()
                          && buffer_.size() == 0;
    if (reusable)
        client_.putIdle(dial_.address, std::move(*socket_));
    end(CallEnd::Complete, {});
}

void BackendServerCall::timedOut()
{
    if (ended_)
        return;
    // The call must outlive the callbacks.
    const auto self = shared_from_this();
    if (connecting_)
        end(CallEnd::ConnectFailed, "connect: timed out");
    else
        end(CallEnd::Silent, "the backend server sent nothing within the idle timeout");
}

void BackendServerCall::end(CallEnd how, const std::string &error)
{
    if (ended_)
        return;
    const auto self = shared_from_this();
    ended_ = true;
    deadline_.clear();
    ErrorCode ignored;
    socket_->close(ignored);
    CallEvents *events = std::exchange(events_, nullptr);
    if (!events)
        return;
    events->callEnded(
            CallResult{ .end = how,
                        .verdict = verdict_,
                        .stalePooled = reused_ && !receivedBytes_ && how == CallEnd::Broken,
                        .error = error });
}

void BackendServerCall::close()
{
    if (ended_)
        return;
    events_ = nullptr;
    ended_ = true;
    deadline_.clear();
    ErrorCode ignored;
    socket_->close(ignored);
}

void BackendServerCall::detach()
{
    events_ = nullptr;
    resume();
}

void BackendServerCall::pause()
{
    paused_ = true;
    deadline_.clear();
}

void BackendServerCall::resume()
{
    if (!paused_ || ended_)
        return;
    paused_ = false;
    deadline_.setAfter(dial_.idleTimeout);
    read();
}

} // namespace auburn
