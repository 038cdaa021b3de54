#include "auburn/gateway/httpclient.h"

#include "callerrequest.h"

#include "auburn/core/lazydeadline.h"

#include <algorithm>
#include <utility>

namespace auburn::gateway {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds kConnectTimeout{ 1000 };
// Announces that the connection carries no other request.
constexpr const char *kCloseField = "Connection: close\r\n";

} // namespace

class HttpClient::Call
    : public std::enable_shared_from_this<HttpClient::Call>
    , public CallHandler
{
public:
    Call(HttpClient &client, CallId id, ResponseHandler handler)
        : client_(client)
        , id_(id)
        , handler_(std::move(handler))
        , deadline_(client.io_, [this] { fail("no response within the time limit"); })
    {}

    void start(std::shared_ptr<OutboundConnection> connection, OutboundRequest request,
               milliseconds timeout)
    {
        connection_ = std::move(connection);
        abortsOnTimeout_ = static_cast<bool>(request.sendCondition);
        deadline_.setAfter(timeout);
        connection_->call(std::move(request), std::min(kConnectTimeout, timeout), this);
    }

    void fail(const std::string &reason)
    {
        const auto self = shared_from_this();
        const bool notSent = !connection_->isConnected();
        if (abortsOnTimeout_)
            connection_->abort();
        else
            connection_->close();
        finish(HttpResponse{ .error = reason, .notSent = notSent, .isInvalid = isTooLarge_ });
    }

    CallId id() const { return id_; }
    const std::shared_ptr<OutboundConnection> &connection() const { return connection_; }

    ResponseMatch matchResponse(const ResponseHeader & /*header*/) override
    {
        return ResponseMatch::Unidentified;
    }

    void responseStarted(const ResponseHeader &header) override
    {
        response_.status = static_cast<int>(header.result_int());
        response_.fields = endToEndFields(header);
    }

    void responseData(const std::vector<std::string_view> &data) override
    {
        for (const std::string_view bytes : data)
            response_.body.append(bytes);
        if (response_.body.size() > client_.maxResponseBytes_) {
            isTooLarge_ = true;
            fail("the response is too large");
        }
    }

    void callEnded(const CallResult &result) override
    {
        const auto self = shared_from_this();
        if (result.outcome == CallOutcome::Complete)
            finish(std::move(response_));
        else
            finish(HttpResponse{ .error = result.error,
                                 .notSent = result.outcome == CallOutcome::ConnectFailed
                                            || result.outcome == CallOutcome::NotSent,
                                 .isInvalid = result.outcome == CallOutcome::Invalid });
    }

private:
    void finish(HttpResponse response)
    {
        if (!handler_)
            return;
        deadline_.clear();
        const ResponseHandler handler = std::exchange(handler_, nullptr);
        connection_->close();
        client_.callFinished(this);
        handler(std::move(response));
    }

    HttpClient &client_;
    const CallId id_;
    ResponseHandler handler_;
    LazyDeadline deadline_;
    std::shared_ptr<OutboundConnection> connection_;
    HttpResponse response_;
    bool abortsOnTimeout_ = false;
    bool isTooLarge_ = false;
};

HttpClient::HttpClient(boost::asio::io_context &io, std::string address,
                       std::size_t maxResponseBytes)
    : io_(io)
    , address_(std::move(address))
    , maxResponseBytes_(maxResponseBytes)
{}

HttpClient::~HttpClient()
{
    for (const auto &call : activeCalls_)
        call->connection()->close();
}

HttpClient::CallId HttpClient::get(const std::string &target, milliseconds timeout,
                                   ResponseHandler handler)
{
    return start({ .head = "GET " + target + " HTTP/1.1\r\nHost: " + address_ + "\r\n" + kCloseField
                           + "\r\n" },
                 timeout, std::move(handler));
}

void HttpClient::post(const std::string &target, const std::string &contentType, std::string body,
                      milliseconds timeout, ResponseHandler handler)
{
    post({ .target = target,
           .contentType = contentType,
           .body = std::move(body),
           .timeout = timeout },
         std::move(handler));
}

HttpClient::CallId HttpClient::post(HttpPost request, ResponseHandler handler)
{
    OutboundRequest outbound{ .head = "POST " + request.target + " HTTP/1.1\r\nHost: " + address_
                                      + "\r\n" + kCloseField
                                      + "Content-Type: " + request.contentType
                                      + "\r\nContent-Length: " + std::to_string(request.body.size())
                                      + "\r\n" + request.fields + "\r\n",
                              .sendCondition = std::move(request.sendCondition),
                              .transmitLimit = request.timeout };
    if (!request.body.empty())
        outbound.body = std::make_shared<const std::string>(std::move(request.body));
    return start(std::move(outbound), request.timeout, std::move(handler));
}

void HttpClient::cancel(CallId id)
{
    const auto found = std::find_if(activeCalls_.begin(), activeCalls_.end(),
                                    [id](const auto &call) { return call->id() == id; });
    if (found == activeCalls_.end())
        return;
    const auto call = *found;
    call->fail("cancelled");
}

HttpClient::CallId HttpClient::start(OutboundRequest request, milliseconds timeout,
                                     ResponseHandler handler)
{
    const CallId id = ++calls_;
    const auto call = std::make_shared<Call>(*this, id, std::move(handler));
    activeCalls_.push_back(call);
    call->start(std::make_shared<OutboundConnection>(io_, address_), std::move(request), timeout);
    return id;
}

void HttpClient::callFinished(Call *call)
{
    std::erase_if(activeCalls_, [call](const auto &entry) { return entry.get() == call; });
}

} // namespace auburn::gateway
