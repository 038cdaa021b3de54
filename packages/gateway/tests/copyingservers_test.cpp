// Tests the gateway in front of servers that are listed under two ids, refuse requests at random
// and write copies, whole or cut, of what they wrote before on a connection. The callers repeat
// ids.

#include "gatewayfixture.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace auburn::gateway {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

constexpr unsigned kAddresses = 6;
constexpr unsigned kRounds = 100;
constexpr unsigned kCallersAtOnce = 4;
constexpr unsigned kIds = 6;
// Longer than a server takes to write a response and a copy.
constexpr milliseconds kMaxRunTime{ 50 };
constexpr const char *kRepeatableTarget = "/read/x";
constexpr std::array<const char *, 3> kTargets{ "/order/x", "/digest/x", kRepeatableTarget };

std::string idField(const ScriptedRequest &received)
{
    return "X-Id: " + std::string(received["X-Id"]) + "\r\n";
}

unsigned numberFromEnvironment(const char *name, unsigned standard)
{
    const char *text = std::getenv(name);
    return text ? static_cast<unsigned>(std::stoul(text)) : standard;
}

// Which requests the servers ran, and what they draw.
struct RandomScript
{
    explicit RandomScript(unsigned seed)
        : random(seed)
    {}

    unsigned draw(std::size_t limit)
    {
        return static_cast<unsigned>(random() % static_cast<unsigned>(limit));
    }

    std::mt19937 random;
    // Executions by the number of the caller's request, which is in a field of its own.
    std::map<std::string, unsigned> executions;
    unsigned copies = 0;
    unsigned connections = 0;
};

// A connection of a server.
class CopyingConnection : public std::enable_shared_from_this<CopyingConnection>
{
public:
    CopyingConnection(tcp::socket socket, RandomScript &script)
        : socket_(std::move(socket))
        , timer_(socket_.get_executor())
        , script_(script)
    {}

    void read()
    {
        parser_.emplace();
        boost::beast::http::async_read(
                socket_, buffer_, *parser_,
                [self = shared_from_this()](boost::system::error_code error, std::size_t) {
                    if (!error)
                        self->answer();
                });
    }

private:
    void answer()
    {
        const ScriptedRequest &received = parser_->get();
        const std::string response = respond(received);
        if (!written_.empty() && script_.draw(3) == 0)
            parts_.push_back({ copy(), milliseconds(script_.draw(2)) });
        parts_.push_back({ response, milliseconds(script_.draw(4)) });
        written_.push_back(response);
        if (!endsByClose_ && script_.draw(6) == 0)
            parts_.push_back({ copy(), milliseconds(script_.draw(4)) });
        sendNext();
    }

    std::string respond(const ScriptedRequest &received)
    {
        const std::string tryId(received["X-Try"]);
        const bool isOld = std::string(received["X-Server"]).find("old") == 0;
        if (isOld || script_.draw(3) == 0) {
            const int status = isOld ? 421 : script_.draw(2) == 0 ? 503 : 429;
            return wholeAnswer(status, "X-Not-Executed: 1\r\n" + idField(received),
                               script_.draw(2) == 0 ? "" : "full");
        }
        ++script_.executions[tryId];
        if (received.target().starts_with("/digest/"))
            return streamOf(received, "id: 1\ndata: try " + tryId + " end\n\n");
        return GatewayFixture::sealed(script_.draw(8) == 0 ? 500 : 200, "try " + tryId + " end",
                                      idField(received));
    }

    // Some streams have neither a length nor chunks.
    std::string streamOf(const ScriptedRequest &received, const std::string &events)
    {
        const std::string head =
                "HTTP/1.1 200 OK\r\nX-Seal: s\r\nContent-Type: text/event-stream\r\n"
                + idField(received);
        endsByClose_ = script_.draw(4) == 0;
        if (endsByClose_)
            return head + "\r\n" + events;
        return head + "Transfer-Encoding: chunked\r\n\r\n" + GatewayFixture::chunk(events)
               + "0\r\n\r\n";
    }

    // Prefers the latest responses, whose ids come again.
    std::string copy()
    {
        ++script_.copies;
        const std::size_t back = script_.draw(
                static_cast<unsigned>(std::min<std::size_t>(3, written_.size())));
        std::string bytes = written_[written_.size() - 1 - back];
        if (script_.draw(4) == 0)
            bytes.resize(1 + script_.draw(static_cast<unsigned>(bytes.size()) - 1));
        return bytes;
    }

    void sendNext()
    {
        if (parts_.empty()) {
            if (!endsByClose_)
                read();
            else
                socket_.close();
            return;
        }
        part_ = parts_.front();
        parts_.pop_front();
        timer_.expires_after(part_.pause);
        timer_.async_wait([self = shared_from_this()](boost::system::error_code) {
            boost::asio::async_write(self->socket_, boost::asio::buffer(self->part_.bytes),
                                     [self](boost::system::error_code error, std::size_t) {
                                         if (!error)
                                             self->sendNext();
                                     });
        });
    }

