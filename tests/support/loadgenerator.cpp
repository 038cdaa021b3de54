#include "loadgenerator.h"

#include "httpmessage.h"

#include <QByteArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <cmath>
#include <deque>
#include <limits>
#include <map>
#include <memory>
#include <thread>

namespace auburn::testing {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::asio::ip::tcp;

namespace {

using Clock = std::chrono::steady_clock;

std::chrono::microseconds since(Clock::time_point start)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - start);
}

using IdleStreams = std::map<std::string, std::deque<std::unique_ptr<beast::tcp_stream>>>;

// One request on its own connection, or on an idle one of its thread.
class LoadCall : public std::enable_shared_from_this<LoadCall>
{
public:
    LoadCall(asio::io_context &context, const LoadItem &item, LoadResult &result,
             IdleStreams *idleStreams)
        : context_(context)
        , item_(item)
        , result_(result)
        , idleStreams_(idleStreams)
    {
        parser_.body_limit(std::numeric_limits<std::uint64_t>::max());
    }

    void start()
    {
        start_ = Clock::now();
        if (takeIdleStream()) {
            write();
            return;
        }
        stream_ = std::make_unique<beast::tcp_stream>(context_);
        stream_->expires_after(item_.request.timeout);
        const tcp::endpoint endpoint = endpointOf(item_.request.address);
        stream_->async_connect(endpoint, [self = shared_from_this()](beast::error_code error) {
            if (error)
                self->fail(error);
            else
                self->write();
        });
    }

private:
    bool takeIdleStream()
    {
        if (!idleStreams_)
            return false;
        auto &idle = (*idleStreams_)[item_.request.address];
        if (idle.empty())
            return false;
        stream_ = std::move(idle.front());
        idle.pop_front();
        stream_->expires_after(item_.request.timeout);
        return true;
    }

    void write()
    {
        message_ = messageOf(item_.request);
        http::async_write(*stream_, message_,
                          [self = shared_from_this()](beast::error_code error, std::size_t) {
                              if (error)
                                  self->fail(error);
                              else
                                  self->readHeader();
                          });
    }

    void readHeader()
    {
        http::async_read_header(*stream_, buffer_, parser_,
                                [self = shared_from_this()](beast::error_code error, std::size_t) {
                                    if (error)
                                        self->fail(error);
                                    else
                                        self->takeHeader();
                                });
    }

    void takeHeader()
    {
        auburn::testing::takeHeader(parser_.get().base(), result_.answer);
        isStream_ = result_.answer.header("content-type").rfind("text/event-stream", 0) == 0;
        readBody();
    }

    void readBody()
    {
        if (parser_.is_done()) {
            finish();
            return;
        }
        auto &body = parser_.get().body();
        body.data = chunk_;
        body.size = sizeof(chunk_);
        body.more = true;
        http::async_read_some(*stream_, buffer_, parser_,
                              [self = shared_from_this()](beast::error_code error, std::size_t) {
                                  self->takeBody(error);
                              });
    }

    void takeBody(beast::error_code error)
    {
        const std::size_t count = sizeof(chunk_) - parser_.get().body().size;
        if (count > 0) {
            if (result_.answer.body.empty())
                result_.answer.firstByte = since(start_);
            result_.answer.body.append(chunk_, count);
            countTokens();
        }
        if (error && error != http::error::need_buffer)
            fail(error);
        else
            readBody();
    }

    // Counts the content events in the newly arrived part of the body.
    void countTokens()
    {
        static const std::string kMark = "\"content\":";
        const auto now = Clock::now();
        std::size_t position = result_.answer.body.find(kMark, scanned_);
        while (position != std::string::npos) {
            scanned_ = position + kMark.size();
            if (isStream_)
                addToken(now);
            position = result_.answer.body.find(kMark, scanned_);
        }
    }

    void addToken(Clock::time_point now)
    {
        if (result_.tokens == 0)
            result_.firstToken = since(start_);
        else
            gaps_.push_back(
                    std::chrono::duration_cast<std::chrono::microseconds>(now - lastToken_));
        lastToken_ = now;
        ++result_.tokens;
    }

    void finish()
    {
        HttpAnswer &answer = result_.answer;
        answer.complete = true;
        answer.total = since(start_);
        if (!isStream_)
            result_.firstToken = answer.total;
        result_.whole = answer.status == 200 && (!isStream_ || streamDone(answer));
        if (answer.status != 200)
            result_.refusalCode = errorCode(answer.body);
        setGaps();
        if (idleStreams_ && parser_.get().keep_alive())
            (*idleStreams_)[item_.request.address].push_back(std::move(stream_));
    }

    void setGaps()
    {
        if (gaps_.empty())
            return;
        std::chrono::microseconds sum{ 0 };
        for (const auto gap : gaps_)
            sum += gap;
        result_.meanGap = sum / static_cast<long>(gaps_.size());
        result_.gapP95 = percentile(gaps_, 0.95);
    }

    static std::string errorCode(const std::string &body)
    {
        const QJsonObject object = QJsonDocument::fromJson(QByteArray::fromStdString(body))
                                           .object();
        return object["error"].toObject()["code"].toString().toStdString();
    }

    void fail(beast::error_code error)
    {
        result_.answer.error = error.message();
        result_.answer.total = since(start_);
        setGaps();
    }

    asio::io_context &context_;
    const LoadItem &item_;
    LoadResult &result_;
    IdleStreams *idleStreams_;
    std::unique_ptr<beast::tcp_stream> stream_;
    beast::flat_buffer buffer_;
    http::request<http::string_body> message_;
    http::response_parser<http::buffer_body> parser_;
    char chunk_[8192];
    bool isStream_ = false;
    std::size_t scanned_ = 0;
    Clock::time_point start_;
    Clock::time_point lastToken_;
    std::vector<std::chrono::microseconds> gaps_;
};

// Runs every threadCount-th item of the schedule.
void runShare(const std::vector<LoadItem> &items, std::vector<LoadResult> &results, unsigned first,
              const LoadOptions &options, Clock::time_point start)
{
    asio::io_context context(1);
    IdleStreams idleStreams;
    std::vector<std::unique_ptr<asio::steady_timer>> timers;
    for (std::size_t i = first; i < items.size(); i += options.threads) {
        results[i].item = i;
        results[i].tag = items[i].tag;
        auto timer = std::make_unique<asio::steady_timer>(context, start + items[i].at);
        timer->async_wait([&, i](beast::error_code) {
            std::make_shared<LoadCall>(context, items[i], results[i],
                                       options.keepAlive ? &idleStreams : nullptr)
                    ->start();
        });
        timers.push_back(std::move(timer));
    }
    context.run();
}

} // namespace

std::vector<LoadResult> runLoad(const std::vector<LoadItem> &items, const LoadOptions &options)
{
    std::vector<LoadResult> results(items.size());
    std::vector<std::thread> threads;
    const auto start = Clock::now();
    for (unsigned i = 0; i < options.threads; ++i)
        threads.emplace_back([&, i] { runShare(items, results, i, options, start); });
    for (std::thread &thread : threads)
        thread.join();
    return results;
}

std::chrono::microseconds percentile(std::vector<std::chrono::microseconds> samples, double share)
{
    if (samples.empty())
        return std::chrono::microseconds(0);
    std::sort(samples.begin(), samples.end());
    const auto rank = static_cast<std::size_t>(
            std::ceil(share * static_cast<double>(samples.size())));
    return samples[std::min(samples.size(), std::max<std::size_t>(rank, 1)) - 1];
}

} // namespace auburn::testing
