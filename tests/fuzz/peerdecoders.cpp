// Decoders of what other daemons send: heartbeats, datagrams and gossip frames.

#include "decoder.h"
#include "messagefields.h"

#include "auburn.pb.h"
#include "auburn/core/bootclock.h"
#include "auburn/core/endpoint.h"
#include "auburn/mesh/gossipcore.h"
#include "auburn/peers/peertable.h"
#include "auburn/proto/parsemessage.h"
#include "auburn/scaling/demandtable.h"
#include "auburn/usage/usagemetering.h"
#include "platform/heartbeatfields.h"

#include <utility>

namespace auburn::fuzz {

namespace {

using std::chrono::milliseconds;
using TimePoint = BootClock::time_point;

const TimePoint kStart{ std::chrono::seconds(1000) };
constexpr milliseconds kUnixTime{ 1'700'000'000'000 };
constexpr std::uint64_t kWindow = 340'000'000;
constexpr std::size_t kMaxDatagramBytes = 8192;

struct EmptyLog : duties::ConditionalLog
{
    void list(ListHandler handler) override { handler(duties::LogListing{}); }
    void append(std::string /*key*/, std::string /*value*/, std::uint64_t expectedEnd,
                AppendHandler handler) override
    {
        handler({ .status = duties::AppendStatus::Appended,
                  .position = expectedEnd,
                  .end = expectedEnd + 1 });
    }
};

struct AcceptingApi : duties::DutyApi
{
    void reportUsage(const duties::UsageFigure & /*figure*/, Handler handler) override
    {
        handler(duties::CallStatus::Accepted);
    }
    void orderServers(const duties::ServerOrder & /*order*/, Handler handler) override
    {
        handler(duties::CallStatus::Accepted);
    }
};

struct Permit : duties::DutyPermit
{
    bool isHeld() const override { return held; }
    std::uint64_t token() const override { return 1; }

    bool held = true;
};

// What a daemon does with datagrams, without its sockets.
class DatagramReader
{
public:
    explicit DatagramReader(bool holdsDuties) { permit_.held = holdsDuties; }

    void read(const proto::PeerDatagram &datagram)
    {
        if (datagram.has_beat())
            readHeartbeat(datagram.beat());
        metering_.handleDatagram(datagram, "127.0.0.1:2", now_);
        if (datagram.has_demand_report())
            demand_.record(datagram.demand_report(), now_);
    }

    void run()
    {
        for (int i = 0; i < 60; ++i) {
            now_ += milliseconds(100);
            metering_.tick(unixTime(), now_);
            demand_.update(now_);
        }
        demand_.load("engines");
        demand_.isComplete(2);
    }

private:
    milliseconds unixTime() const
    {
        return kUnixTime + std::chrono::duration_cast<milliseconds>(now_ - kStart);
    }

    void readHeartbeat(const proto::PeerBeat &beat)
    {
        const peers::PeerTable::TimePoint now{ std::chrono::hours(1) };
        parseEndpoint(beat.beat_address());
        peers_.add(beat.beat_address(), now);
        peers_.recordHeartbeat({ .vm = beat.vm(),
                                 .udpAddress = beat.beat_address(),
                                 .failureDomain = beat.failure_domain(),
                                 .cpuMillis = beat.cpu_millis(),
                                 .serving = beat.serving(),
                                 .readsStore = beat.store_up_ms() > 0,
                                 .heartbeatCounter = beat.heartbeat() },
                               now);
        for (const proto::PeerMention &mention : beat.mentions()) {
            peers_.add(mention.beat_address(), now);
            peers_.recordRelayedHeartbeat({ .vm = mention.vm(),
                                            .udpAddress = mention.beat_address(),
                                            .failureDomain = mention.failure_domain(),
                                            .cpuMillis = mention.cpu_millis(),
                                            .serving = mention.serving(),
                                            .heartbeatCounter = mention.heartbeat() },
                                          now);
        }
        Random random(1);
        peers_.heartbeatTargets(1, now, random);
        peers_.bootstrapPeers(beat.failure_domain(), now, random);
        placement_.recordPeerLoads(beat.vm(), platform::readLoads(beat), now);
        for (const routing::CrashReport &report : platform::readCrashes(beat.crashes()))
            crashes_.mergePeer(beat.vm(), report, now);
        metering_.recordPeerClock(beat.vm(), milliseconds(beat.unix_ms()), now_);
        metering_.setHolder({ .token = beat.duty_holder().token(),
                              .renewal = beat.duty_holder().renewal(),
                              .udpAddress = beat.duty_holder().udp_address(),
                              .released = beat.duty_holder().released() },
                            now_);
    }

