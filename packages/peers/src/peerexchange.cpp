#include "auburn/peers/peerexchange.h"

#include "auburn/core/endpoint.h"
#include "auburn/core/lasterror.h"
#include "auburn/core/log.h"
#include "auburn/proto/parsemessage.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <array>
#include <random>
#include <unordered_map>
#include <utility>

namespace auburn::peers {

namespace asio = boost::asio;
using boost::asio::ip::udp;
using ErrorCode = boost::system::error_code;

namespace {

constexpr std::size_t kMaxDatagramBytes = 8192;
// Several changes within this time share one additional heartbeat.
constexpr std::chrono::milliseconds kCoalescingDelay{ 5 };
// A daemon that has just started sends heartbeats as often as in a small fleet, so that all daemons
// are discovered soon.
constexpr std::chrono::seconds kStartupPeriod{ 5 };

// Returns a value above the counters of an earlier process of the same name, unless the clock was
// set back in between.
std::uint64_t initialHeartbeatCounter()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

proto::PeerMention encodeRelayedHeartbeat(const PeerInfo &peer)
{
    proto::PeerMention mention;
    mention.set_vm(peer.vm);
    mention.set_beat_address(peer.udpAddress);
    mention.set_failure_domain(peer.failureDomain);
    mention.set_cpu_millis(peer.cpuMillis);
    mention.set_serving(peer.serving);
    mention.set_heartbeat(peer.heartbeatCounter);
    return mention;
}

PeerInfo decodeRelayedHeartbeat(const proto::PeerMention &mention)
{
    return { .vm = mention.vm(),
             .udpAddress = mention.beat_address(),
             .failureDomain = mention.failure_domain(),
             .cpuMillis = mention.cpu_millis(),
             .serving = mention.serving(),
             .heartbeatCounter = mention.heartbeat() };
}

PeerInfo decodeSender(const PeerBeat &beat)
{
    return { .vm = beat.vm(),
             .udpAddress = beat.beat_address(),
             .failureDomain = beat.failure_domain(),
             .cpuMillis = beat.cpu_millis(),
             .serving = beat.serving(),
             .readsStore = beat.store_up_ms() > 0,
             .heartbeatCounter = beat.heartbeat() };
}

class PeerExchangeImpl : public PeerExchange
{
public:
    PeerExchangeImpl(asio::io_context &io, Options options)
        : options_(std::move(options))
        , socket_(io)
        , timer_(io)
        , scheduledTimer_(io)
        , random_(std::random_device{}())
        , table_({ .ownAddress = options_.udpAddress,
                   .failureDomain = options_.failureDomain,
                   .regions = options_.regions })
    {
        incarnation_ = std::uniform_int_distribution<std::uint64_t>()(random_);
    }

    bool open()
    {
        const auto endpoint = parseEndpoint(options_.udpAddress);
        if (!endpoint)
            return false;
        const udp::endpoint local(endpoint->address(), endpoint->port());
        ErrorCode error;
        socket_.open(local.protocol(), error);
        if (!error)
            socket_.bind(local, error);
        if (!error)
            socket_.non_blocking(true, error);
        if (error) {
            setLastError("cannot use " + options_.udpAddress + ": " + error.message());
            return false;
        }
        for (const std::string &seed : options_.seeds)
            addPeer(seed);
        receive();
        runHeartbeat();
        return true;
    }

    void addPeer(const std::string &udpAddress) override
    {
        if (udpAddress == options_.udpAddress || endpoints_.contains(udpAddress))
            return;
        const auto endpoint = parseEndpoint(udpAddress);
        if (!endpoint) {
            logEvent(LogLevel::Warning, "peer_ignored",
                     { { "address", udpAddress }, { "reason", lastError() } });
            return;
        }
        endpoints_.emplace(udpAddress, udp::endpoint(endpoint->address(), endpoint->port()));
        table_.add(udpAddress, Clock::now());
        logEvent(LogLevel::Info, "peer_added", { { "address", udpAddress } });
    }

