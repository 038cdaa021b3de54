#include "httpcaller.h"

#include "httpmessage.h"

#include <QByteArray>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <limits>

namespace auburn::testing {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::asio::ip::tcp;

namespace {

using Clock = std::chrono::steady_clock;

// One call; runs its own io_context so that every step has a deadline.
class Call
{
public:
    Call(const HttpRequest &request, const BodyObserver &observer)
        : request_(request)
        , observer_(observer)
        , stream_(context_)
    {
        parser_.body_limit(std::numeric_limits<std::uint64_t>::max());
    }

    HttpAnswer run()
    {
        const auto start = Clock::now();
        start_ = start;
        stream_.expires_after(request_.timeout);
        if (connect() && write() && readHeader())
            readBody();
        answer_.total = std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - start);
        beast::error_code ignored;
        stream_.socket().close(ignored);
        return std::move(answer_);
    }

private:
    template<typename Start>
    bool await(const Start &start)
    {
        beast::error_code result;
        start([&result](beast::error_code error, auto &&...) { result = error; });
        context_.restart();
        context_.run();
        if (result)
            answer_.error = result.message();
        lastResult_ = result;
        return !result;
    }

    bool connect()
    {
        const tcp::endpoint endpoint = endpointOf(request_.address);
        return await([&](auto handler) { stream_.async_connect(endpoint, handler); });
    }

    bool write()
    {
        const auto message = messageOf(request_);
        return await([&](auto handler) { http::async_write(stream_, message, handler); });
    }

    bool readHeader()
    {
        if (!await([&](auto handler) {
                http::async_read_header(stream_, buffer_, parser_, handler);
            }))
            return false;
        takeHeader(parser_.get().base(), answer_);
        return true;
    }

    void readBody()
    {
        char chunk[16384];
        while (!parser_.is_done()) {
            auto &body = parser_.get().body();
            body.data = chunk;
            body.size = sizeof(chunk);
            body.more = true;
            await([&](auto handler) { http::async_read_some(stream_, buffer_, parser_, handler); });
            const std::size_t count = sizeof(chunk) - body.size;
            if (count > 0 && !deliver(std::string(chunk, count)))
                return;
            if (lastResult_ && lastResult_ != http::error::need_buffer)
                return;
        }
        answer_.complete = true;
        answer_.error.clear();
    }

    bool deliver(const std::string &piece)
    {
        if (answer_.body.empty())
            answer_.firstByte = std::chrono::duration_cast<std::chrono::microseconds>(Clock::now()
                                                                                      - start_);
        answer_.body += piece;
        return !observer_ || observer_(piece);
    }

    const HttpRequest &request_;
    const BodyObserver &observer_;
    asio::io_context context_;
    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
    http::response_parser<http::buffer_body> parser_;
    beast::error_code lastResult_;
    Clock::time_point start_;
    HttpAnswer answer_;
};

QJsonObject parseObject(const std::string &text)
{
    return QJsonDocument::fromJson(QByteArray::fromStdString(text)).object();
}

} // namespace

std::string HttpAnswer::header(const std::string &name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

HttpAnswer httpCall(const HttpRequest &request, const BodyObserver &observer)
{
    return Call(request, observer).run();
}

std::vector<std::string> eventData(const std::string &body)
{
    static const std::string kField = "data: ";
    std::vector<std::string> result;
    std::size_t position = 0;
    while (position < body.size()) {
        const std::size_t end = body.find('\n', position);
        if (end == std::string::npos)
            break;
        if (body.compare(position, kField.size(), kField) == 0)
            result.push_back(body.substr(position + kField.size(), end - position - kField.size()));
        position = end + 1;
    }
    return result;
}

std::string completionText(const HttpAnswer &answer)
{
    const bool stream = answer.header("content-type").rfind("text/event-stream", 0) == 0;
    if (!stream) {
        const QJsonObject choice = parseObject(answer.body)["choices"].toArray().at(0).toObject();
        return choice["message"].toObject()["content"].toString().toStdString();
    }
    std::string text;
    for (const std::string &data : eventData(answer.body)) {
        const QJsonObject choice = parseObject(data)["choices"].toArray().at(0).toObject();
        text += choice["delta"].toObject()["content"].toString().toStdString();
    }
    return text;
}

bool streamDone(const HttpAnswer &answer)
{
    const std::vector<std::string> data = eventData(answer.body);
    return !data.empty() && data.back() == "[DONE]";
}

} // namespace auburn::testing