    TimePoint now_ = kStart;
    EmptyLog log_;
    AcceptingApi api_;
    Permit permit_;
    usage::UsageMetering metering_{
        { .self = { .vm = "vm", .udpAddress = "127.0.0.1:1", .failureDomain = "a" },
          .incarnation = 1,
          .send = [](const std::string &, const proto::PeerDatagram &) {},
          .livePeers = [] { return std::vector<usage::LiveDaemon>{}; } },
        { .log = log_, .api = api_, .permit = permit_ },
        kUnixTime,
        kStart
    };
    scaling::DemandTable demand_;
    peers::PeerTable peers_{ { .ownAddress = "127.0.0.1:1",
                               .failureDomain = "a",
                               .regions = { { "a", "r" }, { "b", "r" } } } };
    routing::Placement placement_{ { .failureDomain = "a", .regions = { { "a", "r" } } } };
    routing::CrashRegistry crashes_{ routing::kEqualRequestCrashOptions };
};

void decodeDatagram(std::string_view input)
{
    proto::PeerDatagram datagram;
    if (!proto::parseMessage(input, datagram))
        return;
    for (const bool holdsDuties : { true, false }) {
        DatagramReader reader(holdsDuties);
        reader.read(datagram);
        reader.run();
        // Duplicates are common.
        reader.read(datagram);
        reader.run();
    }
}

proto::PeerDatagram heartbeat()
{
    proto::PeerDatagram datagram;
    proto::PeerBeat &beat = *datagram.mutable_beat();
    beat.set_vm("vm2");
    beat.set_incarnation(2);
    beat.set_beat_address("127.0.0.1:2");
    beat.set_failure_domain("b");
    beat.set_serving(true);
    beat.set_store_up_ms(900);
    beat.set_heartbeat(5);
    beat.set_newcomer(true);
    beat.set_fleet_size(3);
    beat.set_unix_ms(static_cast<std::uint64_t>(kUnixTime.count()));
    beat.mutable_duty_holder()->set_token(3);
    beat.mutable_duty_holder()->set_udp_address("127.0.0.1:3");
    proto::PeerMention &mention = *beat.add_mentions();
    mention.set_vm("vm3");
    mention.set_beat_address("127.0.0.1:3");
    mention.set_failure_domain("a");
    mention.set_heartbeat(8);
    proto::PeerServerLoad &load = *beat.add_loads();
    load.set_server("s1");
    load.set_running(3);
    load.add_waiting_tokens(700);
    proto::PeerCrash &crash = *beat.add_crashes();
    crash.set_cause(77);
    crash.set_crashes(2);
    return datagram;
}

proto::PeerDatagram usageReport()
{
    proto::PeerDatagram datagram;
    proto::UsageReport &report = *datagram.mutable_usage_report();
    report.set_vm("vm2");
    report.set_incarnation(2);
    report.set_fleet_ms(static_cast<std::uint64_t>(kUnixTime.count()));
    report.set_part(1);
    report.set_parts(2);
    report.set_number(4);
    proto::UsageWindow &window = *report.add_windows();
    window.set_window(kWindow);
    proto::UsageCount &count = *window.add_counts();
    count.set_organisation("x");
    count.set_requests(12);
    return datagram;
}

proto::PeerDatagram usageAck()
{
    proto::PeerDatagram datagram;
    proto::UsageAck &ack = *datagram.mutable_usage_ack();
    ack.set_token(3);
    ack.set_closed_through(kWindow - 2);
    ack.set_incarnation(1);
    ack.set_number(1);
    return datagram;
}

proto::PeerDatagram figureNotice()
{
    proto::PeerDatagram datagram;
    proto::UsageFigureNotice &notice = *datagram.mutable_usage_figure_notice();
    notice.set_incarnation(1);
    notice.set_window(kWindow);
    notice.set_era(2);
    notice.set_has_counts(true);
    proto::UsageCount &count = *notice.add_counts();
    count.set_organisation("x");
    count.set_requests(12);
    return datagram;
}

proto::PeerDatagram figureAck()
{
    proto::PeerDatagram datagram;
    proto::UsageFigureAck &ack = *datagram.mutable_usage_figure_ack();
    ack.set_incarnation(1);
    ack.set_window(kWindow);
    return datagram;
}

proto::PeerDatagram demandReport()
{
    proto::PeerDatagram datagram;
    proto::DemandReport &report = *datagram.mutable_demand_report();
    report.set_vm("vm2");
    report.set_incarnation(2);
    report.set_number(4);
    report.set_interval_ms(1000);
    proto::ServiceDemand &demand = *report.add_services();
    demand.set_service("engines");
    demand.set_in_progress(30);
    demand.set_uncached_tokens(9000);
    demand.set_rejected(1);
    return datagram;
}

GossipOptions gossipOptions(const std::string &id)
{
    return { .selfId = id,
             .failureDomain = "a",
             .region = "r",
             .endpoint = "tcp://127.0.0.1:" + std::to_string(7000 + id.size()),
             .incarnation = 1,
             .seeds = { "tcp://127.0.0.1:7009" },
             .randomSeed = 1 };
}

// What two daemons send to each other when they meet.
std::vector<std::string> gossipFrames()
{
    GossipTime now{ .monotonic = milliseconds(1000), .wall = kUnixTime };
    GossipCore one(gossipOptions("d1"), now);
    GossipOptions options = gossipOptions("other");
    options.seeds = { gossipOptions("d1").endpoint };
    GossipCore other(options, now);
    one.setCellLoads({ { .service = "m", .cell = 1, .freeSlots = 3, .totalSlots = 8 } });
    one.addCrash(77, now);
    other.markLeaving("e1", true, now);
    std::vector<std::string> frames;
    for (int i = 0; i < 8; ++i) {
        now.monotonic += milliseconds(1000);
        now.wall += milliseconds(1000);
        one.tick(now);
        other.tick(now);
        for (GossipCore *sender : { &one, &other, &one, &other }) {
            GossipCore &receiver = sender == &one ? other : one;
            for (GossipMessage &message : sender->takeMessages()) {
                frames.push_back(message.envelope.SerializeAsString());
                receiver.receive(sender == &one ? "d1" : "other", message.envelope, now);
            }
        }
    }
    proto::Envelope envelope;
    proto::FailureDomainDigest &digest = *envelope.mutable_failure_domain_digests()
                                                  ->add_failure_domains();
    digest.set_failure_domain("b");
    digest.set_region("r");
    digest.set_version(9);
    digest.add_services()->set_service("m");
    proto::MemberEntry &contact = *digest.add_contacts();
    contact.set_id("b1");
    contact.set_endpoint("tcp://127.0.0.1:7008");
    frames.push_back(envelope.SerializeAsString());
    return frames;
}

void decodeGossip(std::string_view input)
{
    proto::Envelope envelope;
    if (!proto::parseMessage(input, envelope))
        return;
    GossipTime now{ .monotonic = milliseconds(1000), .wall = kUnixTime };
    GossipCore core(gossipOptions("d1"), now);
    for (int i = 0; i < 3; ++i) {
        core.receive("other", envelope, now);
        core.takeMessages();
        core.takeHigherRevision();
        core.view();
        now.monotonic += milliseconds(1000);
        now.wall += milliseconds(1000);
        core.tick(now);
        core.takeMessages();
    }
    core.crashCount(77, now);
}

} // namespace

std::vector<Decoder> peerDecoders()
{
    std::vector<std::string> datagrams;
    for (const proto::PeerDatagram &datagram :
         { heartbeat(), usageReport(), usageAck(), figureNotice(), figureAck(), demandReport() })
        datagrams.push_back(datagram.SerializeAsString());
    return {
        { .name = "peer-datagram",
          .corpus = std::move(datagrams),
          .decode = decodeDatagram,
          .changeField = changeSerializedField<proto::PeerDatagram>,
          .maxBytes = kMaxDatagramBytes },
        { .name = "gossip-frame",
          .corpus = gossipFrames(),
          .decode = decodeGossip,
          .changeField = changeSerializedField<proto::Envelope> },
    };
}

} // namespace auburn::fuzz
