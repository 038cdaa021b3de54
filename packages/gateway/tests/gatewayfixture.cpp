#include "gatewayfixture.h"

#include "auburn/core/lasterror.h"

#include <boost/asio/steady_timer.hpp>

namespace auburn::gateway {

using routing::RequestKind;
using std::chrono::milliseconds;

namespace {

HeaderNames testHeaderNames()
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
             .resumedRequest = "X-Resumes",
             .responseSeal = "X-Seal",
             .notExecuted = "X-Not-Executed",
             .serverLoad = "X-Load",
             .serverLeaving = "X-Leaving",
             .serverLimit = "X-Limit",
             .reserved = { "X-Deadline", "X-Key", "X-Org", "X-Server", "X-Urgency", "X-Copy-Source",
                           "X-Last" } };
}

std::uint16_t freePort(boost::asio::io_context &io)
{
    using boost::asio::ip::tcp;
    tcp::acceptor acceptor(io, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    return acceptor.local_endpoint().port();
}

} // namespace

routing::TrafficConfigData GatewayFixture::testConfig()
{
    routing::TrafficConfigData data{ .version = 1 };
    data.routes = {
        { .name = "read",
          .host = "h",
          .pathPrefix = "/read/",
          .kind = RequestKind::Safe,
          .timeout = milliseconds(1500),
          .latencyTarget = milliseconds(200),
          .services = { { .service = "desk" } },
          .maxAttempts = 2 },
        { .name = "order",
          .host = "h",
          .pathPrefix = "/order/",
          .kind = RequestKind::Unsafe,
          .timeout = milliseconds(1500),
          .services = { { .service = "desk" } } },
        { .name = "chat",
          .host = "h",
          .pathPrefix = "/chat/",
          .kind = RequestKind::Stream,
          .timeout = milliseconds(4000),
          .latencyTarget = milliseconds(400),
          .gapTarget = milliseconds(100),
          .services = { { .service = "engines" } },
          .maxAttempts = 2,
          .resumable = true },
        { .name = "digest",
          .host = "h",
          .pathPrefix = "/digest/",
          .kind = RequestKind::Stream,
          .timeout = milliseconds(1500),
          .services = { { .service = "engines" } } },
        { .name = "once",
          .host = "h",
          .pathPrefix = "/once/",
          .kind = RequestKind::Stream,
          .timeout = milliseconds(2500),
          .latencyTarget = milliseconds(100),
          .gapTarget = milliseconds(50),
          .services = { { .service = "engines" } },
          .maxAttempts = 2 },
        { .name = "open",
          .host = "h",
          .pathPrefix = "/open/",
          .kind = RequestKind::Safe,
          .services = { { .service = "desk" } },
          .isPublic = true },
    };
    data.services = { { .name = "desk", .maxConnections = 40 },
                      { .name = "engines",
                        .engine = routing::EngineModel{ .slots = 8, .cacheTokens = 10000 } } };
    data.limits.headerBytes = 4096;
    data.limits.bodyBytes = 10000;
    data.limits.headerTimeout = milliseconds(300);
    data.limits.idleTimeout = milliseconds(5000);
    data.organisations = std::vector<routing::Organisation>{ { .name = "org", .keys = { "key" } } };
    return data;
}

GatewayFixture::GatewayFixture()
    : address("127.0.0.1:" + std::to_string(freePort(io)))
{
    state.config = std::make_shared<const routing::TrafficConfig>(testConfig());
    fillRetryBudget();
    startGateway(placementSource);
}

void GatewayFixture::fillRetryBudget()
{
    constexpr unsigned kRequests = 1000;
    const auto now = std::chrono::steady_clock::now();
    for (unsigned i = 0; i < kRequests; ++i) {
        for (const char *service : { "desk", "engines" })
            state.retries.recordRequest(service, now);
    }
}

void GatewayFixture::startGateway(routing::PlacementSource &placement)
{
    gateway = Gateway::make(
            io, { .listenAddress = address,
                  .headerNames = testHeaderNames(),
                  .state = &state,
                  .placement = &placement,
                  .streamOrigins = streamOrigins,
                  .maxConnections = maxConnections,
                  .memoryLimit = memoryLimit,
                  .requestBegan = [this](const std::string &organisation, milliseconds ago) {
                      begunRequests.push_back({ organisation, ago });
                  } });
    BOOST_REQUIRE_MESSAGE(gateway, lastError());
}

void GatewayFixture::wait(milliseconds time)
{
    boost::asio::steady_timer timer(io, time);
    bool done = false;
    timer.async_wait([&done](boost::system::error_code) { done = true; });
    runUntil(
            io, [&done] { return done; }, time * 2);
}

ScriptedServer &GatewayFixture::addServer(const std::string &id, const std::string &service,
                                          ScriptedServer::Handler handler)
{
    servers.push_back(std::make_unique<ScriptedServer>(io, std::move(handler)));
    state.directory.update({ .id = id,
                             .service = service,
                             .address = servers.back()->address(),
                             .failureDomain = "a",
                             .slots = 8 },
                           ++logPosition);
    return *servers.back();
}

std::string GatewayFixture::request(const std::string &method, const std::string &target,
                                    const std::string &fields, const std::string &body)
{
    static unsigned number = 0;
    std::string text = method + " " + target + " HTTP/1.1\r\nHost: h\r\nX-Id: id"
                       + std::to_string(++number) + "\r\nX-Key: key\r\n" + fields;
    if (!body.empty())
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

std::string GatewayFixture::exchange(const std::string &text)
{
    ScriptedClient client(io, address);
    client.send(text);
    runUntil(io, [&] { return client.isClosed() || isComplete(client.received()); });
    return client.received();
}

std::string GatewayFixture::sealed(int status, const std::string &body, const std::string &fields)
{
    return wholeAnswer(status, "X-Seal: s\r\n" + fields, body);
}

std::string GatewayFixture::chunk(const std::string &data)
{
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", data.size());
    return size + data + "\r\n";
}

std::string GatewayFixture::streamHead()
{
    return "HTTP/1.1 200 OK\r\nX-Seal: s\r\nContent-Type: text/event-stream\r\n"
           "Transfer-Encoding: chunked\r\n\r\n";
}

std::string GatewayFixture::event(unsigned id)
{
    return "id: " + std::to_string(id) + "\ndata: d" + std::to_string(id) + "\n\n";
}

std::string GatewayFixture::eventsUpTo(unsigned last)
{
    std::string text;
    for (unsigned id = 1; id <= last; ++id)
        text += event(id);
    return text;
}

std::string GatewayFixture::chunkedBody(const std::string &response)
{
    std::string body;
    std::size_t at = response.find("\r\n\r\n");
    at = at == std::string::npos ? response.size() : at + 4;
    while (at < response.size()) {
        const std::size_t size = std::stoul(response.substr(at), nullptr, 16);
        at = response.find("\r\n", at) + 2;
        if (size == 0)
            break;
        body += response.substr(at, size);
        at += size + 2;
    }
    return body;
}

int GatewayFixture::statusOf(const std::string &response)
{
    return response.size() > 12 ? std::stoi(response.substr(9, 3)) : 0;
}

bool GatewayFixture::isComplete(const std::string &response)
{
    const std::size_t head = response.find("\r\n\r\n");
    if (head == std::string::npos)
        return false;
    if (response.find("Transfer-Encoding: chunked") < head)
        return response.size() >= 5 && response.substr(response.size() - 5) == "0\r\n\r\n";
    const std::size_t length = response.find("Content-Length: ");
    return length < head && response.size() >= head + 4 + std::stoul(response.substr(length + 16));
}

} // namespace auburn::gateway