    tcp::socket socket_;
    boost::asio::steady_timer timer_;
    RandomScript &script_;
    boost::beast::flat_buffer buffer_;
    std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser_;
    std::vector<std::string> written_;
    std::deque<ScriptedPart> parts_;
    ScriptedPart part_;
    bool endsByClose_ = false;
};

class CopyingServer
{
public:
    CopyingServer(boost::asio::io_context &io, RandomScript &script)
        : acceptor_(io, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
        , script_(script)
    {
        accept();
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

private:
    void accept()
    {
        acceptor_.async_accept([this](boost::system::error_code error, tcp::socket socket) {
            if (error)
                return;
            ++script_.connections;
            std::make_shared<CopyingConnection>(std::move(socket), script_)->read();
            accept();
        });
    }

    tcp::acceptor acceptor_;
    RandomScript &script_;
};

// The outcome of a caller's request.
struct Outcome
{
    std::string tryId;
    bool isRepeatable = false;
    std::string response;
};

struct CopyingServersFixture : GatewayFixture
{
    CopyingServersFixture()
    {
        for (unsigned i = 0; i < kAddresses; ++i)
            addCopyingServer(i);
    }

    // Lists a server under two ids, like one that was started anew at its address.
    void addCopyingServer(unsigned number)
    {
        copyingServers.emplace_back(io, script);
        for (const char *id : { "old", "new" })
            state.directory.update({ .id = id + std::to_string(number),
                                     .service = number % 2 == 0 ? "desk" : "engines",
                                     .address = copyingServers.back().address(),
                                     .failureDomain = "a",
                                     .slots = 8 },
                                   ++logPosition);
    }

    std::string requestText(const std::string &target, const std::string &tryId)
    {
        std::string text = "POST ";
        text.append(target).append(" HTTP/1.1\r\nHost: h\r\nX-Key: key\r\nX-Try: ").append(tryId);
        text.append("\r\nX-Id: c").append(std::to_string(script.draw(kIds)));
        return text.append("\r\nContent-Length: 0\r\n\r\n");
    }

    // Sends some requests at once and waits for their responses.
    void runRound()
    {
        std::list<ScriptedClient> clients;
        const std::size_t first = outcomes.size();
        for (unsigned i = 0; i < kCallersAtOnce; ++i) {
            const std::string target = kTargets[script.draw(kTargets.size())];
            const std::string tryId = std::to_string(outcomes.size());
            outcomes.push_back({ .tryId = tryId, .isRepeatable = target == kRepeatableTarget });
            clients.emplace_back(io, address);
            clients.back().send(requestText(target, tryId));
        }
        runUntil(io, [&clients] {
            return std::all_of(clients.begin(), clients.end(), [](const auto &client) {
                return client.isClosed() || isComplete(client.received());
            });
        });
        std::size_t index = first;
        for (const ScriptedClient &client : clients)
            outcomes[index++].response = client.received();
    }

    // Returns what a request must not have come to, or an empty text.
    std::string violation(const Outcome &outcome)
    {
        const int status = statusOf(outcome.response);
        const unsigned executions = script.executions[outcome.tryId];
        const bool isPromise = status == 503 || status == 429 || status == 421 || status == 408;
        if (!outcome.isRepeatable && executions > 1)
            return "ran " + std::to_string(executions) + " times";
        if (!outcome.isRepeatable && isPromise && executions > 0)
            return "was refused and ran";
        const bool isOwn = outcome.response.find("try " + outcome.tryId + " end")
                           != std::string::npos;
        if ((status == 200 || status == 500) && !isOwn)
            return "got the response to another request";
        return outcome.response.empty() ? "got no response" : "";
    }

    RandomScript script{ numberFromEnvironment("AUBURN_TEST_SEED", 1) };
    std::list<CopyingServer> copyingServers;
    std::vector<Outcome> outcomes;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(copyingServers, CopyingServersFixture)

// Guards against false promises, second executions and mixed responses under any mix of copies,
// ids that callers repeat and servers that are listed under two ids.
BOOST_AUTO_TEST_CASE(servers_copyResponsesAtRandom_noResponseIsWrong)
{
    const unsigned rounds = numberFromEnvironment("AUBURN_TEST_ROUNDS", kRounds);
    for (unsigned i = 0; i < rounds; ++i) {
        fillRetryBudget();
        runRound();
    }
    wait(kMaxRunTime);
    std::map<int, unsigned> statuses;
    for (const Outcome &outcome : outcomes) {
        ++statuses[statusOf(outcome.response)];
        const std::string fault = violation(outcome);
        BOOST_TEST(fault.empty(),
                   "try " << outcome.tryId << " " << fault << ": " << outcome.response);
    }
    BOOST_TEST_MESSAGE("connections " << script.connections << ", copies " << script.copies);
    for (const auto &[status, count] : statuses)
        BOOST_TEST_MESSAGE("status " << status << ": " << count);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::gateway
