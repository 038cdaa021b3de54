// Decoders of the gateway: requests of callers, responses and streams of backend servers, and the
// responses that the daemon itself asks for.

#include "attemptresponse.h"
#include "byteserver.h"
#include "callerrequest.h"
#include "decoder.h"
#include "eventstream.h"

#include "auburn/core/endpoint.h"
#include "auburn/gateway/gateway.h"
#include "auburn/gateway/httpclient.h"
#include "auburn/gateway/statusendpoint.h"

#include <boost/asio/write.hpp>

#include <array>
#include <memory>
#include <utility>

namespace auburn::fuzz {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using routing::RequestKind;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;
using ErrorCode = boost::system::error_code;

constexpr const char *kHead = "HTTP/1.1 200 OK\r\nX-Seal: s\r\nX-Id: 1\r\nX-Load: 3,1,8,120\r\n";
constexpr const char *kRequestFields = "Host: h\r\nX-Id: 1\r\nX-Key: key\r\nX-Deadline: 900\r\n"
                                       "X-Parts: 5c1e07a2:800, 91bd3f06:410\r\n";
// Longest wall time of one input.
constexpr milliseconds kMaxTime{ 400 };

gateway::HeaderNames headerNames()
{
    return { .requestId = "X-Id",
             .deadline = "X-Deadline",
             .apiKey = "X-Key",
             .organisation = "X-Org",
             .expectedServer = "X-Server",
             .urgency = "X-Urgency",
             .copySource = "X-Copy-Source",
             .promptParts = "X-Parts",
             .lastEventId = "X-Last",
             .responseSeal = "X-Seal",
             .notExecuted = "X-Not-Executed",
             .serverLoad = "X-Load",
             .serverLeaving = "X-Leaving",
             .reserved = { "X-Deadline", "X-Key" } };
}

routing::TrafficConfigData trafficConfig()
{
    routing::TrafficConfigData data{ .version = 1 };
    data.routes = { { .name = "read",
                      .host = "h",
                      .pathPrefix = "/read/",
                      .kind = RequestKind::Safe,
                      .timeout = milliseconds(200),
                      .services = { { .service = "desk" } } },
                    { .name = "chat",
                      .host = "h",
                      .pathPrefix = "/chat/",
                      .kind = RequestKind::Stream,
                      .timeout = milliseconds(200),
                      .services = { { .service = "engines" } },
                      .resumable = true } };
    data.services = { { .name = "desk" },
                      { .name = "engines",
                        .engine = routing::EngineModel{ .slots = 8, .cacheTokens = 10000 } } };
    data.organisations = std::vector<routing::Organisation>{ { .name = "org", .keys = { "key" } } };
    return data;
}

std::string freeAddress(asio::io_context &io)
{
    const tcp::acceptor acceptor(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

// A gateway in front of a server that answers every request with the same bytes.
class GatewayHarness
{
public:
    explicit GatewayHarness(const std::vector<std::string_view> &answer)
    {
        sharedServer().setAnswer(answer);
        state_.config = std::make_shared<const routing::TrafficConfig>(trafficConfig());
        for (const char *service : { "desk", "engines" })
            state_.directory.update({ .id = service,
                                      .service = service,
                                      .address = sharedServer().address(),
                                      .failureDomain = "a",
                                      .slots = 8 },
                                    1);
        // Another process may take the port before the gateway does.
        std::string address;
        while (!gateway_) {
            address = freeAddress(io_);
            gateway_ = gateway::Gateway::make(io_, { .listenAddress = address,
                                                     .headerNames = headerNames(),
                                                     .state = &state_,
                                                     .placement = &source_ });
        }
        caller_.connect(*parseEndpoint(address));
        runUntil([this] { return gateway_->connections() > 0; });
    }

    // The connections refer to the gateway.
    ~GatewayHarness()
    {
        closeCaller();
        while (gateway_->connections() > 0)
            io_.run_one_for(milliseconds(1));
    }
    GatewayHarness(const GatewayHarness &) = delete;
    GatewayHarness &operator=(const GatewayHarness &) = delete;

    // Sends the pieces; the gateway runs between them. endInput is true if the caller ends its
    // direction of the connection, which ends the request.
    void send(const std::vector<std::string_view> &pieces, bool endInput)
    {
        caller_.non_blocking(true);
        for (std::string_view piece : pieces) {
            ErrorCode error;
            while (!piece.empty() && (!error || error == asio::error::would_block)) {
                piece.remove_prefix(
                        caller_.write_some(asio::buffer(piece.data(), piece.size()), error));
                readResponse();
                io_.poll();
            }
        }
        if (endInput)
            closeCaller();
        runUntil([this] { return readResponse() || gateway_->connections() == 0; });
    }

private:
    template<typename Condition>
    void runUntil(const Condition &condition)
    {
        const auto end = Clock::now() + kMaxTime;
        while (!condition() && Clock::now() < end)
            io_.run_one_for(milliseconds(1));
    }

    // A reset leaves no port in use; the gateway still reads what was sent before.
    void closeCaller()
    {
        ErrorCode ignored;
        caller_.set_option(asio::socket_base::linger(true, 0), ignored);
        caller_.close(ignored);
    }

    // Returns true if the gateway has ended the connection.
    bool readResponse()
    {
        std::array<char, 16384> buffer{};
        ErrorCode error;
        while (caller_.read_some(asio::buffer(buffer), error) > 0 && !error) {
        }
        return error && error != asio::error::would_block;
    }

    asio::io_context &io_ = sharedContext();
    gateway::RoutingState state_{ .directory = {},
                                  .placement = routing::Placement(
                                          { .failureDomain = "a", .regions = { { "a", "r" } } }),
                                  .retries = routing::RetryBudget({}),
                                  .config = nullptr };
    routing::LocalPlacementSource source_{ state_.directory, state_.placement };
    std::unique_ptr<gateway::Gateway> gateway_;
    tcp::socket caller_{ io_ };
};

std::string requestText(const std::string &line, const std::string &rest)
{
    return line + " HTTP/1.1\r\n" + kRequestFields + rest;
}

void decodeRequest(std::string_view input)
{
    static const std::string answer = std::string(kHead) + "Content-Length: 2\r\n\r\nok";
    GatewayHarness({ answer }).send(dividedInput(input), true);
}

void decodePlainResponse(std::string_view input)
{
    static const std::string request = requestText("GET /read/x", "Connection: close\r\n\r\n");
    GatewayHarness(dividedInput(input)).send({ request }, false);
}

void decodeStreamResponse(std::string_view input)
{
    static const std::string request = requestText(
            "POST /chat/x", "X-Last: 1\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx");
    GatewayHarness(dividedInput(input)).send({ request }, false);
}

// Responses of the store and of other daemons.
void decodeClientResponse(std::string_view input)
{
    asio::io_context &io = sharedContext();
    sharedServer().setAnswer(dividedInput(input));
    gateway::HttpClient client(io, sharedServer().address());
    bool ended = false;
    client.get("/x", kMaxTime, [&ended](const gateway::HttpResponse &) { ended = true; });
    while (!ended)
        io.run_one();
}

// Requests for metrics and documents.
void decodeStatusRequest(std::string_view input)
{
    asio::io_context &io = sharedContext();
    std::string address;
    std::unique_ptr<gateway::StatusEndpoint> endpoint;
    while (!endpoint) {
        address = freeAddress(io);
        endpoint = gateway::StatusEndpoint::make(io, address, [](std::string_view) {
            return gateway::StatusResponse{ .body = "ok" };
        });
    }
    tcp::socket caller(io);
    caller.connect(*parseEndpoint(address));
    io.run_one_for(kMaxTime);
    for (const std::string_view piece : dividedInput(input)) {
        ErrorCode error;
        asio::write(caller, asio::buffer(piece.data(), piece.size()), error);
        io.poll();
    }
    caller.set_option(asio::socket_base::linger(true, 0));
    caller.close();
    for (int i = 0; i < 8; ++i)
        io.poll();
}

void decodeEvents(std::string_view input)
{
    gateway::EventStream stream("1");
    const gateway::EventStream::TimePoint now{ std::chrono::seconds(1) };
    stream.attemptStarted();
    for (const std::string_view piece : dividedInput(input)) {
        stream.feed(piece);
        stream.takeEvents(now);
    }
}

void decodeFieldValues(std::string_view input)
{
    gateway::parseLoadReport(input);
    const routing::PromptParts parts = gateway::parsePromptParts(input);
    routing::sharedTokens(parts);
    routing::sessionPartId(parts);
    gateway::numericEventId(input);
    parseEndpoint(std::string(input));
}

std::vector<std::string> responses(const std::string &type, const std::string &body)
{
    const std::string head = kHead + type;
    char size[24];
    std::snprintf(size, sizeof(size), "%zx\r\n", body.size());
    return {
        head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
        head + "Transfer-Encoding: chunked\r\n\r\n" + size + body + "\r\n0\r\nX-T: 1\r\n\r\n",
        head + "Connection: close\r\n\r\n" + body,
        "HTTP/1.1 100 Continue\r\n\r\n" + head + "Keep-Alive: timeout=5\r\n\r\n",
        ("HTTP/1.1 503 Busy\r\nX-Id: 1\r\nX-Not-Executed: 1\r\nRetry-After: 1\r\nX-Leaving: 900\r\n"
         "Content-Length: 0\r\n\r\n")
    };
}

const std::string kEvents = "id: 2\ndata: {\"a\":1}\n\n: comment\n\nid: 3\r\ndata: b\r\n\r\n"
                            "event: end\nid: 4\ndata: [DONE]\n\n";

} // namespace

std::vector<Decoder> gatewayDecoders()
{
    constexpr std::size_t kMaxRequest = std::size_t{ 16 } * 1024;
    const std::vector<std::string> requests{
        requestText("GET /read/x", "\r\n"),
        requestText("POST /read/x", "Content-Length: 5\r\n\r\nhello"),
        requestText("POST /chat/x", "Transfer-Encoding: chunked\r\n\r\n5;a=b\r\nhello\r\n"
                                    "0\r\nX-Trailer: 1\r\n\r\n"),
        requestText("PUT /read/x", "Expect: 100-continue\r\nContent-Length: 2\r\n\r\nhi"),
        requestText("HEAD /read/x?a=b", "Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\n\r\n")
                + requestText("GET /none", "\r\n"),
    };
    return {
        { .name = "gateway-request",
          .corpus = requests,
          .decode = decodeRequest,
          .maxBytes = kMaxRequest },
        { .name = "gateway-plain-response",
          .corpus = responses("", "hello"),
          .decode = decodePlainResponse },
        { .name = "gateway-stream-response",
          .corpus = responses("Content-Type: text/event-stream\r\n", kEvents),
          .decode = decodeStreamResponse },
        { .name = "gateway-client-response",
          .corpus = responses("", "{\"offset\":1,\"end\":2}"),
          .decode = decodeClientResponse },
        { .name = "gateway-status-request",
          .corpus = { "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n",
                      "GET /documents/1/2 HTTP/1.1\r\nContent-Length: 0\r\n\r\n"
                      "GET /x HTTP/1.0\r\n\r\n" },
          .decode = decodeStatusRequest,
          .maxBytes = kMaxRequest },
        { .name = "gateway-events",
          .corpus = { kEvents, "data: x\n\n", "\n\n" },
          .decode = decodeEvents },
        { .name = "gateway-field-values",
          .corpus = { "3,1,8", "3,1,8,250", "5c1e07a2:800, 91bd3f06:410,bad,e:x", "17",
                      "127.0.0.1:80", "[::1]:80" },
          .decode = decodeFieldValues },
    };
}

} // namespace auburn::fuzz
