#include "auburn/core/lasterror.h"
#include "auburn/core/tracer.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QTemporaryDir>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <future>

namespace auburn {

namespace {

namespace http = boost::beast::http;

const std::string kTraceId = "4bf92f3577b34da6a3ce929d0e0e4736";
const std::string kSpanId = "00f067aa0ba902b7";

struct Collected
{
    std::mutex mutex;
    std::vector<std::string> requests;
    std::promise<void> release;
    std::shared_future<void> released{ release.get_future() };
    std::atomic<bool> writing{ false };
    bool result = true;
};

// Collects requests; write() returns only when the test allows it.
class HeldSink : public SpanSink
{
public:
    explicit HeldSink(Collected &collected)
        : collected_(collected)
    {}

    bool write(const std::string &request) override
    {
        collected_.writing = true;
        collected_.released.wait();
        const std::lock_guard lock(collected_.mutex);
        collected_.requests.push_back(request);
        return collected_.result;
    }

private:
    Collected &collected_;
};

QJsonObject parse(const std::string &json)
{
    return QJsonDocument::fromJson(QByteArray::fromStdString(json)).object();
}

QJsonArray spansOf(const std::string &json)
{
    const QJsonObject resourceSpans = parse(json)["resourceSpans"].toArray()[0].toObject();
    return resourceSpans["scopeSpans"].toArray()[0].toObject()["spans"].toArray();
}

} // namespace

BOOST_AUTO_TEST_SUITE(tracer)

// Guards against a damaged header that starts a trace with unusable ids, or fails the request.
BOOST_AUTO_TEST_CASE(parseTraceparent_badHeaders_areIgnored)
{
    const std::string good = "00-" + kTraceId + '-' + kSpanId + "-01";
    const std::vector<std::string> bad{
        "",
        "00",
        good.substr(0, good.size() - 1),
        good + '0',
        good + "-00",
        "ff" + good.substr(2),
        "0G" + good.substr(2),
        "00-" + std::string(32, '0') + '-' + kSpanId + "-01",
        "00-" + kTraceId + '-' + std::string(16, '0') + "-01",
        "00-4BF92F3577B34DA6A3CE929D0E0E4736-" + kSpanId + "-01",
        "00_" + good.substr(3),
        "01" + good.substr(2) + "x",
    };
    for (const std::string &header : bad)
        BOOST_TEST(!parseTraceparent(header).has_value(), header);
    BOOST_TEST(parseTraceparent("01" + good.substr(2) + "-more").has_value());
    const auto context = parseTraceparent(good);
    BOOST_REQUIRE(context.has_value());
    BOOST_TEST(context->sampled);
    BOOST_TEST(formatTraceparent(*context) == good);
    BOOST_TEST(formatTraceparent(TraceContext{}).empty());
}

// Guards against JSON that OTLP receivers reject: ids, 64-bit numbers and enumerations have fixed
// forms.
BOOST_AUTO_TEST_CASE(otlpJson_span_hasOtlpForm)
{
    SpanRecord span;
    span.context = { .traceId = kTraceId, .spanId = kSpanId, .sampled = true };
    span.parentSpanId = "1111111111111111";
    span.name = "caller";
    span.kind = SpanKind::Server;
    span.start = std::chrono::system_clock::time_point(
            std::chrono::nanoseconds(1544712660000000123));
    span.end = span.start + std::chrono::microseconds(5);
    span.attributes = { { "text", std::string("a\"b") },
                        { "count", std::int64_t{ 9007199254740993 } },
                        { "share", 0.5 },
                        { "flag", true } };
    span.status = SpanStatus::Error;
    span.statusMessage = "refused";
    const std::string json = otlpJson({ { "service.name", "auburnd" } }, { span });
    BOOST_TEST(json.find('\n') == std::string::npos);

    const QJsonObject object = spansOf(json)[0].toObject();
    BOOST_TEST(object["traceId"].toString().toStdString() == kTraceId);
    BOOST_TEST(object["spanId"].toString().toStdString() == kSpanId);
    BOOST_TEST(object["parentSpanId"].toString().toStdString() == "1111111111111111");
    BOOST_TEST(object["kind"].toInt() == 2);
    BOOST_TEST(object["startTimeUnixNano"].toString().toStdString() == "1544712660000000123");
    BOOST_TEST(object["endTimeUnixNano"].toString().toStdString() == "1544712660000005123");
    BOOST_TEST(object["status"].toObject()["code"].toInt() == 2);
    const QJsonArray attributes = object["attributes"].toArray();
    const auto value = [&](int i) { return attributes[i].toObject()["value"].toObject(); };
    BOOST_TEST(value(0)["stringValue"].toString().toStdString() == "a\"b");
    BOOST_TEST(value(1)["intValue"].toString().toStdString() == "9007199254740993");
    BOOST_TEST(value(2)["doubleValue"].toDouble() == 0.5);
    BOOST_TEST(value(3)["boolValue"].toBool());
}

// Guards against a lost parent, a lost sampling decision and spans that a file does not get.
BOOST_AUTO_TEST_CASE(start_childOfCaller_isExportedToFile)
{
    const QTemporaryDir folder;
    const std::string path = folder.filePath("spans").toStdString();
    {
        Tracer tracer({ .sink = SpanSink::make("file:" + path), .sampling = 0 });
        const auto caller = parseTraceparent("00-" + kTraceId + '-' + kSpanId + "-01");
        Span parent = tracer.start("caller", SpanKind::Server, caller);
        const Span child = tracer.start("attempt", SpanKind::Internal, parent.context());
        const Span unsampled = tracer.start("other", SpanKind::Internal);
        BOOST_TEST(child.context().traceId == kTraceId);
        BOOST_TEST(!unsampled.context().sampled);
    }
    std::ifstream file(path);
    std::string line;
    BOOST_REQUIRE(std::getline(file, line));
    const QJsonArray spans = spansOf(line);
    BOOST_REQUIRE(spans.size() == 2);
    BOOST_TEST(spans[0].toObject()["parentSpanId"].toString()
               == spans[1].toObject()["spanId"].toString());
    BOOST_TEST(spans[1].toObject()["parentSpanId"].toString().toStdString() == kSpanId);
}

// Guards against a slow target that fills the memory or blocks the request path.
BOOST_AUTO_TEST_CASE(record_slowTarget_dropsBeyondQueueLimit)
{
    Collected collected;
    Tracer tracer(
            { .sink = std::make_unique<HeldSink>(collected), .queueLimit = 10, .batchLimit = 1 });
    tracer.start("first", SpanKind::Internal).end();
    while (!collected.writing)
        std::this_thread::yield();
    for (int i = 0; i < 25; ++i)
        tracer.start("next", SpanKind::Internal).end();
    BOOST_TEST(tracer.dropped() == 15U);
    collected.release.set_value();
    tracer.flush();
    BOOST_TEST(tracer.exported() == 11U);
    BOOST_TEST(collected.requests.size() == 11U);
}

// Guards against a wrong share of sampled traces.
BOOST_AUTO_TEST_CASE(start_samplingShare_isKept)
{
    Tracer tracer({ .sampling = 0.25 });
    int sampled = 0;
    for (int i = 0; i < 4000; ++i)
        sampled += tracer.start("x", SpanKind::Internal).context().sampled ? 1 : 0;
    // 1,000 expected with a standard deviation of 27; the bounds are seven deviations away.
    BOOST_TEST(sampled > 800);
    BOOST_TEST(sampled < 1200);
}

// Guards against a request that an OTLP/HTTP receiver does not accept.
BOOST_AUTO_TEST_CASE(httpSink_collector_getsPost)
{
    namespace asio = boost::asio;
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
    const unsigned port = acceptor.local_endpoint().port();
    auto served = std::async(std::launch::async, [&] {
        std::vector<http::request<http::string_body>> requests;
        for (const http::status status : { http::status::ok, http::status::service_unavailable }) {
            asio::ip::tcp::socket socket = acceptor.accept();
            boost::beast::flat_buffer buffer;
            http::request<http::string_body> request;
            http::read(socket, buffer, request);
            requests.push_back(request);
            http::response<http::string_body> response(status, 11);
            response.prepare_payload();
            http::write(socket, response);
        }
        return requests;
    });
    const auto sink = SpanSink::make("http://127.0.0.1:" + std::to_string(port) + "/v1/traces");
    BOOST_REQUIRE(sink);
    BOOST_TEST(sink->write("{\"a\":1}"));
    BOOST_TEST(!sink->write("{\"a\":2}"));
    BOOST_TEST(lastError().find("503") != std::string::npos);
    const auto requests = served.get();
    BOOST_TEST(requests[0].target() == "/v1/traces");
    BOOST_TEST(requests[0][http::field::content_type] == "application/json");
    BOOST_TEST(requests[0].body() == "{\"a\":1}");
}

// Guards against a collector that is down: the spans are counted as dropped, nothing blocks.
BOOST_AUTO_TEST_CASE(record_targetDown_countsDropped)
{
    BOOST_TEST(!SpanSink::make("ftp://127.0.0.1:1/"));
    BOOST_TEST(!SpanSink::make("http://127.0.0.1/"));
    Tracer tracer({ .sink = SpanSink::make("http://127.0.0.1:1/v1/traces") });
    tracer.start("x", SpanKind::Internal).end();
    tracer.flush();
    BOOST_TEST(tracer.dropped() == 1U);
    BOOST_TEST(tracer.exported() == 0U);
}

// Guards against an end of the process that waits for one timeout per queued batch.
BOOST_AUTO_TEST_CASE(beginStop_targetDown_givesUpAfterOneBatch)
{
    Collected collected;
    collected.result = false;
    {
        Tracer tracer({ .sink = std::make_unique<HeldSink>(collected), .batchLimit = 1 });
        for (int i = 0; i < 50; ++i)
            tracer.start("x", SpanKind::Internal).end();
        while (!collected.writing)
            std::this_thread::yield();
        tracer.beginStop();
        collected.release.set_value();
        tracer.flush();
        BOOST_TEST(tracer.dropped() == 50U);
    }
    BOOST_TEST(collected.requests.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn
