#include "auburn/mesh/zmqbus.h"

#include "auburn/core/lasterror.h"
#include "auburn/core/log.h"
#include "zmqbusimpl.h"

#include <algorithm>
#include <utility>

namespace auburn {

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
