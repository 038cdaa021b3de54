#include "auburn/core/lasterror.h"
#include "controlserver.h"
#include "faultproxy.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <thread>

namespace auburn::standins {

namespace {

namespace asio = boost::asio;

// Answers every byte with the same byte and keeps what it has received.
class EchoTarget
{
public:
    explicit EchoTarget(asio::io_context &context)
        : acceptor_(context, { asio::ip::make_address("127.0.0.1"), 0 })
    {
        accept();
    }

    Tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }
    const std::string &received() const { return received_; }

private:
    struct Peer
    {
        explicit Peer(Tcp::socket accepted)
            : socket(std::move(accepted))
        {}
        Tcp::socket socket;
        std::array<char, 65536> buffer{};
    };

    void accept()
    {
        acceptor_.async_accept([this](const auto &error, Tcp::socket socket) {
            if (error)
                return;
            read(std::make_shared<Peer>(std::move(socket)));
            accept();
        });
    }

    void read(const std::shared_ptr<Peer> &peer)
    {
        peer->socket.async_read_some(
                asio::buffer(peer->buffer), [this, peer](const auto &error, std::size_t size) {
                    if (error)
                        return;
                    received_.append(peer->buffer.data(), size);
                    asio::async_write(peer->socket, asio::buffer(peer->buffer.data(), size),
                                      [this, peer](const auto &failed, std::size_t) {
                                          if (!failed)
                                              read(peer);
                                      });
                });
    }

    Tcp::acceptor acceptor_;
    std::string received_;
};

// A client that collects what it gets. The state is shared with the pending read, which outlives a
// client that a test destroys.
class Client
{
public:
    Client(asio::io_context &context, const Tcp::endpoint &endpoint)
        : state_(std::make_shared<State>(context))
    {
        state_->socket.connect(endpoint);
        read(state_);
    }

    void send(const std::string &text) { asio::write(state_->socket, asio::buffer(text)); }
    void shutdown() { state_->socket.shutdown(Tcp::socket::shutdown_send); }
    const std::string &received() const { return state_->received; }
    bool ended() const { return state_->ended; }

private:
    struct State
    {
        explicit State(asio::io_context &context)
            : socket(context)
        {}
        Tcp::socket socket;
        std::array<char, 65536> buffer{};
        std::string received;
        bool ended = false;
    };

    static void read(const std::shared_ptr<State> &state)
    {
        state->socket.async_read_some(asio::buffer(state->buffer),
                                      [state](const auto &error, std::size_t size) {
                                          state->received.append(state->buffer.data(), size);
                                          state->ended = static_cast<bool>(error);
                                          if (!state->ended)
                                              read(state);
                                      });
    }

    std::shared_ptr<State> state_;
};

struct Fixture
{
    asio::io_context context;
    EchoTarget target{ context };
    FaultProxy proxy{ context };
    std::shared_ptr<Route> route = add("a/link");
    std::shared_ptr<Route> other = add("b/link/rest");

    std::shared_ptr<Route> add(const std::string &name)
    {
        return proxy.addRoute(name + "@127.0.0.1:0=" + endpointText(target.endpoint()));
    }

    std::unique_ptr<Client> connect()
    {
        return std::make_unique<Client>(context, route->listenEndpoint());
    }

    // Runs the sockets until the condition holds; gives up after 20 s.
    bool runUntil(const std::function<bool()> &condition)
    {
        const auto giveUp = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        context.restart();
        while (!condition() && std::chrono::steady_clock::now() < giveUp)
            context.run_one_for(std::chrono::milliseconds(50));
        return condition();
    }

    // True if the client's text comes back.
    bool echoes(Client &client, const std::string &text)
    {
        const std::string wanted = client.received() + text;
        client.send(text);
        return runUntil([&] { return client.received() == wanted; });
    }

    // True if a fresh connection through another route works, which takes several rounds of the
    // event loop: whatever else was ready has been handled by then.
    bool othersWork()
    {
        Client client(context, other->listenEndpoint());
        return echoes(client, "other");
    }

