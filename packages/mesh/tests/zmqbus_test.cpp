#include "auburn/mesh/zmqbus.h"

#include "auburn/core/lasterror.h"

#include <arpa/inet.h>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <mutex>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <zmq.hpp>

namespace auburn {

namespace {

using namespace std::chrono_literals;

// Waits until the condition holds. The time limit only ends a test that has failed.
bool waitFor(const std::function<bool()> &condition)
{
    const auto end = std::chrono::steady_clock::now() + 30s;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(5ms);
    }
    return true;
}

proto::Envelope envelopeOf(const std::string &requestId)
{
    proto::Envelope envelope;
    envelope.mutable_slot_ack()->set_request_id(requestId);
    return envelope;
}

// RecordingBus runs a bus and records the request ids that it receives.
class RecordingBus
{
public:
    RecordingBus(const std::string &id, const CurveKeyPair &keys,
                 std::vector<std::string> acceptedKeys = {},
                 const std::string &endpoint = "tcp://127.0.0.1:0")
        : bus(ZmqBus::make(ZmqBusOptions{ .daemonId = id,
                                          .endpoint = endpoint,
                                          .keys = keys,
                                          .acceptedKeys = std::move(acceptedKeys),
                                          .heartbeatInterval = 100ms,
                                          .heartbeatTimeout = 400ms,
                                          .idleTimeout = 1000ms,
                                          .handshakeTimeout = 500ms,
                                          .connectionQueueLimit = 50,
                                          .maxMessageBytes = 10000 }))
    {
        bus->setHandler(proto::Envelope::kSlotAck,
                        [this](const std::string &sender, const proto::Envelope &envelope) {
                            const std::lock_guard lock(mutex_);
                            received_.emplace_back(sender, envelope.slot_ack().request_id());
                        });
        BOOST_REQUIRE(bus->start());
    }

