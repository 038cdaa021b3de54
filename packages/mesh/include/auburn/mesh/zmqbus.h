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

// ZmqBusOptions holds the identity, keys, timeouts and limits of a ZmqBus.
struct ZmqBusOptions
{
    std::string daemonId;
    // Endpoint to bind (tcp://IP:PORT). Port 0 selects a free port, see ZmqBus::endpoint().
    std::string endpoint;
    CurveKeyPair keys;
    // Public keys of clients and servers that are accepted in addition to keys.publicKey. During a
    // key rotation this is the previous or the next fleet key.
    std::vector<std::string> acceptedKeys;
    std::chrono::milliseconds heartbeatInterval{ 1000 };
    std::chrono::milliseconds heartbeatTimeout{ 4000 };
    // A connection without messages in either direction for this long is closed, because every open
    // connection costs an encrypted ping and pong per heartbeat interval.
    std::chrono::milliseconds idleTimeout{ 5000 };
    // Time limit for connecting and the CURVE handshake. After it, the next accepted key is tried.
    std::chrono::milliseconds handshakeTimeout{ 2000 };
    // Maximum number of messages queued for the bus thread and on each connection.
    unsigned sendQueueLimit = 10000;
    unsigned connectionQueueLimit = 1000;
    std::size_t maxMessageBytes = 4UL * 1024 * 1024;
};

// MessageKindTraffic counts the messages of one kind since the bus was created.
struct MessageKindTraffic
{
    // Field name of the envelope's body, for example "gossip".
    std::string kind;
    std::uint64_t messagesIn = 0;
    std::uint64_t messagesOut = 0;
    // Size of the serialised envelopes in bytes, without framing.
    std::uint64_t bytesIn = 0;
    std::uint64_t bytesOut = 0;
};

// BusCounters is a snapshot of the counters of a ZmqBus.
struct BusCounters
{
    // Only kinds with traffic are listed.
    std::vector<MessageKindTraffic> kinds;
    std::uint64_t droppedQueueFull = 0;
    std::uint64_t droppedOversized = 0;
    std::uint64_t droppedUnparsable = 0;
    // Envelopes of a kind without a handler.
    std::uint64_t droppedUnhandled = 0;
    // Connection attempts of clients whose key is not accepted.
    std::uint64_t refusedKeys = 0;
    std::uint64_t connectionsOpened = 0;
    std::uint64_t openConnections = 0;
};

// ZmqBus implements the message bus over ZeroMQ with CURVE encryption and authentication.
//
// One ROUTER socket is bound to the daemon's peer endpoint, and a DEALER socket per peer is opened
// on the first message to it. A message to a peer that has recently sent one over its own
// connection goes back over that connection, which halves the number of connections and their
// heartbeats. No call blocks: a message is dropped and counted if its queue is full.
class ZmqBus
    : public MessageBus
    , public PeerDirectory
{
public:
    // Creates a bus that is not started. Returns null and sets lastError() if a key is malformed,
    // or if the id or the endpoint is empty.
    static std::unique_ptr<ZmqBus> make(ZmqBusOptions options);
    ~ZmqBus() override;

    // Binds the endpoint and starts the bus thread. Returns false and sets lastError() on failure.
    bool start();
    // Stops the bus thread and closes all sockets. Queued messages are dropped.
    void stop();
    // Returns the bound endpoint with its actual port. Valid after start().
    std::string endpoint() const;

    void setPeer(const std::string &daemonId, const std::string &endpoint) override;
    void removePeer(const std::string &daemonId) override;

    // Also accepts daemons without a known endpoint from which a message arrived recently.
    bool send(const std::string &daemonId, proto::Envelope envelope) override;
    void setHandler(proto::Envelope::BodyCase kind, Handler handler) override;

    BusCounters counters() const;

private:
    class Impl;
    explicit ZmqBus(std::unique_ptr<Impl> impl);

    std::unique_ptr<Impl> impl_;
};

} // namespace auburn