    ControlReply control(const std::string &body) { return proxy.handle("POST", "/control", body); }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(faultproxy, Fixture)

// Guards against a proxy that changes, loses or reorders bytes, or hides the end of a stream.
BOOST_AUTO_TEST_CASE(forward_largeTransferAndEnd_areUnchanged)
{
    const auto client = connect();
    std::string text;
    for (int i = 0; i < 100000; ++i)
        text += std::to_string(i) + ' ';
    BOOST_TEST(control(R"({"match":"a","delay_ms":5,"bandwidth":50000000})").status == 200U);
    for (std::size_t at = 0; at < text.size(); at += 50000) {
        client->send(text.substr(at, 50000));
        context.poll();
    }
    client->shutdown();
    BOOST_TEST(runUntil([&] { return client->ended(); }));
    BOOST_TEST((client->received() == text));
}

// Guards against a delay that does not hold bytes back.
BOOST_AUTO_TEST_CASE(delay_set_holdsBytesBack)
{
    const auto client = connect();
    BOOST_TEST(echoes(*client, "x"));
    control(R"({"match":"a","delay_ms":600000})");
    client->send("late");
    BOOST_TEST(othersWork());
    BOOST_TEST(client->received() == "x");
}

// Guards against a one-way cut that also stops the other way, and against bytes lost by a cut.
BOOST_AUTO_TEST_CASE(cut_toClient_holdsAnswersUntilHealed)
{
    const auto client = connect();
    BOOST_TEST(echoes(*client, "x"));
    control(R"({"match":"a","cut":"to_client"})");
    client->send("held");
    BOOST_TEST(runUntil([&] { return target.received() == "xheld"; }));
    BOOST_TEST(othersWork());
    BOOST_TEST(client->received() == "x");
    control(R"({"match":"a","cut":"none"})");
    BOOST_TEST(runUntil([&] { return client->received() == "xheld"; }));
}

// Guards against a cut that new connections get around.
BOOST_AUTO_TEST_CASE(cut_both_stopsNewConnections)
{
    control(R"({"match":"a","cut":"both"})");
    const auto client = connect();
    client->send("held");
    BOOST_TEST(othersWork());
    BOOST_TEST(target.received() == "other");
    control(R"({"match":"a","reset_faults":true})");
    BOOST_TEST(runUntil([&] { return client->received() == "held"; }));
}

// Guards against a silent connection that is closed or recovers, and against silence of new ones.
BOOST_AUTO_TEST_CASE(silence_existing_newConnectionsWork)
{
    const auto client = connect();
    BOOST_TEST(echoes(*client, "x"));
    control(R"({"match":"a","silence":true})");
    client->send("lost");
    const auto fresh = connect();
    BOOST_TEST(echoes(*fresh, "fresh"));
    control(R"({"match":"a","reset_faults":true})");
    BOOST_TEST(othersWork());
    BOOST_TEST(client->received() == "x");
    BOOST_TEST(!client->ended());
    BOOST_TEST(route->silentConnections() == 1U);
}

// Guards against a dropped answer whose request never reached the target, and against dropping
// more answers than asked for.
BOOST_AUTO_TEST_CASE(dropAnswers_one_requestWentThrough)
{
    control(R"({"match":"a","drop_answers":1})");
    const auto client = connect();
    client->send("request");
    BOOST_TEST(runUntil([&] { return client->ended(); }));
    BOOST_TEST(client->received().empty());
    BOOST_TEST(target.received() == "request");
    const auto next = connect();
    BOOST_TEST(echoes(*next, "again"));
}

// Guards against a dropped answer that closes the connection although silence was asked for.
BOOST_AUTO_TEST_CASE(dropAnswers_thenSilent_keepsConnectionOpen)
{
    const auto client = connect();
    BOOST_TEST(echoes(*client, "x"));
    control(R"({"match":"a","drop_answers":1,"drop_then":"silent"})");
    client->send("request");
    BOOST_TEST(runUntil([&] { return route->silentConnections() == 1; }));
    BOOST_TEST(othersWork());
    BOOST_TEST(!client->ended());
    BOOST_TEST(client->received() == "x");
}

// Guards against connections that stay open after "close", and new ones that pass "refuse".
BOOST_AUTO_TEST_CASE(closeAndRefuse_group_endConnections)
{
    const auto client = connect();
    BOOST_TEST(echoes(*client, "x"));
    control(R"({"match":"link","reset":true,"refuse":true})");
    BOOST_TEST(runUntil([&] { return client->ended(); }));
    const auto next = connect();
    BOOST_TEST(runUntil([&] { return next->ended(); }));
    BOOST_TEST(other->state().faults.refuse);
}

// Guards against a proxy that accepts connections while it should refuse them, or never listens
// again.
BOOST_AUTO_TEST_CASE(setListening_offAndOn_refusesAndServes)
{
    const auto client = connect();
    BOOST_TEST(echoes(*client, "x"));
    const Tcp::endpoint endpoint = route->listenEndpoint();
    BOOST_TEST(route->setListening(false));
    boost::system::error_code error;
    Tcp::socket socket(context);
    socket.connect(endpoint, error);
    BOOST_TEST((error == asio::error::connection_refused));
    BOOST_TEST(echoes(*client, "y"));
    BOOST_TEST(route->setListening(true));
    BOOST_TEST((route->listenEndpoint() == endpoint));
    const auto next = connect();
    BOOST_TEST(echoes(*next, "z"));
}

// Guards against a bandwidth limit that passes a burst at once.
BOOST_AUTO_TEST_CASE(bandwidth_low_holdsBytesBack)
{
    const auto client = connect();
    BOOST_TEST(echoes(*client, "x"));
    control(R"({"match":"a","bandwidth":1})");
    client->send(std::string(100000, 'y'));
    BOOST_TEST(othersWork());
    BOOST_TEST(client->received() == "x");
}

// Guards against control requests that are half applied or silently ignored.
BOOST_AUTO_TEST_CASE(control_mistakes_changeNothing)
{
    for (const std::string body :
         { "", "[]", R"({"match":"*","delay_ms":5,"cut":"up"})", R"({"match":"*","delay_ms":-1})",
           R"({"match":"*","delay_ms":5,"speed":1})", R"({"match":"*","refuse":1})" })
        BOOST_TEST(control(body).status == 400U, body);
    BOOST_TEST(control(R"({"match":"none","delay_ms":5})").status == 404U);
    BOOST_TEST(route->state().faults.delay.count() == 0);
    BOOST_TEST(proxy.handle("GET", "/nothing", "").status == 404U);
    for (const std::string text : { "a@127.0.0.1:0=127.0.0.1:1", "x@10.0.0.1:0=127.0.0.1:1",
                                    "x@127.0.0.1:0=10.0.0.1:1", "x@127.0.0.1:0", "x", "" })
        BOOST_TEST(!proxy.addRoute(text), text);
}

// Guards against a control interface that does not work over HTTP.
BOOST_AUTO_TEST_CASE(controlServer_http_answersJson)
{
    const auto server = ControlServer::make(context, proxy,
                                            { asio::ip::make_address("127.0.0.1"), 0 });
    BOOST_REQUIRE(server);
    Client client(context, server->listenEndpoint());
    const std::string body = R"({"match":"link","delay_ms":7})";
    client.send("POST /control HTTP/1.1\r\nHost: x\r\nContent-Length: "
                + std::to_string(body.size()) + "\r\n\r\n" + body);
    BOOST_TEST(runUntil([&] { return client.ended(); }));
    const std::size_t start = client.received().find("\r\n\r\n");
    BOOST_REQUIRE(start != std::string::npos);
    BOOST_TEST(client.received().starts_with("HTTP/1.1 200"));
    const auto json = QByteArray::fromStdString(client.received().substr(start));
    const QJsonArray routes = QJsonDocument::fromJson(json).object()["routes"].toArray();
    BOOST_REQUIRE(routes.size() == 2);
    BOOST_TEST(routes[1].toObject()["delay_ms"].toInt() == 7);
    BOOST_TEST(route->state().faults.delay.count() == 7);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::standins
