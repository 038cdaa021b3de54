// State of ZmqBus. The bus thread uses all sockets; other threads only queue messages and changes
// of endpoints.
#pragma once

#include "auburn/mesh/zmqbus.h"

#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <sys/eventfd.h>
#include <thread>
#include <unistd.h>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>
#include <zmq.hpp>

namespace auburn {

class ZmqBus::Impl
{
public:
    explicit Impl(ZmqBusOptions options)
        : options_(std::move(options))
        , context_(1)
        , wakeFd_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
    {
        acceptedKeys_.push_back(options_.keys.publicKey);
        for (const std::string &key : options_.acceptedKeys) {
            if (key != options_.keys.publicKey)
                acceptedKeys_.push_back(key);
        }
    }

    ~Impl()
    {
        stop();
        ::close(wakeFd_);
    }

    bool start();
    void stop();
    std::string endpoint() const;
    void setPeer(const std::string &daemonId, const std::string &endpoint);
    void removePeer(const std::string &daemonId);
    bool send(const std::string &daemonId, proto::Envelope envelope);
    BusCounters counters() const;

    void setHandler(std::size_t kind, Handler handler)
    {
        handlers_[kind % kMaxMessageKinds] = std::move(handler);
    }

private:
    using Clock = std::chrono::steady_clock;

    // Upper bound of the field numbers in Envelope.body, which index the handlers and counters.
    static constexpr std::size_t kMaxMessageKinds = 64;
    // Interval of the checks for idle connections, handshake timeouts and expired routes.
    static constexpr std::chrono::milliseconds kMaintenanceInterval{ 500 };
    // An incoming connection is used for sending only if a message arrived on it within this time;
    // an idle one may be broken.
    static constexpr std::chrono::milliseconds kRouteLifetime{ 3000 };

    // Counters of one message kind, written by the bus thread and read by any thread.
    struct AtomicTrafficCounters
    {
        std::atomic<std::uint64_t> messagesIn{ 0 };
        std::atomic<std::uint64_t> messagesOut{ 0 };
        std::atomic<std::uint64_t> bytesIn{ 0 };
        std::atomic<std::uint64_t> bytesOut{ 0 };
    };

    // A serialised envelope that waits for the bus thread.
    struct OutgoingMessage
    {
        std::string daemonId;
        std::string payload;
        std::size_t kind = 0;
    };

    // An outgoing connection to a peer.
    struct Connection
    {
        zmq::socket_t dealer;
        zmq::socket_t monitor;
        Clock::time_point openedAt;
        Clock::time_point lastUsed;
        // True from a completed CURVE handshake until the connection is lost.
        bool established = false;
    };

    // A daemon with a known endpoint and the connection to it, which is null until it is needed.
    struct Peer
    {
        std::string endpoint;
        std::unique_ptr<Connection> connection;
        // Index in acceptedKeys_ of the server key that the next connection expects.
        std::size_t keyIndex = 0;
    };

    // A connection that a peer opened to the ROUTER socket.
    struct Route
    {
        std::string routingId;
        Clock::time_point lastReceived;
    };

    void run();
    void wake() const;
    void poll(std::chrono::milliseconds timeout);
    void bindSockets();
    void applyCommonOptions(zmq::socket_t &socket) const;
    void applyEndpointChanges();
    void sendQueued();
    void transmit(const OutgoingMessage &message);
    bool sendByRoute(const OutgoingMessage &message);
    Connection *connectionTo(const std::string &daemonId);
    void openConnection(Peer &peer);
    void closeConnection(Peer &peer);
    void receiveFromRouter();
    void receiveFromDealer(const std::string &daemonId, Connection &connection);
    void handlePayload(const zmq::message_t &payload, const std::string *routingId);
    void updateRoute(const std::string &sender, const std::string &routingId);
    void removeRoute(const std::string &daemonId);
    void handleZapRequest();
    void handleMonitorEvents(Peer &peer);
    void runMaintenance();

    const ZmqBusOptions options_;
    std::array<Handler, kMaxMessageKinds> handlers_;
    std::vector<std::string> acceptedKeys_;
    zmq::context_t context_;
    int wakeFd_;
    zmq::socket_t router_;
    zmq::socket_t zap_;
    std::thread thread_;
    std::atomic<bool> running_{ false };

    mutable std::mutex mutex_;
    // Guarded by mutex_: endpoints by daemon id, pending changes (an empty endpoint removes the
    // peer) and queued messages.
    std::unordered_map<std::string, std::string> endpoints_;
    std::unordered_map<std::string, std::string> endpointChanges_;
    std::deque<OutgoingMessage> queue_;
    // Daemons with an entry in routes_, for send().
    std::unordered_set<std::string> routableDaemons_;
    std::string boundEndpoint_;

    // Used by the bus thread only.
    std::unordered_map<std::string, Peer> peers_;
    std::unordered_map<std::string, Route> routes_;
    Clock::time_point nextMaintenance_;

    std::array<AtomicTrafficCounters, kMaxMessageKinds> traffic_;
    std::atomic<std::uint64_t> droppedQueueFull_{ 0 };
    std::atomic<std::uint64_t> droppedOversized_{ 0 };
    std::atomic<std::uint64_t> droppedUnparsable_{ 0 };
    std::atomic<std::uint64_t> droppedUnhandled_{ 0 };
    std::atomic<std::uint64_t> refusedKeys_{ 0 };
    std::atomic<std::uint64_t> connectionsOpened_{ 0 };
    std::atomic<std::uint64_t> openConnections_{ 0 };
};

} // namespace auburn
