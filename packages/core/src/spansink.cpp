#include "auburn/core/lasterror.h"
#include "auburn/core/tracer.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <charconv>
#include <fstream>

namespace auburn {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::string_view kFilePrefix = "file:";
constexpr std::string_view kHttpPrefix = "http://";

// Bounds one export, connect included; the batch is dropped when it takes longer.
constexpr std::chrono::seconds kExportTimeout{ 5 };

struct HttpTarget
{
    std::string host;
    std::string port;
    std::string path;
};

bool isPort(std::string_view text)
{
    unsigned port = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), port);
    return result.ec == std::errc() && result.ptr == text.data() + text.size() && port > 0
           && port < 65536;
}

std::optional<HttpTarget> parseHttpTarget(std::string_view target)
{
    if (!target.starts_with(kHttpPrefix))
        return std::nullopt;
    const std::string_view rest = target.substr(kHttpPrefix.size());
    const std::size_t slash = rest.find('/');
    const std::string_view authority = rest.substr(0, slash);
    const std::size_t colon = authority.rfind(':');
    if (colon == 0 || colon == std::string_view::npos || !isPort(authority.substr(colon + 1)))
        return std::nullopt;
    return HttpTarget{ .host = std::string(authority.substr(0, colon)),
                       .port = std::string(authority.substr(colon + 1)),
                       .path = slash == std::string_view::npos ? "/v1/traces"
                                                               : std::string(rest.substr(slash)) };
}

class FileSink : public SpanSink
{
public:
    explicit FileSink(const std::string &path)
        : file_(path, std::ios::app)
    {}

    bool isOpen() const { return file_.is_open(); }

    bool write(const std::string &request) override
    {
        file_ << request << '\n' << std::flush;
        if (file_.good())
            return true;
        file_.clear();
        setLastError("cannot write to the trace file");
        return false;
    }

private:
    std::ofstream file_;
};

// Opens a connection per batch: batches are seconds apart, and a kept connection would have to be
// checked for silent loss.
class HttpSink : public SpanSink
{
public:
    explicit HttpSink(HttpTarget target)
        : target_(std::move(target))
    {}

    bool write(const std::string &request) override
    {
        asio::io_context context;
        beast::tcp_stream stream(context);
        asio::ip::tcp::resolver resolver(context);
        beast::error_code error;
        const auto endpoints = resolver.resolve(target_.host, target_.port, error);
        if (error)
            return failed(error.message());

        http::request<http::string_body> post(http::verb::post, target_.path, 11);
        post.set(http::field::host, target_.host + ':' + target_.port);
        post.set(http::field::content_type, "application/json");
        post.body() = request;
        post.prepare_payload();
        beast::flat_buffer buffer;
        http::response<http::string_body> response;

        // The timeout of tcp_stream covers asynchronous operations only.
        stream.expires_after(kExportTimeout);
        stream.async_connect(endpoints, [&](beast::error_code connectError, const auto &) {
            error = connectError;
            if (error)
                return;
            http::async_write(stream, post, [&](beast::error_code writeError, std::size_t) {
                error = writeError;
                if (error)
                    return;
                http::async_read(
                        stream, buffer, response,
                        [&](beast::error_code readError, std::size_t) { error = readError; });
            });
        });
        context.run();
        if (error)
            return failed(error.message());
        if (response.result_int() / 100 != 2)
            return failed("status " + std::to_string(response.result_int()));
        return true;
    }

private:
    bool failed(const std::string &reason)
    {
        setLastError("trace export to " + target_.host + ':' + target_.port + " failed: " + reason);
        return false;
    }

    HttpTarget target_;
};

} // namespace

bool isValidTraceTarget(std::string_view target)
{
    if (target.starts_with(kFilePrefix) && target.size() > kFilePrefix.size())
        return true;
    if (parseHttpTarget(target))
        return true;
    setLastError("expected file:PATH or http://HOST:PORT/PATH");
    return false;
}

std::unique_ptr<SpanSink> SpanSink::make(std::string_view target)
{
    if (!isValidTraceTarget(target))
        return nullptr;
    if (const auto httpTarget = parseHttpTarget(target))
        return std::make_unique<HttpSink>(*httpTarget);
    const std::string path(target.substr(kFilePrefix.size()));
    auto sink = std::make_unique<FileSink>(path);
    if (sink->isOpen())
        return sink;
    setLastError("cannot open trace file " + path);
    return nullptr;
}

} // namespace auburn
