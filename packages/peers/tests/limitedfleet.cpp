#include "limitedfleet.h"

#include <algorithm>

namespace auburn::peers {

using routing::AttemptOutcome;
using routing::PlacementChoice;
using routing::PlacementQuery;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kStep{ 10 };
constexpr milliseconds kWindow{ 4000 };
constexpr milliseconds kSettlingTime{ 4000 };
constexpr milliseconds kNoticeTime{ 500 };
constexpr milliseconds kGossipInterval{ 250 };
// Recipients of the gossip of one daemon.
constexpr unsigned kGossipFanout = 4;
constexpr double kTolerance = 1.5;
constexpr double kExtraRequests = 5;
const std::string kServer = "s";

} // namespace

// Places every request on the server unless it is excluded or unavailable.
class LimitedFleet::Source : public routing::PlacementSource
{
public:
    Source(const routing::ServerDirectory &directory, const TimePoint &now)
        : directory_(directory)
        , now_(now)
    {}

    void place(const PlacementQuery &query, milliseconds /*timeLeft*/,
               ChoiceHandler handler) override
    {
        if (isExcluded(query, kServer) || !directory_.isAvailable(kServer, now_))
            handler(std::nullopt);
        else
            handler(PlacementChoice{ .serverId = kServer });
    }
    void attemptProgressed(const PlacementChoice & /*choice*/,
                           std::chrono::microseconds /*sinceStart*/) override
    {}
    void attemptEnded(const PlacementChoice & /*choice*/, bool /*progressed*/,
                      AttemptOutcome /*outcome*/) override
    {}

private:
    const routing::ServerDirectory &directory_;
    const TimePoint &now_;
};

class LimitedFleet::Exchange : public PeerExchange
{
public:
    Exchange(LimitedFleet &fleet, unsigned daemon)
        : fleet_(fleet)
        , daemon_(daemon)
    {}

    void addPeer(const std::string & /*udpAddress*/) override {}
    void scheduleHeartbeat(HeartbeatScope /*scope*/) override {}
    unsigned livePeerCount() const override { return static_cast<unsigned>(livePeers().size()); }
    std::vector<PeerInfo> livePeers() const override;
    std::vector<PeerInfo> livePeersIn(const std::string & /*failureDomain*/) const override
    {
        return livePeers();
    }
    std::vector<PeerInfo> storeReaders() const override { return {}; }
    unsigned ownCpuMillis() const override { return 100; }
    std::uint64_t incarnation() const override { return 1; }
    bool isLargeFleet() const override { return false; }
    void send(const std::string &udpAddress, const proto::PeerDatagram &datagram) override
    {
        fleet_.deliver(daemon_, udpAddress, datagram);
    }

private:
    LimitedFleet &fleet_;
    const unsigned daemon_;
};

struct LimitedFleet::Daemon
{
    Daemon(LimitedFleet &fleet, unsigned daemonIndex)
        : index(daemonIndex)
        , name("d" + std::to_string(daemonIndex))
        , source(directory, fleet.now_)
        , exchange(fleet, daemonIndex)
        , placement(fleet.io_, { .vm = name,
                                 .failureDomain = "a",
                                 .regions = { { "a", "r" } },
                                 .source = &source,
                                 .directory = &directory,
                                 .limits = &limits,
                                 .fleetSize = &fleetSize,
                                 .isServing = [] { return true; },
                                 .now = [&fleet] { return fleet.now_; } })
    {
        directory.update({ .id = kServer,
                           .service = "desk",
                           .address = "s:80",
                           .failureDomain = "a",
                           .slots = 100 },
                         1);
        fleetSize.recordRegistered(fleet.options_.daemons);
        placement.setExchange(&exchange);
    }

