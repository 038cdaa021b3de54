// Decoders of the product's own path: requests of callers, their bodies, and the responses and
// streams of backend servers.

#include "backendservercall.h"
#include "backendserverclient.h"
#include "byteserver.h"
#include "decoder.h"
#include "prompt.h"
#include "requestreader.h"
#include "ssescanner.h"

#include "auburn/core/gradualbody.h"
#include "auburn/core/hash.h"

#include <boost/beast/http/parser.hpp>

#include <utility>

namespace auburn::fuzz {

namespace {

namespace http = boost::beast::http;
using std::chrono::milliseconds;

constexpr const char *kToken = "token";
constexpr std::size_t kMaxPartialEvent = std::size_t{ 256 } * 1024;

std::shared_ptr<const ConfigState> makeConfig()
{
    const std::vector<ItemValue> values{
        Service{ .name = "m" },
        Service{ .name = "svc", .kind = ServiceKind::Plain },
        RequestClass{ .name = "standard", .tier = 3 },
        Organisation{ .name = "org" },
        Caller{ .name = "alice",
                .organisation = "org",
                .className = "standard",
                .tokenSha256 = sha256Hex(kToken) },
    };
    ConfigState::ItemMap items;
    for (const ItemValue &value : values)
        items[keyOf(value)] = std::make_shared<const Item>(Item{ value, 1 });
    return ConfigState::make(items, 1);
}

// Used for requests whose own identity is rejected.
CallerIdentity knownIdentity(const std::shared_ptr<const ConfigState> &config)
{
    const Caller *caller = config->callerByToken(sha256Hex(kToken));
    return { .config = config,
             .caller = caller,
             .organisation = config->organisation(caller->organisation),
             .requestClass = config->requestClass(caller->className) };
}

void decodeRequest(std::string_view input)
{
    static const std::shared_ptr<const ConfigState> config = makeConfig();
    const RelayLimits limits;
    http::request_parser<GradualBody> parser;
    parser.eager(true);
    parser.header_limit(static_cast<std::uint32_t>(limits.headerBytes));
    parser.body_limit(limits.bodyBytes);
    std::string waiting;
    for (const std::string_view piece : dividedInput(input)) {
        waiting.append(piece);
        boost::system::error_code error;
        while (!waiting.empty() && !parser.is_done() && !error)
            waiting.erase(0, parser.put(boost::asio::buffer(waiting), error));
        if (error && error != http::error::need_more)
            return;
    }
    if (!parser.is_header_done())
        return;
    checkFraming(parser.get());
    auto identity = identifyCaller(config, parser.get(), limits);
    auto *caller = std::get_if<CallerIdentity>(&identity);
    readRequest(caller ? *caller : knownIdentity(config), parser.get(), parser.get().body());
}

void decodePrompt(std::string_view input)
{
    if (!parsePrompt(input))
        return;
    const std::string body = withPriority(std::string(input), 3);
    if (!parsePrompt(body))
        throw std::runtime_error("a prompt is unreadable after its priority was set");
}

void feedScanner(SseScanner &scanner, const std::vector<std::string_view> &pieces)
{
    for (const std::string_view piece : pieces)
        scanner.feed(piece, [](const SseEvent &event) { stableHash(event.id, event.text.size()); });
    scanner.release();
}

// All pieces arrive in one read, as the chunks of a body do.
void decodeEvents(std::string_view input)
{
    SseScanner scanner;
    feedScanner(scanner, dividedInput(input));
    scanner.reset();
}

class EventReader : public CallEvents
{
public:
    void callHead(const Header & /*header*/) override {}
    void callData(const std::vector<std::string_view> &data) override
    {
        if (scanner_.pendingBytes() <= kMaxPartialEvent)
            feedScanner(scanner_, data);
    }
    void callEnded(const CallResult & /*result*/) override { ended = true; }

    bool ended = false;

private:
    SseScanner scanner_;
};

void decodeResponse(std::string_view input)
{
    boost::asio::io_context &io = sharedContext();
    sharedServer().setAnswer(dividedInput(input));
    BackendServerClient client(io, {});
    EventReader events;
    const auto call = client.call({ .address = sharedServer().address(),
                                    .message = { .method = "GET", .target = "/x" },
                                    .idleTimeout = milliseconds(400) },
                                  events);
    while (!events.ended)
        io.run_one();
    client.shutDown();
}

} // namespace

std::vector<Decoder> relayDecoders()
{
    const std::string prompt = R"({"model":"m","messages":[{"role":"system","content":"be brief"},)"
                               R"({"role":"user","content":[{"type":"text","text":"hello"}]}],)"
                               R"("stream":true,"priority":1,"max_tokens":17})";
    const std::string events = "id: 1\ndata: {\"a\":1}\n\n: comment\n\nid: 2\r\ndata: b\r\n\r\n"
                               "event: error\ndata: x\n\ndata: [DONE]\n\n";
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
    const std::string fields =
            "Host: h\r\nAuthorization: Bearer token\r\nAuburn-Timeout-Ms: 900\r\n"
            "Idempotency-Key: k\r\n";
    return {
        { .name = "relay-request",
          .corpus = { "POST /v1/chat/completions HTTP/1.1\r\n" + fields + "Content-Length: "
                              + std::to_string(prompt.size()) + "\r\n\r\n" + prompt,
                      "GET /v1/services/svc/a?b=c HTTP/1.1\r\n" + fields
                              + "Connection: X-Hop\r\nX-Hop: 1\r\n\r\n",
                      "POST /v1/services/svc HTTP/1.1\r\n" + fields
                              + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX-T: "
                                "1\r\n\r\n" },
          .decode = decodeRequest },
        { .name = "relay-prompt",
          .corpus = { prompt, R"({"model":"m","messages":[],"stream":null})" },
          .decode = decodePrompt },
        { .name = "relay-events", .corpus = { events, "data: x\n\n" }, .decode = decodeEvents },
        { .name = "relay-response",
          .corpus = { head + "Content-Length: " + std::to_string(events.size()) + "\r\n\r\n"
                              + events,
                      head
                              + "Transfer-Encoding: chunked\r\n\r\n9\r\ndata: "
                                "x\n\n\r\n1\r\nx\r\n0\r\n\r\n",
                      head + "\r\n" + events, "HTTP/1.1 100 Continue\r\n\r\n" + head + "\r\n" },
          .decode = decodeResponse },
    };
}

} // namespace auburn::fuzz
