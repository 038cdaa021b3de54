// standin_log: the platform's log for tests, in memory (section 4 of the design page).
//
// POST /control takes the fields of faults.h, and retention_ms and retention_records.
// GET /control/stats returns {"streams":{NAME:{"appends","reads","earliest","next"}}}.
#include "faults.h"
#include "httpserver.h"
#include "streamtable.h"

#include <tclap/CmdLine.h>

#include <exception>
#include <iostream>
#include <optional>
#include <utility>

namespace auburn::standins {

namespace http = boost::beast::http;

namespace {

constexpr std::uint64_t kDefaultMax = 100;
constexpr std::uint64_t kMaxWaitMs = 60000;

// The stream name of /v1/streams/NAME/records.
std::optional<std::string> streamOf(const std::string &path)
{
    const std::string prefix = "/v1/streams/";
    const std::string suffix = "/records";
    const bool matches = path.size() > prefix.size() + suffix.size() && path.starts_with(prefix)
                         && path.ends_with(suffix);
    if (!matches)
        return std::nullopt;
    return path.substr(prefix.size(), path.size() - prefix.size() - suffix.size());
}

class LogStandIn
{
public:
    LogStandIn(boost::asio::io_context &context, const boost::asio::ip::tcp::endpoint &endpoint,
               Retention retention, std::uint64_t firstOffset)
        : faults_(context)
        , streams_(context, retention, firstOffset)
        , server_(context, endpoint,
                  [this](const HttpRequest &request, const ResponderPtr &responder) {
                      handle(request, responder);
                  })
    {}

    const HttpServer &server() const { return server_; }

private:
    void handle(const HttpRequest &request, const ResponderPtr &responder)
    {
        if (request.path == "/control" && request.method == http::verb::post) {
            control(request, responder);
        } else if (request.path == "/control/stats") {
            responder->send(http::status::ok,
                            toJson({ { QStringLiteral("streams"), streams_.stats() } }));
        } else if (const auto stream = streamOf(request.path)) {
            faults_.pass(responder, [this, stream = *stream, request, responder]() {
                serveStream(stream, request, responder);
            });
        } else {
            responder->send(http::status::not_found, R"({"error":"not found"})");
        }
    }

    void control(const HttpRequest &request, const ResponderPtr &responder)
    {
        const QJsonObject fields = jsonObjectOf(request.body);
        Retention retention = streams_.retention();
        retention.age = std::chrono::milliseconds(
                fields[QLatin1String("retention_ms")].toInteger(retention.age.count()));
        retention.count = static_cast<std::uint64_t>(
                fields[QLatin1String("retention_records")].toInteger(
                        static_cast<qint64>(retention.count)));
        streams_.setRetention(retention);
        faults_.apply(fields, server_, responder);
        responder->send(http::status::ok, "{}");
    }

    void serveStream(const std::string &stream, const HttpRequest &request,
                     const ResponderPtr &responder)
    {
        if (request.method == http::verb::post) {
            const auto offset = static_cast<qint64>(streams_.append(stream, request.body));
            faults_.answerEffect(responder, toJson({ { QStringLiteral("offset"), offset } }));
        } else if (request.method == http::verb::get) {
            const std::uint64_t wait = std::min(request.number("wait_ms", 0), kMaxWaitMs);
            streams_.read(stream, request.number("from", 0), request.number("max", kDefaultMax),
                          std::chrono::milliseconds(wait), responder);
        } else {
            responder->send(http::status::method_not_allowed, R"({"error":"method"})");
        }
    }

    Faults faults_;
    StreamTable streams_;
    HttpServer server_;
};

int run(int argc, char **argv)
{
    TCLAP::CmdLine line("Stand-in of the platform's log");
    TCLAP::ValueArg<std::string> listen("", "listen", "address to listen on", false, "127.0.0.1:0",
                                        "IP:PORT", line);
    TCLAP::ValueArg<long long> age("", "retention-ms", "age at which records go; 0 keeps them",
                                   false, 0, "milliseconds", line);
    TCLAP::ValueArg<unsigned long> count("", "retention-records",
                                         "records kept of each stream; 0 keeps all", false, 0,
                                         "records", line);
    TCLAP::ValueArg<unsigned long> first("", "first-offset", "offset of a stream's first record",
                                         false, 0, "offset", line);
    TCLAP::SwitchArg withParent("", "exit-with-parent", "end when the parent process ends", line);
    line.parse(argc, argv);
    if (withParent.getValue())
        exitWithParent();
    const auto endpoint = parseEndpoint(listen.getValue());
    boost::asio::io_context context;
    const Retention retention{ .age = std::chrono::milliseconds(age.getValue()),
                               .count = count.getValue() };
    const LogStandIn log(context, endpoint, retention, first.getValue());
    serve(context, log.server(), endpoint.address().to_string());
    return 0;
}

} // namespace

} // namespace auburn::standins

int main(int argc, char **argv)
{
    try {
        return auburn::standins::run(argc, argv);
    } catch (const std::exception &error) {
        std::cerr << "standin_log: " << error.what() << '\n';
        return 1;
    }
}