    const unsigned index;
    const std::string name;
    routing::ServerDirectory directory;
    routing::ServerLimits limits;
    routing::FleetSize fleetSize;
    Source source;
    Exchange exchange;
    LimitedPlacement placement;
    bool alive = true;
    bool frozen = false;
    // When its state last changed, and whether others saw it as live before.
    TimePoint changedAt;
    bool wasLive = true;
    std::optional<TimePoint> toldAt;
    std::optional<TimePoint> excusedUntil;
    // Datagrams that arrived while it was frozen.
    std::vector<std::pair<std::string, proto::PeerDatagram>> waiting;
};

std::vector<PeerInfo> LimitedFleet::Exchange::livePeers() const
{
    std::vector<PeerInfo> peers;
    for (const auto &other : fleet_.daemons_) {
        if (other->index != daemon_ && fleet_.sees(*fleet_.daemons_[daemon_], *other))
            peers.push_back({ .vm = other->name,
                              .udpAddress = other->name,
                              .failureDomain = "a",
                              .serving = true });
    }
    return peers;
}

LimitedFleet::LimitedFleet(const Options &options)
    : options_(options)
    , random_(options.seed)
{
    for (unsigned i = 0; i < options.daemons; ++i)
        daemons_.push_back(std::make_unique<Daemon>(*this, i));
}

LimitedFleet::~LimitedFleet() = default;

bool LimitedFleet::sees(const Daemon &from, const Daemon &to) const
{
    const bool isCut = cutIndex_ > 0 && (from.index < cutIndex_) != (to.index < cutIndex_);
    const bool isLive = to.alive && !to.frozen;
    // Each pair has its own delay.
    const auto delay = options_.noticeDelay * ((from.index * 31 + to.index * 17) % 16) / 15;
    const bool noticed = now_ - to.changedAt >= delay;
    return (noticed ? isLive : to.wasLive) && !isCut;
}

void LimitedFleet::deliver(unsigned sender, const std::string &target,
                           const proto::PeerDatagram &datagram)
{
    Daemon &daemon = *daemons_[std::stoul(target.substr(1))];
    const Daemon &from = *daemons_[sender];
    const bool isCut = cutIndex_ > 0 && (from.index < cutIndex_) != (daemon.index < cutIndex_);
    if (!daemon.alive || isCut)
        return;
    if (daemon.frozen)
        daemon.waiting.emplace_back(from.name, datagram);
    else
        daemon.placement.handleDatagram(datagram, from.name);
}

void LimitedFleet::setLimit(std::optional<double> requestsPerSecond)
{
    limit_ = requestsPerSecond;
    if (!limit_)
        return;
    named_.emplace_back(now_, *limit_);
    if (!firstNamedAt_)
        firstNamedAt_ = now_;
}

void LimitedFleet::run(Milliseconds time)
{
    for (const auto end = now_ + time; now_ < end; now_ += kStep)
        step();
}

void LimitedFleet::step()
{
    std::bernoulli_distribution arrives(options_.demand
                                        * std::chrono::duration<double>(kStep).count());
    for (const auto &daemon : daemons_) {
        if (daemon->alive && !daemon->frozen && arrives(random_))
            sendRequest(*daemon);
    }
    if (now_.time_since_epoch() % kGossipInterval < kStep)
        shareLimits();
    judge();
}

void LimitedFleet::sendRequest(Daemon &daemon)
{
    static const routing::Service service{ .name = "desk" };
    daemon.placement.place({ .service = &service }, milliseconds(1000),
                           [&](const std::optional<PlacementChoice> &choice) {
                               if (choice)
                                   serverReceives(daemon);
                           });
}

void LimitedFleet::serverReceives(Daemon &daemon)
{
    const bool counts = daemon.toldAt && now_ - *daemon.toldAt >= kNoticeTime
                        && !(daemon.excusedUntil && now_ < *daemon.excusedUntil);
    arrivals_.push_back({ .at = now_, .daemon = daemon.index, .counts = counts });
    if (!limit_) {
        daemon.limits.recordNoLimit(kServer, now_);
        return;
    }
    daemon.limits.recordLimit(kServer, *limit_, now_);
    if (!daemon.toldAt)
        daemon.toldAt = now_;
}

