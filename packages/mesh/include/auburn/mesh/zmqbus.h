// ZmqBus: the message bus over ZeroMQ with CURVE.
//
// One ROUTER socket is bound at the daemon's peer endpoint; a DEALER for each peer is opened on the
// first message to it. An answer uses the peer's own recent connection if there is one, which
// halves the number of connections and of their heartbeats. Nothing blocks: a message that finds a
// full queue is dropped and counted.
#pragma once

#include "auburn/mesh/bus.h"
#include "auburn/mesh/curvekeys.h"
#include "auburn/mesh/peerdirectory.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace auburn {

struct ZmqBusOptions
{
    std::string daemonId;
    // tcp://IP:PORT to bind; port 0 picks a free one, see ZmqBus::endpoint().
    std::string endpoint;
    CurveKeyPair keys;
    // Public keys of clients and servers that are accepted besides keys.publicKey. During a key
    // rotation this holds the previous or the next fleet key.
    std::vector<std::string> acceptedKeys;
    std::chrono::milliseconds heartbeatInterval{ 1000 };
    std::chrono::milliseconds heartbeatTimeout{ 4000 };
    // A connection without messages in either direction for this long is closed. Every open
    // connection costs an encrypted ping and pong per heartbeat interval.
    std::chrono::milliseconds idleTimeout{ 5000 };
    // Time for connecting and the CURVE handshake before the next accepted key is tried.
    std::chrono::milliseconds handshakeTimeout{ 2000 };
    // Messages queued for the bus thread, and per connection.
    unsigned sendQueueLimit = 10000;
    unsigned connectionQueueLimit = 1000;
    std::size_t maxMessageBytes = 4UL * 1024 * 1024;
};

struct MessageKindTraffic
{
    // Field name of the envelope's body, for example "gossip".
    std::string kind;
    std::uint64_t messagesIn = 0;
    std::uint64_t messagesOut = 0;
    // Size of the serialised envelopes, without framing.
    std::uint64_t bytesIn = 0;
    std::uint64_t bytesOut = 0;
};

struct BusCounters
{
    // Kinds with traffic only.
    std::vector<MessageKindTraffic> kinds;
    std::uint64_t droppedQueueFull = 0;
    std::uint64_t droppedOversized = 0;
    std::uint64_t droppedUnparsable = 0;
    // Envelopes of a kind without a handler.
    std::uint64_t droppedUnhandled = 0;
    // Clients whose key was not accepted.
    std::uint64_t refusedKeys = 0;
    std::uint64_t connectionsOpened = 0;
    std::uint64_t openConnections = 0;
};

class ZmqBus
    : public MessageBus
    , public PeerDirectory
{
public:
    // Null with lastError() set if a key, the id or the endpoint is malformed.
    static std::unique_ptr<ZmqBus> make(ZmqBusOptions options);
    ~ZmqBus() override;

    // Binds the endpoint and starts the bus thread; false with lastError() set on failure.
    bool start();
    // Ends the bus thread and closes all sockets; queued messages are dropped.
    void stop();
    // The bound endpoint with its actual port; valid after start().
    std::string endpoint() const;

    void setPeer(const std::string &daemonId, const std::string &endpoint) override;
    void removePeer(const std::string &daemonId) override;

    // Besides daemons with an endpoint, those that have sent something recently can be answered.
    bool send(const std::string &daemonId, proto::Envelope envelope) override;
    void setHandler(proto::Envelope::BodyCase kind, Handler handler) override;

    BusCounters counters() const;

private:
    class Impl;
    explicit ZmqBus(std::unique_ptr<Impl> impl);

    std::unique_ptr<Impl> impl_;
};

} // namespace auburn
