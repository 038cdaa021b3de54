#include "auburn/peers/peerexchange.h"

#include "auburn/core/endpoint.h"
#include "auburn/core/lasterror.h"
#include "auburn/core/log.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <random>
#include <utility>

namespace auburn::peers {

namespace asio = boost::asio;
using boost::asio::ip::udp;
using ErrorCode = boost::system::error_code;

namespace {

constexpr std::size_t kMaxDatagram = 8192;
// Up to this number of peers every beat goes to all of them, with the load at each server.
constexpr std::size_t kFullMeshPeers = 12;
// Peers that get a beat when there are more.
constexpr std::size_t kFanOut = 6;
constexpr std::size_t kAddressesInBeat = 3;
constexpr std::chrono::milliseconds kLiveTime{ 3000 };
// A peer that is silent gets only every such beat.
constexpr unsigned kSilentStride = 8;
// Several changes within this time share one extra beat.
constexpr std::chrono::milliseconds kSoon{ 5 };

class PeerExchangeImpl : public PeerExchange
{
public:
    PeerExchangeImpl(asio::io_context &io, Options options)
        : options_(std::move(options))
        , socket_(io)
        , timer_(io)
        , soonTimer_(io)
        , random_(std::random_device{}())
    {
        incarnation_ = std::uniform_int_distribution<std::uint64_t>()(random_);
    }

    bool open()
    {
        const auto endpoint = parseEndpoint(options_.beatAddress);
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
            setLastError("cannot use " + options_.beatAddress + ": " + error.message());
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
        if (beatAddress == options_.beatAddress || peers_.contains(beatAddress))
            return;
        const auto endpoint = parseEndpoint(beatAddress);
        if (!endpoint) {
            logEvent(LogLevel::Warning, "peer_ignored",
                     { { "address", beatAddress }, { "reason", lastError() } });
            return;
        }
        peers_.emplace(beatAddress,
                       Peer{ .endpoint = udp::endpoint(endpoint->address(), endpoint->port()) });
        logEvent(LogLevel::Info, "peer_added", { { "address", beatAddress } });
    }

    void sendToDomainSoon() override
    {
        wholeDomain_ = true;
        sendSoon();
    }

    void sendSoon() override
    {
        if (std::exchange(soon_, true))
            return;
        soonTimer_.expires_after(kSoon);
        soonTimer_.async_wait([this](ErrorCode error) {
            soon_ = false;
            if (!error)
                sendBeats();
        });
    }

    unsigned ownCpuMillis() const override { return options_.cpuMillis; }
    bool isLargeFleet() const override { return livePeers() > kFullMeshPeers; }

    std::vector<LivePeer> livePeersIn(const std::string &failureDomain) const override
    {
        const auto now = Clock::now();
        std::vector<LivePeer> result;
        for (const auto &[address, peer] : peers_) {
            if (isLive(peer, now) && peer.info.failureDomain == failureDomain)
                result.push_back(peer.info);
        }
        return result;
    }

    void send(const std::string &beatAddress, const proto::PeerDatagram &datagram) override
    {
        const auto found = peers_.find(beatAddress);
        if (found != peers_.end())
            sendBytes(datagram.SerializeAsString(), found->second.endpoint);
    }

    unsigned livePeers() const override
    {
        const auto now = Clock::now();
        return static_cast<unsigned>(
                std::count_if(peers_.begin(), peers_.end(),
                              [now](const auto &entry) { return isLive(entry.second, now); }));
    }

private:
    struct Peer
    {
        udp::endpoint endpoint;
        // Epoch if it was never heard.
        Clock::time_point heard;
        LivePeer info;
    };

    static bool isLive(const Peer &peer, Clock::time_point now)
    {
        return peer.heard != Clock::time_point() && now - peer.heard < kLiveTime;
    }

    void beat()
    {
        sendBeats();
        timer_.expires_after(options_.interval);
        timer_.async_wait([this](ErrorCode error) {
            if (!error)
                beat();
        });
    }

