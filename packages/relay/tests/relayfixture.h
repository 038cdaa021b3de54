// Fixture of the relay's tests: a caller server with fake sources of slots and claims in front of
// stand-in backend servers, over real sockets.
#pragma once

#include "standinengine.h"
#include "standinservice.h"

#include "auburn/claims/claimservice.h"
#include "auburn/relay/callerserver.h"
#include "auburn/relay/requestobserver.h"
#include "auburn/schedule/slotsource.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>

#include <QJsonDocument>
#include <QJsonObject>

#include <chrono>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace auburn::test {

constexpr std::chrono::seconds kPatience{ 20 };

// Polls until the condition holds; false after kPatience.
bool waitFor(const std::function<bool()> &condition);

// Grants the backend servers in the given order, excluded ones last, and records what is given
// back.
class FakeSlots final : public SlotSource
{
public:
    enum class Mode { Grant, Hold, Refuse };

    struct Released
    {
        std::string backendServer;
        SlotReport report;
    };

    void addBackendServer(const std::string &name, const std::string &address);
    void setMode(Mode mode);
    void request(SlotRequest demand, Callback callback) override;
    void cancel(const std::string &requestId) override;
    void release(const GrantedSlot &slot, SlotReport report) override;

    std::vector<Released> released() const;
    std::size_t granted() const;
    std::size_t waiting() const;
    std::size_t cancelled() const;
    std::vector<SlotRequest> demands() const;

private:
    mutable std::mutex mutex_;
    Mode mode_ = Mode::Grant;
    std::vector<std::pair<std::string, std::string>> backendServers_;
    std::vector<SlotRequest> demands_;
    std::vector<Released> released_;
    std::map<std::string, Callback> waiting_;
    std::size_t granted_ = 0;
    std::size_t cancelled_ = 0;
};

class FakeClaims final : public ClaimService
{
public:
    // Won or lost at once, or answered by answerHeld().
    enum class Mode { Win, Lose, Hold };

    void setMode(Mode mode);
    void claim(ClaimRequest demand, Callback callback) override;
    void finish(const WonClaim &claim, ExecutionOutcome end) override;
    void answerHeld();

    std::vector<ExecutionOutcome> finished() const;
    std::size_t held() const;

private:
    mutable std::mutex mutex_;
    Mode mode_ = Mode::Win;
    std::vector<std::pair<ClaimRequest, Callback>> held_;
    std::vector<ExecutionOutcome> finished_;
};

// Records the events of all requests as words.
class FakeObserver final : public RequestObserver
{
public:
    std::unique_ptr<RequestTrace> received(const RelayRequest &request) override;
    void rejected(const Refusal &refusal) override;

    void add(const std::string &event);
    std::vector<std::string> events() const;
    std::vector<RequestEnd> ends() const;
    void addEnd(const RequestEnd &end);

private:
    mutable std::mutex mutex_;
    std::vector<std::string> events_;
    std::vector<RequestEnd> ends_;
};

// An io_context with its own thread for stand-ins.
class StandinThread
{
public:
    StandinThread();
    ~StandinThread();

    boost::asio::io_context &context() { return context_; }

    // Runs the function on the thread and returns its result.
    template<typename Function>
    auto run(Function function)
    {
        std::packaged_task<decltype(function())()> task(std::move(function));
        auto result = task.get_future();
        boost::asio::post(context_, [&task] { task(); });
        return result.get();
    }

private:
    boost::asio::io_context context_{ 1 };
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    std::thread thread_;
};

struct Response
{
    int status = 0;
    std::map<std::string, std::string> fields;
    std::string body;
    // False if the connection ended before the framing said so.
    bool complete = false;

    QJsonObject json() const;
    // Value of error.code.
    std::string errorCode() const;
};

// A blocking client on one connection.
class Client
{
public:
    // A receive buffer of 0 leaves the system's default.
    explicit Client(std::uint16_t port, int receiveBuffer = 0);

    // False if the peer has closed.
    bool send(const std::string &text);
    Response receive(bool headRequest = false);
    // Reads whatever arrives next; empty at the end of the connection.
    std::string receiveSome();
    // True once the peer has closed; discards input.
    bool waitClosed();
    void close();

private:
    boost::asio::io_context context_;
    boost::asio::ip::tcp::socket socket_;
    std::string input_;
};

constexpr const char *kToken = "secret-token";

// Text of a request with the fixture's token.
std::string httpRequest(const std::string &method, const std::string &target,
                        const std::string &fields, const std::string &body,
                        const std::string &token = kToken);
std::string chatBody(const std::string &prompt, bool stream, unsigned tokens);
std::string chatRequest(const std::string &prompt, bool stream, unsigned tokens,
                        const std::string &fields = {});

struct StreamText
{
    // Contents of all events.
    std::string text;
    // Id of the engine's request, from the first event.
    std::string engineRequestId;
    unsigned tokens = 0;
    bool done = false;
    bool error = false;
    // Events of more than one engine request were seen.
    bool mixed = false;
};

StreamText parseStream(const std::string &body);

// Configuration: model "m" and plain services "svc" and "pay" (non-idempotent); organisations "org"
// (no limit), "small" (one request) and "gone" (suspended).
ConfigState::ItemMap testItems();

class RelayFixture
{
public:
    RelayFixture();
    ~RelayFixture();

    // Starts the server; options set before apply.
    void serve();
    void addEngine(const std::string &name, standin::EngineOptions engineOptions = fastEngine());
    void addService(const std::string &name);
    bool controlEngine(std::size_t index, const QJsonObject &command);
    bool controlService(std::size_t index, const QJsonObject &command);
    std::vector<standin::Execution> engineRecord(std::size_t index);
    std::vector<standin::Execution> serviceRecord(std::size_t index);
    unsigned serviceArrivals(std::size_t index);

    Response exchange(const std::string &request);
    static standin::EngineOptions fastEngine();

    FakeSlots slots;
    FakeClaims claims;
    FakeObserver observer;
    ConfigState::ItemMap items = testItems();
    CallerServer::Options options;
    StandinThread standins;
    std::vector<std::unique_ptr<standin::StandinEngine>> engines;
    std::vector<std::unique_ptr<standin::StandinService>> services;
    std::unique_ptr<CallerServer> server;
};

} // namespace auburn::test
