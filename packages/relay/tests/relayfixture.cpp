#include "relayfixture.h"

#include "auburn/core/hash.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <QJsonArray>

#include <algorithm>
#include <sys/socket.h>
#include <sys/time.h>
#include <utility>

namespace auburn::test {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using ErrorCode = boost::system::error_code;

bool waitFor(const std::function<bool()> &condition)
{
    const auto limit = std::chrono::steady_clock::now() + kPatience;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > limit)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    return true;
}

// ---- Fakes -----------------------------------------------------------------

void FakeSlots::addBackendServer(const std::string &name, const std::string &address)
{
    const std::lock_guard lock(mutex_);
    backendServers_.emplace_back(name, address);
}

void FakeSlots::setMode(Mode mode)
{
    const std::lock_guard lock(mutex_);
    mode_ = mode;
}

void FakeSlots::request(SlotRequest demand, Callback callback)
{
    SlotAnswer answer = Refusal{ .code = RefusalCode::Overloaded, .message = "queue is full" };
    {
        const std::lock_guard lock(mutex_);
        demands_.push_back(demand);
        if (mode_ == Mode::Hold) {
            waiting_.emplace(demand.requestId, std::move(callback));
            return;
        }
        if (mode_ == Mode::Grant) {
            const auto isFree = [&demand](const auto &backendServer) {
                return std::ranges::count(demand.excludedBackendServers, backendServer.first) == 0;
            };
            auto found = std::ranges::find_if(backendServers_, isFree);
            if (found == backendServers_.end())
                found = backendServers_.begin();
            ++granted_;
            answer = GrantedSlot{ .slotId = "s" + std::to_string(granted_),
                                  .backendServer = found->first,
                                  .address = found->second,
                                  .service = demand.service,
                                  .dispatchDeadline = std::chrono::steady_clock::now()
                                                      + std::chrono::seconds(5) };
        }
    }
    callback(std::move(answer));
}

void FakeSlots::cancel(const std::string &requestId)
{
    const std::lock_guard lock(mutex_);
    ++cancelled_;
    waiting_.erase(requestId);
}

void FakeSlots::release(const GrantedSlot &slot, SlotReport report)
{
    const std::lock_guard lock(mutex_);
    released_.push_back({ slot.backendServer, report });
}

std::vector<FakeSlots::Released> FakeSlots::released() const
{
    const std::lock_guard lock(mutex_);
    return released_;
}

std::size_t FakeSlots::granted() const
{
    const std::lock_guard lock(mutex_);
    return granted_;
}

std::size_t FakeSlots::waiting() const
{
    const std::lock_guard lock(mutex_);
    return waiting_.size();
}

std::size_t FakeSlots::cancelled() const
{
    const std::lock_guard lock(mutex_);
    return cancelled_;
}

std::vector<SlotRequest> FakeSlots::demands() const
{
    const std::lock_guard lock(mutex_);
    return demands_;
}

void FakeClaims::setMode(Mode mode)
{
    const std::lock_guard lock(mutex_);
    mode_ = mode;
}

void FakeClaims::claim(ClaimRequest demand, Callback callback)
{
    Mode mode = Mode::Win;
    {
        const std::lock_guard lock(mutex_);
        mode = mode_;
        if (mode == Mode::Hold) {
            held_.emplace_back(std::move(demand), std::move(callback));
            return;
        }
    }
    if (mode == Mode::Lose)
        callback(Refusal{ .code = RefusalCode::AlreadyCompleted, .message = "completed before" });
    else
        callback(WonClaim{ "a", demand.organisation, demand.key });
}

void FakeClaims::finish(const WonClaim & /*claim*/, ExecutionOutcome end)
{
    const std::lock_guard lock(mutex_);
    finished_.push_back(end);
}

void FakeClaims::answerHeld()
{
    std::vector<std::pair<ClaimRequest, Callback>> held;
    {
        const std::lock_guard lock(mutex_);
        held.swap(held_);
    }
    for (const auto &[demand, callback] : held)
        callback(WonClaim{ "a", demand.organisation, demand.key });
}

std::vector<ExecutionOutcome> FakeClaims::finished() const
{
    const std::lock_guard lock(mutex_);
    return finished_;
}

std::size_t FakeClaims::held() const
{
    const std::lock_guard lock(mutex_);
    return held_.size();
}

namespace {

class FakeTrace final : public RequestTrace
{
public:
    explicit FakeTrace(FakeObserver &observer)
        : observer_(observer)
    {}

