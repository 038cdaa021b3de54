#include "loadclient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <memory>
#include <string_view>
#include <utility>

namespace auburn::bench {

namespace asio = boost::asio;
using boost::asio::ip::tcp;
using Clock = std::chrono::steady_clock;
using ErrorCode = boost::system::error_code;

namespace {

tcp::endpoint endpointOf(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    const auto port = static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)));
    return { asio::ip::make_address(address.substr(0, colon)), port };
}

std::uint32_t microseconds(Clock::duration time)
{
    return static_cast<std::uint32_t>(
            std::chrono::duration_cast<std::chrono::microseconds>(time).count());
}

// One connection that asks for one stream after the other.
class Stream : public std::enable_shared_from_this<Stream>
{
public:
    Stream(asio::io_context &context, const LoadOptions &options, unsigned number,
           LoadResult &result)
        : socket_(context)
        , startTimer_(context)
        , endpoint_(endpointOf(options.addresses[number % options.addresses.size()]))
        , options_(options)
        , result_(result)
        , number_(number)
    {}

    void start(Clock::time_point end)
    {
        end_ = end;
        // Starts are spread over one answer's usual time, so that the streams do not run in step.
        startTimer_.expires_after(std::chrono::microseconds(number_ * 700));
        startTimer_.async_wait([self = shared_from_this()](ErrorCode error) {
            if (!error)
                self->connect();
        });
    }

private:
    void connect()
    {
        socket_.async_connect(endpoint_, [self = shared_from_this()](ErrorCode error) {
            if (error) {
                ++self->result_.failures;
                return;
            }
            self->socket_.set_option(tcp::no_delay(true), error);
            self->send();
        });
    }

    void send()
    {
        if (Clock::now() >= end_)
            return;
        const std::string body = R"({"model":"m","stream":true,"max_tokens":)"
                                 + std::to_string(options_.tokens)
                                 + R"(,"messages":[{"role":"user","content":"p)"
                                 + std::to_string(number_) + R"("}]})";
        request_ = "POST /v1/chat/completions HTTP/1.1\r\nHost: bench\r\nAuthorization: Bearer "
                   + options_.token + "\r\nX-Request-Id: b" + std::to_string(number_) + "-"
                   + std::to_string(sequence_++) + "\r\nContent-Type: application/json\r\n"
                   + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        tokensSeen_ = 0;
        tail_.clear();
        sent_ = Clock::now();
        asio::async_write(socket_, asio::buffer(request_),
                          [self = shared_from_this()](ErrorCode error, std::size_t /*bytes*/) {
                              if (error)
                                  ++self->result_.failures;
                              else
                                  self->read();
                          });
    }

    void read()
    {
        socket_.async_read_some(asio::buffer(input_),
                                [self = shared_from_this()](ErrorCode error, std::size_t bytes) {
                                    if (error)
                                        ++self->result_.failures;
                                    else
                                        self->received({ self->input_.data(), bytes });
                                });
    }

    void received(std::string_view text)
    {
        const auto now = Clock::now();
        unsigned count = 0;
        for (std::size_t at = text.find("data: {"); at != std::string_view::npos;
             at = text.find("data: {", at + 7))
            ++count;
        if (count > 0)
            recordTokens(count, now);
        // The end marks are short, so the last bytes of the previous part are enough.
        tail_.append(text.substr(text.size() - std::min<std::size_t>(text.size(), 64)));
        if (tail_.size() > 64)
            tail_.erase(0, tail_.size() - 64);
        if (!tail_.ends_with("0\r\n\r\n")) {
            read();
            return;
        }
        if (tokensSeen_ != options_.tokens)
            ++result_.failures;
        send();
    }

    void recordTokens(unsigned count, Clock::time_point now)
    {
        if (tokensSeen_ == 0)
            result_.firstTokenUs.push_back(microseconds(now - sent_));
        else
            result_.gapUs.push_back(microseconds(now - lastToken_));
        // Tokens that arrive together have no gap between them.
        result_.gapUs.insert(result_.gapUs.end(), count - 1, 0);
        lastToken_ = now;
        tokensSeen_ += count;
        result_.tokens += count;
    }

    tcp::socket socket_;
    asio::steady_timer startTimer_;
    tcp::endpoint endpoint_;
    const LoadOptions &options_;
    LoadResult &result_;
    unsigned number_;
    unsigned sequence_ = 0;
    unsigned tokensSeen_ = 0;
    Clock::time_point end_;
    Clock::time_point sent_;
    Clock::time_point lastToken_;
    std::string request_;
    std::string tail_;
    std::array<char, 16384> input_{};
};

} // namespace

void LoadResult::add(const LoadResult &other)
{
    firstTokenUs.insert(firstTokenUs.end(), other.firstTokenUs.begin(), other.firstTokenUs.end());
    gapUs.insert(gapUs.end(), other.gapUs.begin(), other.gapUs.end());
    tokens += other.tokens;
    failures += other.failures;
    seconds += other.seconds;
}

LoadResult runLoad(const LoadOptions &options)
{
    asio::io_context context(1);
    LoadResult result;
    const auto begin = Clock::now();
    for (unsigned i = 0; i < options.streams; ++i)
        std::make_shared<Stream>(context, options, i, result)->start(begin + options.duration);
    context.run();
    result.seconds = std::chrono::duration<double>(Clock::now() - begin).count();
    return result;
}

std::uint32_t percentile(std::vector<std::uint32_t> &samples, double share)
{
    if (samples.empty())
        return 0;
    const auto index = static_cast<std::size_t>(share * static_cast<double>(samples.size() - 1));
    std::nth_element(samples.begin(), samples.begin() + static_cast<std::ptrdiff_t>(index),
                     samples.end());
    return samples[index];
}

} // namespace auburn::bench
