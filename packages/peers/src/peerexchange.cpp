#include "auburn/peers/peerexchange.h"

#include "auburn/core/endpoint.h"
#include "auburn/core/lasterror.h"
#include "auburn/core/log.h"

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

constexpr std::size_t kMaxDatagram = 8192;
// Several changes within this time share one extra beat.
constexpr std::chrono::milliseconds kSoon{ 5 };
// A daemon that has just started beats as often as in a small fleet, so that all are found soon.
constexpr std::chrono::seconds kStartTime{ 5 };

// Higher than that of an earlier process with the same name, unless the clock was set back between.
std::uint64_t firstHeartbeat()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

proto::PeerMention encodeMention(const PeerInfo &peer)
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

PeerInfo decodeMention(const proto::PeerMention &mention)
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
        , soonTimer_(io)
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
        beat();
        return true;
    }

    void addPeer(const std::string &beatAddress) override
    {
        if (beatAddress == options_.udpAddress || endpoints_.contains(beatAddress))
            return;
        const auto endpoint = parseEndpoint(beatAddress);
        if (!endpoint) {
            logEvent(LogLevel::Warning, "peer_ignored",
                     { { "address", beatAddress }, { "reason", lastError() } });
            return;
        }
        endpoints_.emplace(beatAddress, udp::endpoint(endpoint->address(), endpoint->port()));
        table_.add(beatAddress, Clock::now());
        logEvent(LogLevel::Info, "peer_added", { { "address", beatAddress } });
    }

    void scheduleHeartbeat(HeartbeatScope scope) override
    {
        soonScope_ = std::max(soonScope_, scope);
        if (std::exchange(soon_, true))
            return;
        soonTimer_.expires_after(kSoon);
        soonTimer_.async_wait([this](ErrorCode error) {
            soon_ = false;
            if (!error)
                sendBeats(std::exchange(soonScope_, HeartbeatScope::Regular));
        });
    }

    unsigned ownCpuMillis() const override { return options_.cpuMillis; }
    bool isLargeFleet() const override { return table_.isLargeFleet(Clock::now()); }
    unsigned livePeerCount() const override { return table_.livePeerCount(Clock::now()); }

    std::vector<PeerInfo> livePeersIn(const std::string &failureDomain) const override
    {
        return table_.livePeersIn(failureDomain, Clock::now());
    }

    std::vector<PeerInfo> storeReaders() const override
    {
        return table_.storeReaders(Clock::now());
    }

    void send(const std::string &beatAddress, const proto::PeerDatagram &datagram) override
    {
        sendBytes(datagram.SerializeAsString(), beatAddress);
    }

