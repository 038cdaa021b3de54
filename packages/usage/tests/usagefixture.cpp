#include "usagefixture.h"

#include <algorithm>

namespace auburn::usage {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds kTick{ 100 };
// Difference between true time and the simulated BootClock. Windows begin at full seconds of both.
constexpr std::chrono::seconds kEpochOffset{ 1'700'000'000 };

} // namespace

FakeDaemon &UsageFixture::start(const std::string &vm)
{
    const SendDatagram send = [this](const std::string &address,
                                     const proto::PeerDatagram &datagram) {
        deliver(address, datagram);
    };
    daemons[vm] = std::make_unique<FakeDaemon>(vm, ++incarnations, log, api, send);
    FakeDaemon &daemon = *daemons[vm];
    daemon.clock.recordPeer(vm, trueTime(), now);
    tellHolder(daemon);
    return daemon;
}

void UsageFixture::giveDuties(const std::string &vm)
{
    for (const auto &[name, daemon] : daemons)
        daemon->permit.held = false;
    holder = { .token = holder.token + 1, .udpAddress = vm };
    daemons.at(vm)->permit.number = holder.token;
    daemons.at(vm)->permit.held = true;
    for (const auto &[name, daemon] : daemons)
        tellHolder(*daemon);
}

void UsageFixture::tellHolder(FakeDaemon &daemon)
{
    daemon.reporter.setHolder(holder);
    daemon.collector.setHolder(holder, now);
}

void UsageFixture::count(const std::string &vm, const std::string &organisation, unsigned requests)
{
    FakeDaemon &daemon = *daemons.at(vm);
    for (unsigned i = 0; i < requests; ++i)
        daemon.ledger.count(organisation, daemon.clock.unixTime(now));
}

void UsageFixture::run(milliseconds time)
{
    for (const TimePoint end = now + time; now < end;) {
        now += kTick;
        std::vector<LiveDaemon> live;
        for (const auto &[vm, daemon] : daemons)
            live.push_back({ .vm = vm, .udpAddress = vm, .failureDomain = vm.substr(0, 1) });
        for (const auto &[vm, daemon] : daemons) {
            for (const auto &[peer, other] : daemons)
                daemon->clock.recordPeer(peer, trueTime() + other->wallError, now);
            daemon->reporter.tick(now, live);
            daemon->collector.tick(now, live);
        }
    }
}

void UsageFixture::runToWindow(std::uint64_t window, milliseconds offset)
{
    run(windowEnd(window, kDefaultWindowLength) - kDefaultWindowLength + offset - trueTime());
}

void UsageFixture::deliver(const std::string &address, const proto::PeerDatagram &datagram)
{
    BOOST_TEST(datagram.ByteSizeLong() <= 1200U);
    ++datagrams;
    const auto receiver = daemons.find(address);
    if (receiver == daemons.end()
        || (datagram.has_usage_report() && datagram.usage_report().vm() == silenced)
        || (lossPeriod > 0 && datagrams % lossPeriod == 0))
        return;
    if (datagram.has_usage_report())
        receiver->second->collector.handleReport(datagram.usage_report(),
                                                 datagram.usage_report().vm(), now);
    else
        receiver->second->reporter.handleAck(datagram.usage_ack());
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
