// Messages that ZmqBus sends and receives, and their counters.
#include "zmqbusimpl.h"

#include "auburn/proto/parsemessage.h"

namespace auburn {

namespace {

// Maximum number of messages read from one socket at a time, so that a busy socket does not delay
// the others.
constexpr int kMaxReceiveBatch = 64;

std::string kindName(std::size_t kind)
{
    const auto *field = proto::Envelope::descriptor()->FindFieldByNumber(static_cast<int>(kind));
    return field == nullptr ? std::string("unknown") : field->name();
}

} // namespace

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

} // namespace auburn