void LimitedFleet::shareLimits()
{
    for (const auto &daemon : daemons_) {
        if (!daemon->alive || daemon->frozen)
            continue;
        const auto reports = daemon->limits.newestReports(16);
        for (unsigned i = 0; i < kGossipFanout; ++i) {
            Daemon &other = *daemons_[random_() % daemons_.size()];
            if (!other.alive || other.frozen || !sees(*daemon, other))
                continue;
            for (const routing::ServerLimitReport &report : reports)
                other.limits.merge(report);
        }
        daemon->placement.updateOwners();
    }
}

void LimitedFleet::judge()
{
    if (!firstNamedAt_ || now_ - *firstNamedAt_ < kSettlingTime)
        return;
    std::size_t counted = 0;
    for (auto arrival = arrivals_.rbegin();
         arrival != arrivals_.rend() && now_ - arrival->at < kWindow; ++arrival)
        counted += arrival->counts ? 1 : 0;
    // The limit in force at the begin of the window still holds for its first requests.
    double limit = 0;
    for (std::size_t i = 0; i < named_.size(); ++i) {
        const bool endsBefore = i + 1 < named_.size() && named_[i + 1].first <= now_ - kWindow;
        if (!endsBefore)
            limit = std::max(limit, named_[i].second);
    }
    const double allowed = kTolerance * limit * std::chrono::duration<double>(kWindow).count()
                           + kExtraRequests;
    worstExcess_ = std::max(worstExcess_, static_cast<double>(counted) - allowed);
}

void LimitedFleet::excuse(Daemon &daemon)
{
    daemon.excusedUntil = now_ + kSettlingTime;
}

void LimitedFleet::kill(unsigned daemon)
{
    Daemon &target = *daemons_[daemon];
    target.wasLive = target.alive && !target.frozen;
    target.alive = false;
    target.changedAt = now_;
}

void LimitedFleet::start(unsigned daemon)
{
    daemons_[daemon] = std::make_unique<Daemon>(*this, daemon);
    daemons_[daemon]->changedAt = now_;
    daemons_[daemon]->wasLive = false;
    excuse(*daemons_[daemon]);
}

void LimitedFleet::freeze(unsigned daemon)
{
    Daemon &target = *daemons_[daemon];
    target.wasLive = target.alive;
    target.frozen = true;
    target.changedAt = now_;
}

void LimitedFleet::thaw(unsigned daemon)
{
    Daemon &target = *daemons_[daemon];
    target.wasLive = false;
    target.frozen = false;
    target.changedAt = now_;
    excuse(target);
    for (const auto &[sender, datagram] : std::exchange(target.waiting, {}))
        target.placement.handleDatagram(datagram, sender);
}

void LimitedFleet::cutBefore(unsigned daemon)
{
    cutIndex_ = daemon;
}

void LimitedFleet::heal()
{
    cutIndex_ = 0;
}

std::optional<unsigned> LimitedFleet::owner() const
{
    const routing::BackendServer server{ .id = kServer, .failureDomain = "a" };
    for (const auto &daemon : daemons_) {
        PermitOwners owners({ .vm = daemon->name, .failureDomain = "a" }, TimePoint());
        owners.update(daemon->exchange.livePeers(), true, now_);
        const auto chosen = owners.ownerOf(server);
        if (daemon->alive && !daemon->frozen && chosen && chosen->udpAddress.empty())
            return daemon->index;
    }
    return std::nullopt;
}

std::size_t LimitedFleet::arrivalsSince(TimePoint time) const
{
    return static_cast<std::size_t>(
            std::count_if(arrivals_.begin(), arrivals_.end(),
                          [time](const Arrival &arrival) { return arrival.at >= time; }));
}

} // namespace auburn::peers