    void sendBeats()
    {
        ++round_;
        const auto now = Clock::now();
        std::vector<const Peer *> targets;
        for (const auto &[address, peer] : peers_) {
            const bool turn = round_ % kSilentStride == 0 || round_ <= kSilentStride;
            if (isLive(peer, now) || turn)
                targets.push_back(&peer);
        }
        const bool fullMesh = targets.size() <= kFullMeshPeers;
        const bool wholeDomain = std::exchange(wholeDomain_, false);
        if (!fullMesh && wholeDomain)
            std::erase_if(targets, [this](const Peer *peer) {
                return peer->info.failureDomain != options_.failureDomain;
            });
        else if (!fullMesh)
            pickTargets(targets);
        proto::PeerDatagram datagram;
        PeerBeat &beat = *datagram.mutable_beat();
        beat.set_vm(options_.vm);
        beat.set_incarnation(incarnation_);
        beat.set_beat_address(options_.beatAddress);
        beat.set_read_address(options_.readAddress);
        beat.set_failure_domain(options_.failureDomain);
        beat.set_cpu_millis(options_.cpuMillis);
        options_.fill(beat, { .loads = fullMesh, .changes = wholeDomain && !fullMesh });
        addKnown(beat, now);
        const std::string bytes = datagram.SerializeAsString();
        for (const Peer *target : targets)
            sendBytes(bytes, target->endpoint);
    }

    void sendBytes(const std::string &bytes, const udp::endpoint &target)
    {
        ErrorCode error;
        socket_.send_to(asio::buffer(bytes), target, 0, error);
        // A datagram that is not sent is like one that is lost; the next one replaces it.
        if (error && !std::exchange(sendFailed_, true))
            logEvent(LogLevel::Warning, "datagram_not_sent", { { "error", error.message() } });
    }

    // A few peers at random.
    void pickTargets(std::vector<const Peer *> &targets)
    {
        std::shuffle(targets.begin(), targets.end(), random_);
        targets.resize(std::min(kFanOut, targets.size()));
    }

    void addKnown(PeerBeat &beat, Clock::time_point now)
    {
        std::vector<const std::string *> live;
        for (const auto &[address, peer] : peers_) {
            if (isLive(peer, now))
                live.push_back(&address);
        }
        std::shuffle(live.begin(), live.end(), random_);
        live.resize(std::min(live.size(), kAddressesInBeat));
        for (const std::string *address : live)
            beat.add_known(*address);
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
        else if (options_.datagramReceived)
            options_.datagramReceived(datagram, sender_.address().to_string() + ":"
                                                        + std::to_string(sender_.port()));
    }

    void takeBeat(const PeerBeat &beat)
    {
        if (beat.beat_address().empty())
            return;
        if (beat.beat_address() == options_.beatAddress)
            return;
        addPeer(beat.beat_address());
        const auto found = peers_.find(beat.beat_address());
        if (found == peers_.end())
            return;
        found->second.heard = Clock::now();
        found->second.info = LivePeer{ .vm = beat.vm(),
                                       .beatAddress = beat.beat_address(),
                                       .failureDomain = beat.failure_domain(),
                                       .cpuMillis = beat.cpu_millis(),
                                       .serving = beat.serving() };
        for (const std::string &address : beat.known())
            addPeer(address);
        options_.received(beat);
    }

    const Options options_;
    udp::socket socket_;
    asio::steady_timer timer_;
    asio::steady_timer soonTimer_;
    std::mt19937_64 random_;
    std::uint64_t incarnation_ = 0;
    std::map<std::string, Peer> peers_;
    std::array<char, kMaxDatagram> buffer_{};
    udp::endpoint sender_;
    unsigned round_ = 0;
    bool soon_ = false;
    // The next beat goes to the whole failure domain.
    bool wholeDomain_ = false;
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