    void scheduleHeartbeat(HeartbeatScope scope) override
    {
        scheduledScope_ = std::max(scheduledScope_, scope);
        if (std::exchange(heartbeatScheduled_, true))
            return;
        scheduledTimer_.expires_after(kCoalescingDelay);
        scheduledTimer_.async_wait([this](ErrorCode error) {
            heartbeatScheduled_ = false;
            if (!error)
                sendHeartbeats(std::exchange(scheduledScope_, HeartbeatScope::Regular));
        });
    }

    unsigned ownCpuMillis() const override { return options_.cpuMillis; }
    std::uint64_t incarnation() const override { return incarnation_; }
    bool isLargeFleet() const override { return table_.isLargeFleet(Clock::now()); }
    unsigned livePeerCount() const override { return table_.livePeerCount(Clock::now()); }

    std::vector<PeerInfo> livePeers() const override { return table_.livePeers(Clock::now()); }

    std::vector<PeerInfo> livePeersIn(const std::string &failureDomain) const override
    {
        return table_.livePeersIn(failureDomain, Clock::now());
    }

    std::vector<PeerInfo> storeReaders() const override
    {
        return table_.storeReaders(Clock::now());
    }

    void send(const std::string &udpAddress, const proto::PeerDatagram &datagram) override
    {
        sendBytes(datagram.SerializeAsString(), udpAddress);
    }

private:
    void runHeartbeat()
    {
        const auto now = Clock::now();
        sendHeartbeats(HeartbeatScope::Regular);
        removeSilentPeers(now);
        const bool useLargeFleetInterval = now - startedAt_ > kStartupPeriod
                                           && table_.isLargeFleet(now);
        timer_.expires_after(useLargeFleetInterval ? options_.largeFleetInterval
                                                   : options_.interval);
        timer_.async_wait([this](ErrorCode error) {
            if (!error)
                runHeartbeat();
        });
    }

    void removeSilentPeers(Clock::time_point now)
    {
        for (const std::string &address : table_.removeSilentPeers(now))
            endpoints_.erase(address);
    }

    HeartbeatTargets targetsFor(HeartbeatScope scope, Clock::time_point now)
    {
        switch (scope) {
        case HeartbeatScope::Regular:
            return table_.heartbeatTargets(++round_, now, random_);
        case HeartbeatScope::FailureDomain:
            return { .sameRegion = table_.domainTargets(now) };
        case HeartbeatScope::Fleet:
            return { .sameRegion = table_.liveTargets(now) };
        }
        return {};
    }

    void sendHeartbeats(HeartbeatScope scope)
    {
        const auto now = Clock::now();
        // In a small fleet every heartbeat goes to all daemons.
        const HeartbeatScope actual = table_.isLargeFleet(now) ? scope : HeartbeatScope::Regular;
        const HeartbeatTargets targets = targetsFor(actual, now);
        proto::PeerDatagram datagram = makeHeartbeat(actual,
                                                     table_.relayedHeartbeats(now, random_));
        sendTo(targets.sameRegion, datagram);
        auto &relayed = *datagram.mutable_beat()->mutable_mentions();
        const int relayedToOtherRegions = std::min(relayed.size(),
                                                   static_cast<int>(kMaxRelayedToOtherRegions));
        relayed.DeleteSubrange(relayedToOtherRegions, relayed.size() - relayedToOtherRegions);
        sendTo(targets.otherRegions, datagram);
    }

    void sendTo(const std::vector<std::string> &targets, const proto::PeerDatagram &datagram)
    {
        if (targets.empty())
            return;
        const std::string bytes = datagram.SerializeAsString();
        for (const std::string &target : targets)
            sendBytes(bytes, target);
    }

    // Sends live peers to a daemon that has just started and knows only its seeds.
    void sendBootstrapPeers(const PeerBeat &newcomer)
    {
        const std::vector<PeerInfo> others = table_.bootstrapPeers(newcomer.failure_domain(),
                                                                   Clock::now(), random_);
        send(newcomer.beat_address(), makeHeartbeat(HeartbeatScope::Regular, others));
    }

