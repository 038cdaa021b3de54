#include "auburn/usage/usagemetering.h"

#include <utility>

namespace auburn::usage {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds kLiveRefreshInterval{ 500 };

} // namespace

UsageMetering::UsageMetering(Options options, const Dependencies &dependencies,
                             milliseconds wallClock, TimePoint now)
    : options_(std::move(options))
    , clock_(options_.self.vm)
    , ledger_({ .windowLength = options_.windowLength, .metrics = options_.metrics })
    , reporter_(
              { .vm = options_.self.vm,
                .incarnation = options_.incarnation,
                .failureDomain = options_.self.failureDomain,
                .send = [this](const std::string &address,
                               const proto::PeerDatagram &datagram) { send(address, datagram); } },
              clock_, ledger_)
    , collector_({ .incarnation = options_.incarnation,
                   .udpAddress = options_.self.udpAddress,
                   .windowLength = options_.windowLength,
                   .send = [this](const std::string &address,
                                  const proto::PeerDatagram &datagram) { send(address, datagram); },
                   .metrics = options_.metrics },
                 { .clock = clock_,
                   .log = dependencies.log,
                   .api = dependencies.api,
                   .permit = dependencies.permit })
    , now_(now)
{
    clock_.recordClock(options_.self.vm, wallClock, now);
}

void UsageMetering::recordRequest(const std::string &organisation, milliseconds ago, TimePoint now)
{
    ledger_.count(organisation, clock_.unixTime(now) - ago);
}

void UsageMetering::recordPeerClock(const std::string &vm, milliseconds wallClock, TimePoint now)
{
    clock_.recordClock(vm, wallClock, now);
}

void UsageMetering::setHolder(const duties::DutyHolder &holder, TimePoint now)
{
    reporter_.setHolder(holder);
    collector_.setHolder(holder, now);
}

void UsageMetering::handleDatagram(const proto::PeerDatagram &datagram, const std::string &sender,
                                   TimePoint now)
{
    now_ = now;
    if (datagram.has_usage_report())
        collector_.handleReport(datagram.usage_report(), sender, now);
    if (datagram.has_usage_figure_notice())
        collector_.handleNotice(datagram.usage_figure_notice(), sender, now);
    if (datagram.has_usage_figure_ack())
        collector_.handleNoticeAck(datagram.usage_figure_ack(), sender);
    if (!datagram.has_usage_ack())
        return;
    reporter_.handleAck(datagram.usage_ack(), sender);
    collector_.handleAck(datagram.usage_ack(), now);
}

void UsageMetering::tick(milliseconds wallClock, TimePoint now)
{
    now_ = now;
    clock_.recordClock(options_.self.vm, wallClock, now);
    refreshLiveDaemons(now);
    reporter_.setClosedThrough(collector_.closedThrough());
    reporter_.tick(now, live_);
    collector_.tick(now, live_, reporter_.mirrors());
}

void UsageMetering::flush(TimePoint now)
{
    now_ = now;
    reporter_.flush(now);
}

// Datagrams to this daemon itself do not take the network, which would lose some of them.
void UsageMetering::send(const std::string &udpAddress, const proto::PeerDatagram &datagram)
{
    if (udpAddress == options_.self.udpAddress)
        handleDatagram(datagram, udpAddress, now_);
    else
        options_.send(udpAddress, datagram);
}

void UsageMetering::refreshLiveDaemons(TimePoint now)
{
    if (now < liveRefreshAt_)
        return;
    liveRefreshAt_ = now + kLiveRefreshInterval;
    live_ = options_.livePeers();
    live_.push_back(options_.self);
}

} // namespace auburn::usage
