#include "usagefixture.h"

#include <algorithm>

namespace auburn::usage {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds kTick{ 100 };
// Every 49th datagram to a lossy address is lost; three receivers take turns.
constexpr unsigned kLossyPeriod = 49;
// Difference between true time and the simulated BootClock. Windows begin at full seconds of both.
constexpr std::chrono::seconds kEpochOffset{ 1'700'000'000 };

} // namespace

FakeDaemon &UsageFixture::start(const std::string &vm)
{
    const UsageMetering::Options options{
        .self = { .vm = vm, .udpAddress = vm, .failureDomain = vm.substr(0, 1) },
        .incarnation = ++incarnations,
        .send = [this, vm](const std::string &address,
                           const proto::PeerDatagram &datagram) { deliver(vm, address, datagram); },
        .livePeers = [this, vm] { return livePeersOf(vm); },
        .metrics = &metrics,
    };
    daemons[vm] = std::make_unique<FakeDaemon>(options, log, api, trueTime(), now);
    daemons[vm]->metering.setHolder(holder, now);
    return *daemons[vm];
}

void UsageFixture::giveDuties(const std::string &vm)
{
    for (const auto &[name, daemon] : daemons)
        daemon->permit.held = false;
    holder = { .token = holder.token + 1, .udpAddress = vm };
    daemons.at(vm)->permit.number = holder.token;
    daemons.at(vm)->permit.held = true;
    for (const auto &[name, daemon] : daemons)
        daemon->metering.setHolder(holder, now);
}

void UsageFixture::count(const std::string &vm, const std::string &organisation, unsigned requests,
                         milliseconds ago)
{
    for (unsigned i = 0; i < requests; ++i)
        daemons.at(vm)->metering.recordRequest(organisation, ago, now);
}

void UsageFixture::run(milliseconds time)
{
    for (const TimePoint end = now + time; now < end;) {
        now += kTick;
        for (const auto &[vm, daemon] : daemons) {
            for (const auto &[peer, other] : daemons) {
                if (peer != vm)
                    daemon->metering.recordPeerClock(peer, trueTime() + other->wallError, now);
            }
        }
        for (const auto &[vm, daemon] : daemons)
            daemon->metering.tick(trueTime() + daemon->wallError, now);
    }
}

std::vector<LiveDaemon> UsageFixture::livePeersOf(const std::string &vm) const
{
    std::vector<LiveDaemon> live;
    for (const auto &[peer, daemon] : daemons) {
        if (peer != vm)
            live.push_back({ .vm = peer, .udpAddress = peer, .failureDomain = peer.substr(0, 1) });
    }
    return live;
}

void UsageFixture::runToWindow(std::uint64_t window, milliseconds offset)
{
    run(windowEnd(window, kDefaultWindowLength) - kDefaultWindowLength + offset - trueTime());
}

void UsageFixture::deliver(const std::string &sender, const std::string &address,
                           const proto::PeerDatagram &datagram)
{
    BOOST_TEST(datagram.ByteSizeLong() <= 1200U);
    ++datagrams;
    const auto receiver = daemons.find(address);
    const bool isLost = sender == silenced || (lossPeriod > 0 && datagrams % lossPeriod == 0)
                        || (address == lossyAddress && datagrams % kLossyPeriod == 0);
    if (receiver == daemons.end() || isLost)
        return;
    if (address == holder.udpAddress) {
        for (const proto::UsageWindow &counts : datagram.usage_report().windows())
            countsReceived += static_cast<std::uint64_t>(counts.counts_size());
    }
    receiver->second->metering.handleDatagram(datagram, sender, now);
}

milliseconds UsageFixture::trueTime() const
{
    return std::chrono::duration_cast<milliseconds>(now.time_since_epoch()) + kEpochOffset;
}

std::map<std::string, std::uint64_t> UsageFixture::reported(std::uint64_t window) const
{
    std::map<std::string, std::uint64_t> result;
    bool found = false;
    for (const duties::UsageFigure &figure : api.figures) {
        if (figure.window != window)
            continue;
        BOOST_TEST((!found || figure.requests == result), "two figures for one window");
        result = figure.requests;
        found = true;
    }
    return result;
}

} // namespace auburn::usage
