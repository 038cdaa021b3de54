// Sockets, connections, routes and authentication of ZmqBus.
#include "zmqbusimpl.h"

#include "auburn/core/log.h"

#include <algorithm>
#include <array>
#include <utility>

namespace auburn {

namespace {

constexpr auto kZapEndpoint = "inproc://zeromq.zap.01";
constexpr std::chrono::milliseconds kReconnectInterval{ 100 };
constexpr std::chrono::milliseconds kMaxReconnectInterval{ 1000 };

int toIntMilliseconds(std::chrono::milliseconds value)
{
    return static_cast<int>(value.count());
}

} // namespace

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

ZmqBus::Impl::Connection *ZmqBus::Impl::connectionTo(const std::string &daemonId)
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

} // namespace auburn
