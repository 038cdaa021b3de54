#include "auburn/mesh/zmqbus.h"

#include "auburn/core/lasterror.h"
#include "auburn/core/log.h"
#include "auburn/proto/parsemessage.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <deque>
#include <mutex>
#include <sys/eventfd.h>
#include <thread>
#include <unistd.h>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <zmq.hpp>

namespace auburn {

namespace {

using Clock = std::chrono::steady_clock;

// Upper bound of the field numbers in Envelope.body, which index the handlers and counters.
constexpr std::size_t kMaxMessageKinds = 64;
constexpr auto kZapEndpoint = "inproc://zeromq.zap.01";
// Interval of the checks for idle connections, handshake timeouts and expired routes.
constexpr std::chrono::milliseconds kMaintenanceInterval{ 500 };
constexpr std::chrono::milliseconds kReconnectInterval{ 100 };
constexpr std::chrono::milliseconds kMaxReconnectInterval{ 1000 };
// Maximum number of messages read from one socket at a time, so that a busy socket does not delay
// the others.
constexpr int kMaxReceiveBatch = 64;
// An incoming connection is used for sending only if a message arrived on it within this time; an
// idle one may be broken.
constexpr std::chrono::milliseconds kRouteLifetime{ 3000 };

int toIntMilliseconds(std::chrono::milliseconds value)
{
    return static_cast<int>(value.count());
}

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

std::string kindName(std::size_t kind)
{
    const auto *field = proto::Envelope::descriptor()->FindFieldByNumber(static_cast<int>(kind));
    return field == nullptr ? std::string("unknown") : field->name();
}

} // namespace

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

bool ZmqBus::Impl::start()
{
    if (running_)
        return true;
    try {
        bindSockets();
    } catch (const zmq::error_t &error) {
        router_.close();
        zap_.close();
        setLastError("cannot bind " + options_.endpoint + ": " + error.what());
        return false;
    }
    running_ = true;
    thread_ = std::thread([this] { run(); });
    return true;
}

void ZmqBus::Impl::bindSockets()
{
    // The ZAP handler must exist before the first connection arrives.
    zap_ = zmq::socket_t(context_, zmq::socket_type::rep);
    zap_.set(zmq::sockopt::linger, 0);
    zap_.bind(kZapEndpoint);
    router_ = zmq::socket_t(context_, zmq::socket_type::router);
    applyCommonOptions(router_);
    router_.set(zmq::sockopt::curve_server, true);
    router_.set(zmq::sockopt::curve_secretkey, options_.keys.secretKey);
    router_.set(zmq::sockopt::zap_domain, "auburn");
    router_.set(zmq::sockopt::router_mandatory, true);
    router_.bind(options_.endpoint);
    const std::lock_guard lock(mutex_);
    boundEndpoint_ = router_.get(zmq::sockopt::last_endpoint);
}

// Sets the options of both socket types. Heartbeats are not among them: only the connecting side
// sends them, and the time to live in each ping makes the bound side close an unresponsive
// connection as well.
void ZmqBus::Impl::applyCommonOptions(zmq::socket_t &socket) const
{
    const int queueLimit = static_cast<int>(options_.connectionQueueLimit);
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::sndhwm, queueLimit);
    socket.set(zmq::sockopt::rcvhwm, queueLimit);
    // libzmq drops the connection above this limit, which bounds memory. A message between
    // maxMessageBytes and this limit is received and counted as oversized.
    socket.set(zmq::sockopt::maxmsgsize, static_cast<std::int64_t>(2 * options_.maxMessageBytes));
}

void ZmqBus::Impl::stop()
{
    if (!running_.exchange(false))
        return;
    wake();
    thread_.join();
    for (auto &entry : peers_)
        closeConnection(entry.second);
    peers_.clear();
    routes_.clear();
    router_.close();
    zap_.close();
}

std::string ZmqBus::Impl::endpoint() const
{
    const std::lock_guard lock(mutex_);
    return boundEndpoint_;
}

void ZmqBus::Impl::wake() const
{
    const std::uint64_t one = 1;
    [[maybe_unused]] const ssize_t written = ::write(wakeFd_, &one, sizeof(one));
}

void ZmqBus::Impl::setPeer(const std::string &daemonId, const std::string &endpoint)
{
    const std::lock_guard lock(mutex_);
    std::string &known = endpoints_[daemonId];
    if (known == endpoint)
        return;
    known = endpoint;
    endpointChanges_[daemonId] = endpoint;
}

void ZmqBus::Impl::removePeer(const std::string &daemonId)
{
    const std::lock_guard lock(mutex_);
    if (endpoints_.erase(daemonId) > 0)
        endpointChanges_[daemonId] = std::string();
}

bool ZmqBus::Impl::send(const std::string &daemonId, proto::Envelope envelope)
{
    const auto kind = static_cast<std::size_t>(envelope.body_case());
    envelope.set_sender(options_.daemonId);
    OutgoingMessage message{ .daemonId = daemonId,
                             .payload = envelope.SerializeAsString(),
                             .kind = kind };
    if (message.payload.size() > options_.maxMessageBytes) {
        ++droppedOversized_;
        setLastError("message of " + std::to_string(message.payload.size())
                     + " bytes exceeds the size limit");
        return false;
    }
    bool wasEmpty = false;
    {
        const std::lock_guard lock(mutex_);
        if (!endpoints_.contains(daemonId) && !routableDaemons_.contains(daemonId)) {
            setLastError("no endpoint is known for daemon " + daemonId);
            return false;
        }
        if (queue_.size() >= options_.sendQueueLimit) {
            ++droppedQueueFull_;
            return true;
        }
        wasEmpty = queue_.empty();
        queue_.push_back(std::move(message));
    }
    if (wasEmpty)
        wake();
    return true;
}

void ZmqBus::Impl::run()
{
    nextMaintenance_ = Clock::now() + kMaintenanceInterval;
    while (running_) {
        const auto wait = std::chrono::ceil<std::chrono::milliseconds>(nextMaintenance_
                                                                       - Clock::now());
        try {
            poll(std::max(wait, std::chrono::milliseconds(0)));
            applyEndpointChanges();
            sendQueued();
            if (Clock::now() >= nextMaintenance_)
                runMaintenance();
        } catch (const zmq::error_t &error) {
            logEvent(LogLevel::Error, "bus_error", { { "reason", error.what() } });
        }
    }
}

void ZmqBus::Impl::poll(std::chrono::milliseconds timeout)
{
    std::vector<zmq::pollitem_t> items{
        { nullptr, wakeFd_, ZMQ_POLLIN, 0 },
        { router_.handle(), 0, ZMQ_POLLIN, 0 },
        { zap_.handle(), 0, ZMQ_POLLIN, 0 },
    };
    const std::size_t fixed = items.size();
    std::vector<std::pair<const std::string *, Peer *>> polled;
    for (auto &[daemonId, peer] : peers_) {
        if (!peer.connection)
            continue;
        polled.emplace_back(&daemonId, &peer);
        items.push_back({ peer.connection->dealer.handle(), 0, ZMQ_POLLIN, 0 });
        items.push_back({ peer.connection->monitor.handle(), 0, ZMQ_POLLIN, 0 });
    }
    if (zmq::poll(items, timeout) == 0)
        return;
    if ((items[0].revents & ZMQ_POLLIN) != 0) {
        std::uint64_t count = 0;
        [[maybe_unused]] const ssize_t bytesRead = ::read(wakeFd_, &count, sizeof(count));
    }
    if ((items[2].revents & ZMQ_POLLIN) != 0)
        handleZapRequest();
    if ((items[1].revents & ZMQ_POLLIN) != 0)
        receiveFromRouter();
    for (std::size_t i = 0; i < polled.size(); ++i) {
        Peer &peer = *polled[i].second;
        if ((items[fixed + 2 * i].revents & ZMQ_POLLIN) != 0)
            receiveFromDealer(*polled[i].first, *peer.connection);
        if ((items[fixed + 2 * i + 1].revents & ZMQ_POLLIN) != 0)
            handleMonitorEvents(peer);
    }
}

void ZmqBus::Impl::applyEndpointChanges()
{
    std::unordered_map<std::string, std::string> changes;
    {
        const std::lock_guard lock(mutex_);
        changes.swap(endpointChanges_);
    }
    for (const auto &[daemonId, endpoint] : changes) {
        removeRoute(daemonId);
        Peer &peer = peers_[daemonId];
        closeConnection(peer);
        if (endpoint.empty())
            peers_.erase(daemonId);
        else
            peer.endpoint = endpoint;
    }
}

void ZmqBus::Impl::sendQueued()
{
    std::deque<OutgoingMessage> messages;
    {
        const std::lock_guard lock(mutex_);
        messages.swap(queue_);
    }
    for (const OutgoingMessage &message : messages)
        transmit(message);
}

void ZmqBus::Impl::transmit(const OutgoingMessage &message)
{
    if (!sendByRoute(message)) {
        Connection *connection = connectionTo(message.daemonId);
        if (connection == nullptr)
            return;
        connection->lastUsed = Clock::now();
        if (!connection->dealer.send(zmq::buffer(message.payload), zmq::send_flags::dontwait)) {
            ++droppedQueueFull_;
            return;
        }
    }
    AtomicTrafficCounters &traffic = traffic_[message.kind % kMaxMessageKinds];
    ++traffic.messagesOut;
    traffic.bytesOut += message.payload.size();
}

// Sends over the connection that the peer opened. Returns false if there is none that is usable, or
// if this daemon has a connection of its own to the peer.
bool ZmqBus::Impl::sendByRoute(const OutgoingMessage &message)
{
    const auto peer = peers_.find(message.daemonId);
    if (peer != peers_.end() && peer->second.connection)
        return false;
    const auto route = routes_.find(message.daemonId);
    if (route == routes_.end() || Clock::now() - route->second.lastReceived > kRouteLifetime)
        return false;
    try {
        const auto flags = zmq::send_flags::dontwait;
        if (!router_.send(zmq::buffer(route->second.routingId), flags | zmq::send_flags::sndmore))
            return false;
        router_.send(zmq::buffer(message.payload), flags);
        return true;
    } catch (const zmq::error_t &) {
        // The peer has disconnected.
        removeRoute(message.daemonId);
        return false;
    }
}

Connection *ZmqBus::Impl::connectionTo(const std::string &daemonId)
{
    const auto found = peers_.find(daemonId);
    if (found == peers_.end())
        return nullptr;
    Peer &peer = found->second;
    if (!peer.connection)
        openConnection(peer);
    return peer.connection.get();
}

void ZmqBus::Impl::openConnection(Peer &peer)
{
    auto connection = std::make_unique<Connection>();
    connection->openedAt = Clock::now();
    connection->lastUsed = connection->openedAt;
    connection->dealer = zmq::socket_t(context_, zmq::socket_type::dealer);
    zmq::socket_t &dealer = connection->dealer;
    applyCommonOptions(dealer);
    dealer.set(zmq::sockopt::heartbeat_ivl, toIntMilliseconds(options_.heartbeatInterval));
    dealer.set(zmq::sockopt::heartbeat_timeout, toIntMilliseconds(options_.heartbeatTimeout));
    dealer.set(zmq::sockopt::heartbeat_ttl, toIntMilliseconds(options_.heartbeatTimeout));
    dealer.set(zmq::sockopt::connect_timeout, toIntMilliseconds(options_.handshakeTimeout));
    dealer.set(zmq::sockopt::handshake_ivl, toIntMilliseconds(options_.handshakeTimeout));
    dealer.set(zmq::sockopt::reconnect_ivl, toIntMilliseconds(kReconnectInterval));
    dealer.set(zmq::sockopt::reconnect_ivl_max, toIntMilliseconds(kMaxReconnectInterval));
    dealer.set(zmq::sockopt::curve_serverkey, acceptedKeys_[peer.keyIndex]);
    dealer.set(zmq::sockopt::curve_publickey, options_.keys.publicKey);
    dealer.set(zmq::sockopt::curve_secretkey, options_.keys.secretKey);
    const std::string monitorName = "inproc://monitor-" + std::to_string(++connectionsOpened_);
    zmq_socket_monitor(dealer.handle(), monitorName.c_str(),
                       ZMQ_EVENT_HANDSHAKE_SUCCEEDED | ZMQ_EVENT_DISCONNECTED);
    connection->monitor = zmq::socket_t(context_, zmq::socket_type::pair);
    connection->monitor.set(zmq::sockopt::linger, 0);
    connection->monitor.connect(monitorName);
    try {
        dealer.connect(peer.endpoint);
    } catch (const zmq::error_t &error) {
        logEvent(LogLevel::Warning, "peer_endpoint_invalid",
                 { { "endpoint", peer.endpoint }, { "reason", error.what() } });
        return;
    }
    peer.connection = std::move(connection);
    ++openConnections_;
}

void ZmqBus::Impl::closeConnection(Peer &peer)
{
    if (!peer.connection)
        return;
    zmq_socket_monitor(peer.connection->dealer.handle(), nullptr, 0);
    peer.connection.reset();
    --openConnections_;
}

void ZmqBus::Impl::receiveFromRouter()
{
    for (int i = 0; i < kMaxReceiveBatch; ++i) {
        zmq::message_t identity;
        if (!router_.recv(identity, zmq::recv_flags::dontwait))
            return;
        zmq::message_t payload;
        bool extraParts = false;
        if (identity.more()) {
            (void)router_.recv(payload, zmq::recv_flags::dontwait);
            for (bool more = payload.more(); more;) {
                extraParts = true;
                zmq::message_t part;
                more = router_.recv(part, zmq::recv_flags::dontwait).has_value() && part.more();
            }
        }
        const std::string routingId = identity.to_string();
        if (extraParts)
            ++droppedUnparsable_;
        else
            handlePayload(payload, &routingId);
    }
}

void ZmqBus::Impl::receiveFromDealer(const std::string &, Connection &connection)
{
    for (int i = 0; i < kMaxReceiveBatch; ++i) {
        zmq::message_t payload;
        if (!connection.dealer.recv(payload, zmq::recv_flags::dontwait))
            return;
        connection.lastUsed = Clock::now();
        handlePayload(payload, nullptr);
    }
}

void ZmqBus::Impl::handlePayload(const zmq::message_t &payload, const std::string *routingId)
{
    if (payload.size() > options_.maxMessageBytes) {
        ++droppedOversized_;
        return;
    }
    proto::Envelope envelope;
    if (!proto::parseMessage(payload.to_string_view(), envelope) || envelope.sender().empty()
        || envelope.body_case() == proto::Envelope::BODY_NOT_SET) {
        ++droppedUnparsable_;
        return;
    }
    const std::string sender = envelope.sender();
    if (routingId != nullptr)
        updateRoute(sender, *routingId);
    const auto kind = static_cast<std::size_t>(envelope.body_case());
    AtomicTrafficCounters &traffic = traffic_[kind % kMaxMessageKinds];
    ++traffic.messagesIn;
    traffic.bytesIn += payload.size();
    const Handler &handler = handlers_[kind % kMaxMessageKinds];
    if (handler)
        handler(sender, envelope);
    else
        ++droppedUnhandled_;
}

void ZmqBus::Impl::updateRoute(const std::string &sender, const std::string &routingId)
{
    const bool isNew = routes_.insert_or_assign(sender, Route{ routingId, Clock::now() }).second;
    if (!isNew)
        return;
    const std::lock_guard lock(mutex_);
    routableDaemons_.insert(sender);
}

void ZmqBus::Impl::removeRoute(const std::string &daemonId)
{
    routes_.erase(daemonId);
    const std::lock_guard lock(mutex_);
    routableDaemons_.erase(daemonId);
}

// Replies to one authentication request of libzmq (ZAP, ZeroMQ RFC 27). The request consists of
// version, request id, domain, address, identity, mechanism and, for CURVE, the client's public key
// as 32 bytes.
void ZmqBus::Impl::handleZapRequest()
{
    std::vector<zmq::message_t> parts;
    do {
        zmq::message_t part;
        if (!zap_.recv(part, zmq::recv_flags::dontwait))
            return;
        parts.push_back(std::move(part));
    } while (parts.back().more());
    bool accepted = false;
    if (parts.size() == 7 && parts[5].to_string_view() == "CURVE" && parts[6].size() == 32) {
        std::array<char, 41> key{};
        zmq_z85_encode(key.data(), parts[6].data<std::uint8_t>(), parts[6].size());
        accepted = std::find(acceptedKeys_.begin(), acceptedKeys_.end(), key.data())
                   != acceptedKeys_.end();
    }
    if (!accepted)
        ++refusedKeys_;
    const std::string requestId = parts.size() > 1 ? parts[1].to_string() : std::string();
    const std::array<std::string, 6> answer{
        "1.0", requestId, accepted ? "200" : "400", accepted ? "OK" : "unknown key", "", ""
    };
    for (std::size_t i = 0; i < answer.size(); ++i) {
        const auto flags = i + 1 < answer.size() ? zmq::send_flags::sndmore : zmq::send_flags::none;
        zap_.send(zmq::buffer(answer[i]), flags);
    }
}

void ZmqBus::Impl::handleMonitorEvents(Peer &peer)
{
    for (;;) {
        zmq::message_t event;
        if (!peer.connection->monitor.recv(event, zmq::recv_flags::dontwait))
            return;
        zmq::message_t address;
        (void)peer.connection->monitor.recv(address, zmq::recv_flags::dontwait);
        std::uint16_t code = 0;
        if (event.size() >= sizeof(code))
            std::copy_n(event.data<char>(), sizeof(code), reinterpret_cast<char *>(&code));
        const bool wasEstablished = std::exchange(peer.connection->established,
                                                  code == ZMQ_EVENT_HANDSHAKE_SUCCEEDED);
        // libzmq reconnects automatically. The handshake timeout starts when the connection is lost
        // and is not restarted by failed attempts.
        if (wasEstablished && !peer.connection->established)
            peer.connection->openedAt = Clock::now();
    }
}

// Closes idle connections and those that have not completed the handshake in time, and removes
// expired routes. If the handshake fails, the peer is down or uses another accepted key, which the
// next connection tries.
void ZmqBus::Impl::runMaintenance()
{
    const Clock::time_point now = Clock::now();
    nextMaintenance_ = now + kMaintenanceInterval;
    for (auto &entry : peers_) {
        Peer &peer = entry.second;
        if (!peer.connection)
            continue;
        if (!peer.connection->established
            && now - peer.connection->openedAt > options_.handshakeTimeout) {
            peer.keyIndex = (peer.keyIndex + 1) % acceptedKeys_.size();
            closeConnection(peer);
        } else if (now - peer.connection->lastUsed > options_.idleTimeout) {
            closeConnection(peer);
        }
    }
    std::vector<std::string> expired;
    for (const auto &[daemonId, route] : routes_) {
        if (now - route.lastReceived > kRouteLifetime)
            expired.push_back(daemonId);
    }
    for (const std::string &daemonId : expired)
        removeRoute(daemonId);
}

BusCounters ZmqBus::Impl::counters() const
{
    BusCounters result;
    for (std::size_t kind = 0; kind < kMaxMessageKinds; ++kind) {
        const AtomicTrafficCounters &traffic = traffic_[kind];
        if (traffic.messagesIn + traffic.messagesOut == 0)
            continue;
        result.kinds.push_back(MessageKindTraffic{ .kind = kindName(kind),
                                                   .messagesIn = traffic.messagesIn,
                                                   .messagesOut = traffic.messagesOut,
                                                   .bytesIn = traffic.bytesIn,
                                                   .bytesOut = traffic.bytesOut });
    }
    result.droppedQueueFull = droppedQueueFull_;
    result.droppedOversized = droppedOversized_;
    result.droppedUnparsable = droppedUnparsable_;
    result.droppedUnhandled = droppedUnhandled_;
    result.refusedKeys = refusedKeys_;
    result.connectionsOpened = connectionsOpened_;
    result.openConnections = openConnections_;
    return result;
}

std::unique_ptr<ZmqBus> ZmqBus::make(ZmqBusOptions options)
{
    if (options.daemonId.empty() || options.endpoint.empty()) {
        setLastError("the message bus requires a daemon id and an endpoint");
        return nullptr;
    }
    bool keysValid = isCurveKey(options.keys.publicKey) && isCurveKey(options.keys.secretKey);
    for (const std::string &key : options.acceptedKeys)
        keysValid = keysValid && isCurveKey(key);
    if (!keysValid) {
        setLastError("malformed CURVE key in the options of the bus");
        return nullptr;
    }
    return std::unique_ptr<ZmqBus>(new ZmqBus(std::make_unique<Impl>(std::move(options))));
}

ZmqBus::ZmqBus(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl))
{}

ZmqBus::~ZmqBus() = default;

bool ZmqBus::start()
{
    return impl_->start();
}

void ZmqBus::stop()
{
    impl_->stop();
}

std::string ZmqBus::endpoint() const
{
    return impl_->endpoint();
}

void ZmqBus::setPeer(const std::string &daemonId, const std::string &endpoint)
{
    impl_->setPeer(daemonId, endpoint);
}

void ZmqBus::removePeer(const std::string &daemonId)
{
    impl_->removePeer(daemonId);
}

bool ZmqBus::send(const std::string &daemonId, proto::Envelope envelope)
{
    return impl_->send(daemonId, std::move(envelope));
}

void ZmqBus::setHandler(proto::Envelope::BodyCase kind, Handler handler)
{
    impl_->setHandler(static_cast<std::size_t>(kind), std::move(handler));
}

BusCounters ZmqBus::counters() const
{
    return impl_->counters();
}

} // namespace auburn