    std::string traceparent() const override { return "parent"; }
    void queueBegin() override { observer_.add("queueBegin"); }
    void queueEnd(bool granted) override { observer_.add(granted ? "granted" : "notGranted"); }
    void claimBegin() override { observer_.add("claimBegin"); }
    void claimEnd(bool won) override { observer_.add(won ? "won" : "lost"); }
    std::string attemptBegin(const std::string &backendServer, unsigned /*number*/) override
    {
        observer_.add("attempt:" + backendServer);
        return "attempt-parent";
    }
    void firstToken(std::chrono::microseconds /*sinceReceived*/) override
    {
        observer_.add("firstToken");
    }
    void tokenGap(std::chrono::microseconds /*gap*/) override {}
    void attemptEnd(const AttemptEnd &end) override
    {
        observer_.add(end.complete ? "attemptComplete" : "attemptFailed");
    }
    void end(const RequestEnd &end) override { observer_.addEnd(end); }

private:
    FakeObserver &observer_;
};

} // namespace

std::unique_ptr<RequestTrace> FakeObserver::received(const RelayRequest & /*request*/)
{
    add("received");
    return std::make_unique<FakeTrace>(*this);
}

void FakeObserver::rejected(const Refusal &refusal)
{
    add("rejected:" + std::string(refusalCodeName(refusal.code)));
}

void FakeObserver::add(const std::string &event)
{
    const std::lock_guard lock(mutex_);
    events_.push_back(event);
}

void FakeObserver::addEnd(const RequestEnd &end)
{
    const std::lock_guard lock(mutex_);
    ends_.push_back(end);
}

std::vector<std::string> FakeObserver::events() const
{
    const std::lock_guard lock(mutex_);
    return events_;
}

std::vector<RequestEnd> FakeObserver::ends() const
{
    const std::lock_guard lock(mutex_);
    return ends_;
}

StandinThread::StandinThread()
    : work_(asio::make_work_guard(context_))
    , thread_([this] { context_.run(); })
{}

StandinThread::~StandinThread()
{
    context_.stop();
    thread_.join();
}

// ---- Client ----------------------------------------------------------------

QJsonObject Response::json() const
{
    return QJsonDocument::fromJson(QByteArray::fromStdString(body)).object();
}

std::string Response::errorCode() const
{
    return json().value("error").toObject().value("code").toString().toStdString();
}

Client::Client(std::uint16_t port, int receiveBuffer)
    : socket_(context_)
{
    socket_.open(asio::ip::tcp::v4());
    if (receiveBuffer != 0)
        socket_.set_option(asio::socket_base::receive_buffer_size(receiveBuffer));
    socket_.connect({ asio::ip::make_address("127.0.0.1"), port });
    // Blocking reads end after this time, so a fault fails a test instead of hanging it.
    const timeval patience{ .tv_sec = kPatience.count() };
    ::setsockopt(socket_.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof(patience));
}

bool Client::send(const std::string &text)
{
    ErrorCode error;
    asio::write(socket_, asio::buffer(text), error);
    return !error;
}

std::string Client::receiveSome()
{
    std::string chunk(std::size_t{ 64 } * 1024, '\0');
    const ssize_t size = ::recv(socket_.native_handle(), chunk.data(), chunk.size(), 0);
    chunk.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
    return chunk;
}

Response Client::receive(bool headRequest)
{
    http::response_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    parser.eager(true);
    parser.skip(headRequest);
    ErrorCode error;
    while (!parser.is_done()) {
        if (!input_.empty()) {
            const std::size_t used = parser.put(asio::buffer(input_), error);
            input_.erase(0, used);
            if (error && error != http::error::need_more)
                break;
            if (parser.is_done())
                break;
        }
        const std::string more = receiveSome();
        if (more.empty()) {
            // The parser would take the end of an empty input for a complete response.
            if (!parser.got_some())
                return {};
            parser.put_eof(error);
            break;
        }
        input_ += more;
    }
    Response response{ .status = static_cast<int>(parser.get().result_int()),
                       .body = parser.get().body(),
                       .complete = parser.is_done() };
    if (!parser.is_header_done())
        response.status = 0;
    for (const auto &field : parser.get())
        response.fields[std::string(field.name_string())] = std::string(field.value());
    return response;
}

bool Client::waitClosed()
{
    const auto limit = std::chrono::steady_clock::now() + kPatience;
    while (!receiveSome().empty()) {
        if (std::chrono::steady_clock::now() > limit)
            return false;
    }
    return true;
}

void Client::close()
{
    ErrorCode ignored;
    socket_.close(ignored);
}

std::string httpRequest(const std::string &method, const std::string &target,
                        const std::string &fields, const std::string &body,
                        const std::string &token)
{
    return method + " " + target + " HTTP/1.1\r\nHost: relay\r\nAuthorization: Bearer " + token
           + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + fields + "\r\n" + body;
}

std::string chatBody(const std::string &prompt, bool stream, unsigned tokens)
{
    const QJsonObject message{ { "role", "user" }, { "content", QString::fromStdString(prompt) } };
    const QJsonObject body{ { "model", "m" },
                            { "messages", QJsonArray{ message } },
                            { "max_tokens", static_cast<int>(tokens) },
                            { "stream", stream } };
    return QJsonDocument(body).toJson(QJsonDocument::Compact).toStdString();
}