    bool hasReceived(const std::string &sender, const std::string &requestId)
    {
        const std::lock_guard lock(mutex_);
        return std::find(received_.begin(), received_.end(), std::pair(sender, requestId))
               != received_.end();
    }

private:
    std::mutex mutex_;
    std::vector<std::pair<std::string, std::string>> received_;

public:
    // Destroyed first, because its thread calls the handler, which uses the members above.
    std::unique_ptr<ZmqBus> bus;
};

// Sends repeatedly until the message arrives, because delivery is not guaranteed while a connection
// is being established.
bool sendUntilReceived(RecordingBus &from, const std::string &fromId, RecordingBus &to,
                       const std::string &toId, const std::string &text)
{
    return waitFor([&] {
        from.bus->send(toId, envelopeOf(text));
        return to.hasReceived(fromId, text);
    });
}

class BusFixture
{
protected:
    const CurveKeyPair keys_ = makeCurveKeyPair().value();
    const CurveKeyPair otherKeys_ = makeCurveKeyPair().value();
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(zmqbus, BusFixture)

// Guards against replies that fail because gossip has not delivered the sender's endpoint yet.
BOOST_AUTO_TEST_CASE(send_toSenderWithoutEndpoint_usesItsConnection)
{
    RecordingBus a("a", keys_);
    RecordingBus b("b", keys_);
    a.bus->setPeer("b", b.bus->endpoint());
    BOOST_TEST(!b.bus->send("a", envelopeOf("early")));
    BOOST_TEST(lastError().find("no endpoint") != std::string::npos);
    BOOST_REQUIRE(a.bus->send("b", envelopeOf("question")));
    BOOST_REQUIRE(waitFor([&] { return b.hasReceived("a", "question"); }));
    BOOST_REQUIRE(b.bus->send("a", envelopeOf("answer")));
    BOOST_TEST(waitFor([&] { return a.hasReceived("b", "answer"); }));
    BOOST_TEST(b.bus->counters().connectionsOpened == 0);
    const BusCounters counters = a.bus->counters();
    BOOST_REQUIRE(counters.kinds.size() == 1);
    BOOST_TEST(counters.kinds[0].kind == "slot_ack");
    BOOST_TEST(counters.kinds[0].messagesOut == 1);
    BOOST_TEST(counters.kinds[0].bytesIn > 0);
}

// Guards against a server that accepts any client that knows its public key.
BOOST_AUTO_TEST_CASE(connect_keyNotAccepted_isRefused)
{
    RecordingBus server("server", keys_);
    RecordingBus untrusted("untrusted", otherKeys_, { keys_.publicKey });
    untrusted.bus->setPeer("server", server.bus->endpoint());
    BOOST_TEST(waitFor([&] {
        untrusted.bus->send("server", envelopeOf("x"));
        return server.bus->counters().refusedKeys >= 2;
    }));
    BOOST_TEST(server.bus->counters().kinds.empty());
}

// Guards against a key rotation in which daemons with the old and the new fleet key cannot connect.
BOOST_AUTO_TEST_CASE(connect_keysRotated_bothDirectionsWork)
{
    RecordingBus oldKey("old", keys_, { otherKeys_.publicKey });
    RecordingBus newKey("new", otherKeys_, { keys_.publicKey });
    oldKey.bus->setPeer("new", newKey.bus->endpoint());
    newKey.bus->setPeer("old", oldKey.bus->endpoint());
    BOOST_TEST(sendUntilReceived(oldKey, "old", newKey, "new", "1"));
    BOOST_TEST(sendUntilReceived(newKey, "new", oldKey, "old", "2"));
}

// Guards against a peer that accepts connections but never sends data and thereby blocks the
// others.
BOOST_AUTO_TEST_CASE(send_unresponsivePeer_doesNotBlockOthers)
{
    const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    BOOST_REQUIRE(::bind(listener, reinterpret_cast<sockaddr *>(&address), length) == 0);
    BOOST_REQUIRE(::listen(listener, 16) == 0);
    ::getsockname(listener, reinterpret_cast<sockaddr *>(&address), &length);

    RecordingBus a("a", keys_);
    RecordingBus b("b", keys_);
    a.bus->setPeer("silent", "tcp://127.0.0.1:" + std::to_string(ntohs(address.sin_port)));
    a.bus->setPeer("b", b.bus->endpoint());
    for (int i = 0; i < 500; ++i)
        BOOST_REQUIRE(a.bus->send("silent", envelopeOf(std::to_string(i))));
    BOOST_TEST(sendUntilReceived(a, "a", b, "b", "still"));
    BOOST_TEST(waitFor([&] { return a.bus->counters().droppedQueueFull >= 400; }));
    BOOST_TEST(waitFor([&] { return a.bus->counters().openConnections <= 1; }));
    ::close(listener);
}

// Guards against a connection that is not re-established after the peer process has been replaced.
BOOST_AUTO_TEST_CASE(send_peerRestartsAtSameEndpoint_reconnects)
{
    RecordingBus a("a", keys_);
    auto b = std::make_unique<RecordingBus>("b", keys_);
    const std::string endpoint = b->bus->endpoint();
    a.bus->setPeer("b", endpoint);
    BOOST_REQUIRE(sendUntilReceived(a, "a", *b, "b", "first"));
    b = nullptr;
    b = std::make_unique<RecordingBus>("b", keys_, std::vector<std::string>{}, endpoint);
    BOOST_TEST(sendUntilReceived(a, "a", *b, "b", "second"));
}

// Guards against idle connections whose heartbeats cost more than the gossip itself.
BOOST_AUTO_TEST_CASE(connection_idle_isClosedAndReopened)
{
    RecordingBus a("a", keys_);
    RecordingBus b("b", keys_);
    a.bus->setPeer("b", b.bus->endpoint());
    BOOST_REQUIRE(sendUntilReceived(a, "a", b, "b", "first"));
    BOOST_TEST(waitFor([&] { return a.bus->counters().openConnections == 0; }));
    BOOST_TEST(sendUntilReceived(a, "a", b, "b", "second"));
    BOOST_TEST(a.bus->counters().connectionsOpened == 2);
}

// Guards against messages that exhaust memory or crash the bus thread.
BOOST_AUTO_TEST_CASE(receive_oversizedOrMalformed_isDroppedAndCounted)
{
    RecordingBus a("a", keys_);
    a.bus->setPeer("b", "tcp://127.0.0.1:1");
    BOOST_TEST(!a.bus->send("b", envelopeOf(std::string(20000, 'x'))));
    BOOST_TEST(a.bus->counters().droppedOversized == 1);

    zmq::context_t context;
    zmq::socket_t raw(context, zmq::socket_type::dealer);
    raw.set(zmq::sockopt::linger, 0);
    raw.set(zmq::sockopt::curve_serverkey, keys_.publicKey);
    raw.set(zmq::sockopt::curve_publickey, keys_.publicKey);
    raw.set(zmq::sockopt::curve_secretkey, keys_.secretKey);
    raw.connect(a.bus->endpoint());
    raw.send(zmq::str_buffer("\xff\xff\xff"), zmq::send_flags::none);
    raw.send(zmq::str_buffer("part"), zmq::send_flags::sndmore);
    raw.send(zmq::str_buffer("part"), zmq::send_flags::none);
    raw.send(zmq::message_t(15000), zmq::send_flags::none);
    BOOST_TEST(waitFor([&] {
        const BusCounters counters = a.bus->counters();
        return counters.droppedUnparsable == 2 && counters.droppedOversized == 2;
    }));
}

// Guards against a bus that starts with a malformed key and then rejects all connections.
BOOST_AUTO_TEST_CASE(make_malformedKey_fails)
{
    BOOST_TEST(!ZmqBus::make(ZmqBusOptions{ .daemonId = "a",
                                            .endpoint = "tcp://127.0.0.1:0",
                                            .keys = { .publicKey = "short", .secretKey = "x" } }));
    BOOST_TEST(!lastError().empty());
    BOOST_TEST(parseCurveKey("  " + keys_.publicKey + "\n").value() == keys_.publicKey);
    BOOST_TEST(!parseCurveKey(std::string(40, '"')));
    BOOST_TEST(curvePublicKey(keys_.secretKey).value() == keys_.publicKey);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn
