#include "auburn/gateway/httpclient.h"

#include "auburn/core/lazydeadline.h"

#include <algorithm>
#include <utility>

namespace auburn::gateway {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds kConnectTimeout{ 1000 };
constexpr std::size_t kMaxAnswer = std::size_t{ 8 } * 1024 * 1024;

} // namespace

class HttpClient::Call
    : public std::enable_shared_from_this<HttpClient::Call>
    , public CallEvents
{
public:
    Call(HttpClient &client, ReplyHandler handler)
        : client_(client)
        , handler_(std::move(handler))
        , deadline_(client.io_, [this] { fail("no answer within the time limit"); })
    {}

    void start(std::shared_ptr<OutboundConnection> connection, OutboundRequest request,
               milliseconds timeout)
    {
        connection_ = std::move(connection);
        deadline_.setAfter(timeout);
        connection_->call(std::move(request), std::min(kConnectTimeout, timeout), this);
    }

    void fail(const std::string &reason)
    {
        const auto self = shared_from_this();
        connection_->close();
        finish(HttpResponse{ .error = reason });
    }

    const std::shared_ptr<OutboundConnection> &connection() const { return connection_; }

    AnswerOwner ownerOf(const AnswerHeader & /*header*/) override { return AnswerOwner::Unnamed; }

    void answerBegun(const AnswerHeader &header) override
    {
        reply_.status = static_cast<int>(header.result_int());
    }

    void answerData(const std::vector<std::string_view> &data) override
    {
        for (const std::string_view bytes : data)
            reply_.body.append(bytes);
        if (reply_.body.size() > kMaxAnswer)
            fail("the answer is too large");
    }

    void callEnded(const CallResult &result) override
    {
        const auto self = shared_from_this();
        if (result.end == CallEnd::Complete)
            finish(std::move(reply_));
        else
            finish(HttpResponse{ .error = result.error });
    }

private:
    void finish(HttpResponse reply)
    {
        if (!handler_)
            return;
        deadline_.clear();
        const ReplyHandler handler = std::exchange(handler_, nullptr);
        client_.finished(this, connection_->isReusable());
        handler(std::move(reply));
    }

    HttpClient &client_;
    ReplyHandler handler_;
    LazyDeadline deadline_;
    std::shared_ptr<OutboundConnection> connection_;
    HttpResponse reply_;
};

HttpClient::HttpClient(boost::asio::io_context &io, std::string address)
    : io_(io)
    , address_(std::move(address))
{}

HttpClient::~HttpClient()
{
    for (const auto &call : open_)
        call->connection()->close();
}

void HttpClient::get(const std::string &target, milliseconds timeout, ReplyHandler handler)
{
    start("GET " + target + " HTTP/1.1\r\nHost: " + address_ + "\r\n\r\n", {}, timeout,
          std::move(handler));
}

void HttpClient::post(const std::string &target, const std::string &contentType, std::string body,
                      milliseconds timeout, ReplyHandler handler)
{
    const std::string head = "POST " + target + " HTTP/1.1\r\nHost: " + address_
                             + "\r\nContent-Type: " + contentType
                             + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    start(head, std::move(body), timeout, std::move(handler));
}

void HttpClient::start(const std::string &head, std::string body, milliseconds timeout,
                       ReplyHandler handler)
{
    ++calls_;
    const auto call = std::make_shared<Call>(*this, std::move(handler));
    open_.push_back(call);
    std::shared_ptr<OutboundConnection> connection;
    std::erase_if(idle_, [](const auto &entry) { return entry->isClosed(); });
    if (!idle_.empty()) {
        connection = idle_.back();
        idle_.pop_back();
    } else {
        connection = std::make_shared<OutboundConnection>(io_, address_);
    }
    OutboundRequest request{ .head = head };
    if (!body.empty())
        request.body = std::make_shared<const std::string>(std::move(body));
    call->start(std::move(connection), std::move(request), timeout);
}

void HttpClient::finished(Call *call, bool reusable)
{
    const auto found = std::find_if(open_.begin(), open_.end(),
                                    [call](const auto &entry) { return entry.get() == call; });
    if (found == open_.end())
        return;
    const auto connection = (*found)->connection();
    open_.erase(found);
    if (!reusable)
        return;
    idle_.push_back(connection);
    connection->watchIdle([] {});
}

} // namespace auburn::gateway