    proto::PeerDatagram makeHeartbeat(HeartbeatScope scope, const std::vector<PeerInfo> &relayed)
    {
        proto::PeerDatagram datagram;
        PeerBeat &beat = *datagram.mutable_beat();
        beat.set_vm(options_.vm);
        beat.set_incarnation(incarnation_);
        beat.set_beat_address(options_.udpAddress);
        beat.set_read_address(options_.readAddress);
        beat.set_failure_domain(options_.failureDomain);
        beat.set_cpu_millis(options_.cpuMillis);
        beat.set_heartbeat(++heartbeatCounter_);
        beat.set_newcomer(!receivedHeartbeat_);
        options_.fillHeartbeat(
                beat, { .scope = scope, .includeLoads = !table_.isLargeFleet(Clock::now()) });
        for (const PeerInfo &peer : relayed)
            *beat.add_mentions() = encodeRelayedHeartbeat(peer);
        return datagram;
    }

    void sendBytes(const std::string &bytes, const std::string &udpAddress)
    {
        const auto target = endpoints_.find(udpAddress);
        if (target == endpoints_.end())
            return;
        ErrorCode error;
        socket_.send_to(asio::buffer(bytes), target->second, 0, error);
        // A datagram that cannot be sent is treated like a lost one; the next one replaces it.
        if (error && !std::exchange(sendFailed_, true))
            logEvent(LogLevel::Warning, "datagram_not_sent", { { "error", error.message() } });
    }

    void receive()
    {
        socket_.async_receive_from(asio::buffer(buffer_), sender_,
                                   [this](ErrorCode error, std::size_t bytes) {
                                       if (error == asio::error::operation_aborted)
                                           return;
                                       if (!error)
                                           handleDatagram(bytes);
                                       receive();
                                   });
    }

    void handleDatagram(std::size_t bytes)
    {
        proto::PeerDatagram datagram;
        if (!proto::parseMessage({ buffer_.data(), bytes }, datagram)) {
            logEvent(LogLevel::Warning, "datagram_unreadable",
                     { { "bytes", static_cast<long long>(bytes) } });
            return;
        }
        if (datagram.has_beat())
            handleHeartbeat(datagram.beat());
        else if (options_.onDatagram)
            options_.onDatagram(datagram, sender_.address().to_string() + ":"
                                                  + std::to_string(sender_.port()));
    }

    void handleHeartbeat(const PeerBeat &beat)
    {
        if (beat.beat_address().empty() || beat.beat_address() == options_.udpAddress)
            return;
        const auto now = Clock::now();
        addPeer(beat.beat_address());
        table_.recordHeartbeat(decodeSender(beat), now);
        for (const proto::PeerMention &mention : beat.mentions()) {
            addPeer(mention.beat_address());
            table_.recordRelayedHeartbeat(decodeRelayedHeartbeat(mention), now);
        }
        receivedHeartbeat_ = true;
        if (beat.newcomer())
            sendBootstrapPeers(beat);
        options_.onHeartbeat(beat);
    }

    const Options options_;
    udp::socket socket_;
    asio::steady_timer timer_;
    asio::steady_timer scheduledTimer_;
    std::mt19937_64 random_;
    PeerTable table_;
    std::unordered_map<std::string, udp::endpoint> endpoints_;
    std::uint64_t incarnation_ = 0;
    std::uint64_t heartbeatCounter_ = initialHeartbeatCounter();
    const Clock::time_point startedAt_ = Clock::now();
    std::array<char, kMaxDatagramBytes> buffer_{};
    udp::endpoint sender_;
    unsigned round_ = 0;
    // Set once a heartbeat of another daemon was received.
    bool receivedHeartbeat_ = false;
    bool heartbeatScheduled_ = false;
    HeartbeatScope scheduledScope_ = HeartbeatScope::Regular;
    bool sendFailed_ = false;
};

} // namespace

std::unique_ptr<PeerExchange> PeerExchange::make(asio::io_context &io, Options options)
{
    auto exchange = std::make_unique<PeerExchangeImpl>(io, std::move(options));
    if (!exchange->open())
        return nullptr;
    return exchange;
}

} // namespace auburn::peers