private:
    void beat()
    {
        const auto now = Clock::now();
        sendBeats(HeartbeatScope::Regular);
        forgetSilentPeers(now);
        const bool sparse = now - startedAt_ > kStartTime && table_.isLargeFleet(now);
        timer_.expires_after(sparse ? options_.largeFleetInterval : options_.interval);
        timer_.async_wait([this](ErrorCode error) {
            if (!error)
                beat();
        });
    }

    void forgetSilentPeers(Clock::time_point now)
    {
        for (const std::string &address : table_.removeSilentPeers(now))
            endpoints_.erase(address);
    }

    HeartbeatTargets targetsOf(HeartbeatScope scope, Clock::time_point now)
    {
        switch (scope) {
        case HeartbeatScope::Regular:
            return table_.beatTargets(++round_, now, random_);
        case HeartbeatScope::FailureDomain:
            return { .sameRegion = table_.domainTargets(now) };
        case HeartbeatScope::Fleet:
            return { .sameRegion = table_.liveTargets(now) };
        }
        return {};
    }

    void sendBeats(HeartbeatScope scope)
    {
        const auto now = Clock::now();
        // In a small fleet every beat goes to all.
        const HeartbeatScope actual = table_.isLargeFleet(now) ? scope : HeartbeatScope::Regular;
        const HeartbeatTargets targets = targetsOf(actual, now);
        proto::PeerDatagram datagram = makeBeat(actual, table_.mentions(now, random_));
        sendTo(targets.sameRegion, datagram);
        auto &mentions = *datagram.mutable_beat()->mutable_mentions();
        const int farMentions = std::min(mentions.size(), static_cast<int>(kMentionsInFarBeat));
        mentions.DeleteSubrange(farMentions, mentions.size() - farMentions);
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

    // The daemon has just started and knows only its seeds.
    void welcome(const PeerBeat &newcomer)
    {
        const std::vector<PeerInfo> others = table_.introductions(newcomer.failure_domain(),
                                                                  Clock::now(), random_);
        send(newcomer.beat_address(), makeBeat(HeartbeatScope::Regular, others));
    }

    proto::PeerDatagram makeBeat(HeartbeatScope scope, const std::vector<PeerInfo> &mentions)
    {
        proto::PeerDatagram datagram;
        PeerBeat &beat = *datagram.mutable_beat();
        beat.set_vm(options_.vm);
        beat.set_incarnation(incarnation_);
        beat.set_beat_address(options_.udpAddress);
        beat.set_read_address(options_.readAddress);
        beat.set_failure_domain(options_.failureDomain);
        beat.set_cpu_millis(options_.cpuMillis);
        beat.set_heartbeat(++heartbeat_);
        beat.set_newcomer(!heardAny_);
        options_.fillHeartbeat(
                beat, { .scope = scope, .includeLoads = !table_.isLargeFleet(Clock::now()) });
        for (const PeerInfo &peer : mentions)
            *beat.add_mentions() = encodeMention(peer);
        return datagram;
    }

    void sendBytes(const std::string &bytes, const std::string &beatAddress)
    {
        const auto target = endpoints_.find(beatAddress);
        if (target == endpoints_.end())
            return;
        ErrorCode error;
        socket_.send_to(asio::buffer(bytes), target->second, 0, error);
        // A datagram that is not sent is like one that is lost; the next one replaces it.
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
                                           take(bytes);
                                       receive();
                                   });
    }

    void take(std::size_t bytes)
    {
        proto::PeerDatagram datagram;
        if (!datagram.ParseFromArray(buffer_.data(), static_cast<int>(bytes))) {
            logEvent(LogLevel::Warning, "datagram_unreadable",
                     { { "bytes", static_cast<long long>(bytes) } });
            return;
        }
        if (datagram.has_beat())
            takeBeat(datagram.beat());
        else if (options_.onDatagram)
            options_.onDatagram(datagram, sender_.address().to_string() + ":"
                                                  + std::to_string(sender_.port()));
    }

    void takeBeat(const PeerBeat &beat)
    {
        if (beat.beat_address().empty() || beat.beat_address() == options_.udpAddress)
            return;
        const auto now = Clock::now();
        addPeer(beat.beat_address());
        table_.recordHeartbeat(decodeSender(beat), now);
        for (const proto::PeerMention &mention : beat.mentions()) {
            addPeer(mention.beat_address());
            table_.recordRelayedHeartbeat(decodeMention(mention), now);
        }
        heardAny_ = true;
        if (beat.newcomer())
            welcome(beat);
        options_.onHeartbeat(beat);
    }

    const Options options_;
    udp::socket socket_;
    asio::steady_timer timer_;
    asio::steady_timer soonTimer_;
    std::mt19937_64 random_;
    PeerTable table_;
    std::unordered_map<std::string, udp::endpoint> endpoints_;
    std::uint64_t incarnation_ = 0;
    std::uint64_t heartbeat_ = firstHeartbeat();
    const Clock::time_point startedAt_ = Clock::now();
    std::array<char, kMaxDatagram> buffer_{};
    udp::endpoint sender_;
    unsigned round_ = 0;
    // A beat of another daemon has arrived.
    bool heardAny_ = false;
    bool soon_ = false;
    HeartbeatScope soonScope_ = HeartbeatScope::Regular;
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