std::string chatRequest(const std::string &prompt, bool stream, unsigned tokens,
                        const std::string &fields)
{
    return httpRequest("POST", "/v1/chat/completions", fields, chatBody(prompt, stream, tokens));
}

StreamText parseStream(const std::string &body)
{
    StreamText result;
    std::size_t begin = 0;
    while (begin < body.size()) {
        const std::size_t end = std::min(body.find('\n', begin), body.size());
        const std::string line = body.substr(begin, end - begin);
        begin = end + 1;
        if (line == "event: error")
            result.error = true;
        if (line == "data: [DONE]")
            result.done = true;
        if (!line.starts_with("data: {") || result.error)
            continue;
        const QByteArray bytes = QByteArray::fromStdString(line.substr(6));
        const QJsonObject event = QJsonDocument::fromJson(bytes).object();
        const std::string id = event.value("id").toString().toStdString();
        if (result.engineRequestId.empty())
            result.engineRequestId = id;
        result.mixed = result.mixed || id != result.engineRequestId;
        const QJsonObject choice = event.value("choices").toArray().at(0).toObject();
        result.text += choice.value("delta").toObject().value("content").toString().toStdString();
        ++result.tokens;
    }
    return result;
}

// ---- Fixture ---------------------------------------------------------------

ConfigState::ItemMap testItems()
{
    const auto caller = [](const char *name, const char *organisation, const char *token,
                           bool revoked = false) {
        return Caller{ .name = name,
                       .organisation = organisation,
                       .className = "standard",
                       .tokenSha256 = sha256Hex(token),
                       .revoked = revoked };
    };
    const std::vector<ItemValue> values{
        Service{ .name = "m" },
        Service{ .name = "svc", .kind = ServiceKind::Plain },
        Service{ .name = "pay", .kind = ServiceKind::Plain, .nonIdempotent = true },
        RequestClass{ .name = "gold", .tier = 0 },
        RequestClass{ .name = "standard", .tier = 3 },
        RequestClass{ .name = "batch", .tier = 7 },
        Organisation{ .name = "org" },
        Organisation{ .name = "small", .maxConcurrent = 1 },
        Organisation{ .name = "gone", .suspended = true },
        caller("alice", "org", kToken),
        caller("bob", "small", "small-token"),
        caller("carol", "gone", "gone-token"),
        caller("dave", "org", "revoked-token", true),
    };
    ConfigState::ItemMap items;
    for (const ItemValue &value : values)
        items[keyOf(value)] = std::make_shared<const Item>(Item{ value, 1 });
    return items;
}

RelayFixture::RelayFixture()
{
    options.slots = &slots;
    options.claims = &claims;
    options.observer = &observer;
}

RelayFixture::~RelayFixture()
{
    server.reset();
    standins.run([this] {
        engines.clear();
        services.clear();
        return true;
    });
}

void RelayFixture::serve()
{
    auto state = ConfigState::make(items, 1);
    options.config = [state] { return state; };
    server = CallerServer::make(options);
}

standin::EngineOptions RelayFixture::fastEngine()
{
    return standin::EngineOptions{ .slots = 64,
                                   .tokensPerSecond = 500,
                                   .prefillPerToken = std::chrono::microseconds(10) };
}

void RelayFixture::addEngine(const std::string &name, standin::EngineOptions engineOptions)
{
    auto engine = standins.run([this, &engineOptions] {
        return standin::StandinEngine::make(standins.context(), engineOptions);
    });
    slots.addBackendServer(name, "127.0.0.1:" + std::to_string(engine->port()));
    engines.push_back(std::move(engine));
}

void RelayFixture::addService(const std::string &name)
{
    auto service = standins.run(
            [this] { return standin::StandinService::make(standins.context(), {}); });
    slots.addBackendServer(name, "127.0.0.1:" + std::to_string(service->port()));
    services.push_back(std::move(service));
}

bool RelayFixture::controlEngine(std::size_t index, const QJsonObject &command)
{
    return standins.run([&] { return engines[index]->control(command); });
}

bool RelayFixture::controlService(std::size_t index, const QJsonObject &command)
{
    return standins.run([&] { return services[index]->control(command); });
}

std::vector<standin::Execution> RelayFixture::engineRecord(std::size_t index)
{
    return standins.run([&] {
        const auto &list = engines[index]->record().executions();
        return std::vector<standin::Execution>(list.begin(), list.end());
    });
}

std::vector<standin::Execution> RelayFixture::serviceRecord(std::size_t index)
{
    return standins.run([&] {
        const auto &list = services[index]->record().executions();
        return std::vector<standin::Execution>(list.begin(), list.end());
    });
}

unsigned RelayFixture::serviceArrivals(std::size_t index)
{
    return standins.run([&] { return services[index]->arrivals(); });
}

Response RelayFixture::exchange(const std::string &request)
{
    Client client(server->port());
    client.send(request);
    return client.receive();
}

} // namespace auburn::test
