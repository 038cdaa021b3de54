// Measures the cost of gossip. Prints CSV.
//
// Modes: "core" runs gossip cores over a simulated network, "buses" runs complete memberships over
// real buses on loopback addresses in this process, "revision" measures the time until a
// configuration revision is known everywhere, with 790 members.

#include "auburn/mesh/membership.h"
#include "auburn/mesh/zmqbus.h"
#include "benchload.h"
#include "gossipsim.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <linux/tcp.h>
#include <malloc.h>
#include <map>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <tclap/CmdLine.h>
#include <thread>
#include <unistd.h>

namespace auburn {

namespace {

using namespace std::chrono_literals;

struct Shape
{
    unsigned failureDomains = 1;
    unsigned daemons = 6;
    unsigned backendServers = 15;
};

// Both sides of today's deployments, then the growth to the design scale.
constexpr Shape kCoreShapes[] = {
    { 1, 6, 15 },    { 1, 12, 15 },   { 1, 24, 60 },  { 1, 48, 150 }, { 1, 79, 60 },
    { 1, 79, 150 },  { 1, 79, 330 },  { 1, 96, 330 }, { 3, 6, 15 },   { 3, 24, 60 },
    { 3, 79, 330 },  { 10, 6, 15 },   { 10, 12, 15 }, { 10, 24, 60 }, { 10, 48, 330 },
    { 10, 79, 330 }, { 10, 96, 330 },
};
constexpr Shape kBusShapes[] = {
    { 1, 6, 15 },   { 1, 12, 15 }, { 1, 24, 60 }, { 1, 48, 150 },  { 1, 79, 330 },
    { 1, 96, 330 }, { 3, 6, 15 },  { 10, 6, 15 }, { 10, 12, 330 },
};

std::string failureDomainName(unsigned failureDomain)
{
    return "domain-" + std::to_string(failureDomain);
}

// Names as long as those of real VMs; failure domains are spread over three regions.
GossipOptions optionsFor(unsigned failureDomain, unsigned daemon)
{
    return GossipOptions{ .selfId = "daemon-" + std::to_string(failureDomain) + "-"
                                    + std::to_string(daemon),
                          .failureDomain = failureDomainName(failureDomain),
                          .region = "region-" + std::to_string(failureDomain % 3) };
}

double processCpuSeconds()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval &time) {
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
    };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

double residentKilobytes()
{
    std::ifstream statm("/proc/self/statm");
    double total = 0;
    double resident = 0;
    statm >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1024;
}

// ---- Simulated network ------------------------------------------------------------------------

void addMembers(GossipSim &sim, const Shape &shape)
{
    std::string firstSeed;
    for (unsigned failureDomain = 0; failureDomain < shape.failureDomains; ++failureDomain) {
        std::string failureDomainSeed;
        for (unsigned daemon = 0; daemon < shape.daemons; ++daemon) {
            GossipOptions options = optionsFor(failureDomain, daemon);
            for (const std::string &seed : { failureDomainSeed, firstSeed }) {
                if (!seed.empty())
                    options.seeds.push_back(seed);
            }
            const std::size_t index = sim.add(std::move(options));
            if (daemon == 0)
                failureDomainSeed = sim.node(index).endpoint;
            if (index == 0)
                firstSeed = failureDomainSeed;
            sim.apply(index, [](GossipCore &core, GossipTime now) {
                core.setStatus(MemberStatus::Ready, now);
            });
        }
    }
}

void runWithLoads(GossipSim &sim, const Shape &shape, std::mt19937_64 &random, unsigned seconds)
{
    for (unsigned second = 0; second < seconds; ++second) {
        for (std::size_t i = 0; i < sim.size(); ++i) {
            sim.node(i).core->setCellLoads(makeLoads(*sim.view(i), shape.backendServers, random));
        }
        sim.run(1s);
    }
}

void measureCore(const Shape &shape, unsigned seconds)
{
    const std::size_t heapBefore = mallinfo2().uordblks;
    GossipSim sim(1);
    std::mt19937_64 random(2);
    addMembers(sim, shape);
    runWithLoads(sim, shape, random, 30);
    sim.resetTraffic();
    const double cpuBefore = processCpuSeconds();
    runWithLoads(sim, shape, random, seconds);
    const double cpu = processCpuSeconds() - cpuBefore;
    double bytes = 0;
    double largest = 0;
    double messages = 0;
    double failureDomainBytes = 0;
    for (std::size_t i = 0; i < sim.size(); ++i) {
        const GossipSim::Node &node = sim.node(i);
        const auto own = static_cast<double>(node.traffic.bytesIn + node.traffic.bytesOut);
        bytes += own;
        largest = std::max(largest, own);
        messages += static_cast<double>(node.traffic.messagesIn + node.traffic.messagesOut);
        failureDomainBytes = std::max(failureDomainBytes,
                                      static_cast<double>(node.failureDomainBytes));
    }
    const auto members = static_cast<double>(sim.size());
    const auto heap = static_cast<double>(mallinfo2().uordblks - heapBefore) / 1024;
    std::printf("core,%u,%u,%u,%u,%.0f,%.0f,%.0f,%.1f,%.4f,%.0f\n", shape.failureDomains,
                shape.daemons, shape.backendServers, cellCountFor(shape.backendServers),
                bytes / seconds / members, largest / seconds, failureDomainBytes / seconds,
                messages / seconds / members, 100 * cpu / seconds / members, heap / members);
    std::fflush(stdout);
}

// ---- Real buses -------------------------------------------------------------------------------

// Sums up what the kernel counts for the TCP sockets of this process, which holds both ends of
// every connection.
class TcpMeter
{
public:
    void sample()
    {
        for (const auto &entry : std::filesystem::directory_iterator("/proc/self/fd")) {
            const std::string name = entry.path().filename();
            int fd = -1;
            std::from_chars(name.data(), name.data() + name.size(), fd);
            tcp_info info{};
            socklen_t length = sizeof(info);
            struct stat status
            {};
            if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &length) != 0
                || fstat(fd, &status) != 0)
                continue;
            Count &last = last_[status.st_ino];
            bytes_ += info.tcpi_bytes_acked
                      - std::min<std::uint64_t>(last.bytes, info.tcpi_bytes_acked);
            segments_ += info.tcpi_segs_out - std::min(last.segments, info.tcpi_segs_out);
            last = { info.tcpi_bytes_acked, info.tcpi_segs_out };
        }
    }

    void reset()
    {
        sample();
        bytes_ = 0;
        segments_ = 0;
    }

    // Bytes of TCP payload sent: messages, CURVE framing, handshakes and ZeroMQ heartbeats.
    double bytes() const { return static_cast<double>(bytes_); }
    double segments() const { return static_cast<double>(segments_); }

private:
    struct Count
    {
        std::uint64_t bytes = 0;
        std::uint32_t segments = 0;
    };

    std::map<ino_t, Count> last_;
    std::uint64_t bytes_ = 0;
    std::uint64_t segments_ = 0;
};

struct BusMember
{
    std::unique_ptr<ZmqBus> bus;
    std::unique_ptr<Membership> membership;
};

// Picks a free port: binds and releases it.
std::string freeEndpoint(const CurveKeyPair &keys)
{
    const auto bus = ZmqBus::make(
            { .daemonId = "probe", .endpoint = "tcp://127.0.0.1:0", .keys = keys });
    return bus->start() ? bus->endpoint() : std::string();
}

std::vector<BusMember> startMembers(const Shape &shape)
{
    const CurveKeyPair keys = makeCurveKeyPair().value();
    std::vector<BusMember> members;
    std::string firstSeed;
    for (unsigned failureDomain = 0; failureDomain < shape.failureDomains; ++failureDomain) {
        std::string failureDomainSeed;
        for (unsigned daemon = 0; daemon < shape.daemons; ++daemon) {
            GossipOptions options = optionsFor(failureDomain, daemon);
            options.endpoint = freeEndpoint(keys);
            for (const std::string &seed : { failureDomainSeed, firstSeed }) {
                if (!seed.empty())
                    options.seeds.push_back(seed);
            }
            if (failureDomainSeed.empty())
                failureDomainSeed = options.endpoint;
            if (firstSeed.empty())
                firstSeed = options.endpoint;
            BusMember member;
            member.bus = ZmqBus::make(
                    { .daemonId = options.selfId, .endpoint = options.endpoint, .keys = keys });
            member.membership = Membership::make(options, *member.bus, *member.bus);
            if (!member.bus->start())
                std::fprintf(stderr, "cannot bind %s\n", options.endpoint.c_str());
            member.membership->start();
            member.membership->setStatus(MemberStatus::Ready);
            members.push_back(std::move(member));
        }
    }
    return members;
}

void runWithLoads(std::vector<BusMember> &members, const Shape &shape, std::mt19937_64 &random,
                  TcpMeter &meter, unsigned seconds)
{
    for (unsigned second = 0; second < seconds; ++second) {
        const auto end = std::chrono::steady_clock::now() + 1s;
        for (BusMember &member : members) {
            const auto view = member.membership->view();
            member.membership->setCellLoads(makeLoads(*view, shape.backendServers, random));
        }
        for (int i = 0; i < 4; ++i) {
            std::this_thread::sleep_for(200ms);
            meter.sample();
        }
        std::this_thread::sleep_until(end);
    }
}

struct BusTotals
{
    double bytes = 0;
    double messages = 0;
    double connections = 0;
};

BusTotals totalsOf(const std::vector<BusMember> &members)
{
    BusTotals totals;
    for (const BusMember &member : members) {
        const BusCounters counters = member.bus->counters();
        totals.connections += static_cast<double>(counters.openConnections);
        for (const MessageKindTraffic &kind : counters.kinds) {
            totals.bytes += static_cast<double>(kind.bytesIn + kind.bytesOut);
            totals.messages += static_cast<double>(kind.messagesIn + kind.messagesOut);
        }
    }
    return totals;
}

bool isComplete(const std::vector<BusMember> &members, const Shape &shape)
{
    return std::all_of(members.begin(), members.end(), [&shape](const BusMember &member) {
        const auto view = member.membership->view();
        const auto ready = std::count_if(
                view->members.begin(), view->members.end(),
                [](const Member &known) { return known.status == MemberStatus::Ready; });
        return ready == shape.daemons && view->failureDomains.size() + 1 == shape.failureDomains;
    });
}

// Bytes on the wire count 52 bytes of IP and TCP headers per segment (with timestamps).
void measureBuses(const Shape &shape, unsigned seconds)
{
    constexpr double kHeaderBytes = 52;
    const double memoryBefore = residentKilobytes();
    std::vector<BusMember> members = startMembers(shape);
    std::mt19937_64 random(2);
    TcpMeter meter;
    runWithLoads(members, shape, random, meter, 20);
    meter.reset();
    const BusTotals before = totalsOf(members);
    const double cpuBefore = processCpuSeconds();
    runWithLoads(members, shape, random, meter, seconds);
    const double cpu = processCpuSeconds() - cpuBefore;
    const BusTotals after = totalsOf(members);
    const double per = static_cast<double>(seconds) * static_cast<double>(members.size());
    const double memory = residentKilobytes() - memoryBefore;
    // Every byte sent is a byte received by another daemon.
    std::printf("buses,%u,%u,%u,%u,%.0f,%.0f,%.0f,%.1f,%.4f,%.0f,%.1f,%d\n", shape.failureDomains,
                shape.daemons, shape.backendServers, cellCountFor(shape.backendServers),
                (after.bytes - before.bytes) / per, 2 * meter.bytes() / per,
                2 * (meter.bytes() + kHeaderBytes * meter.segments()) / per,
                (after.messages - before.messages) / per, 100 * cpu / per,
                memory / static_cast<double>(members.size()),
                after.connections / static_cast<double>(members.size()),
                isComplete(members, shape) ? 1 : 0);
    std::fflush(stdout);
    for (BusMember &member : members) {
        member.membership->stop();
        member.bus->stop();
    }
}

// ---- Configuration revision -------------------------------------------------------------------

bool hasRevision(GossipSim &sim, std::size_t index, std::uint64_t revision)
{
    for (const Member &member : sim.view(index)->members) {
        if (member.id == sim.node(index).id)
            return member.configRevision >= revision;
    }
    return false;
}

// Time until all members of the origin's failure domain, and all members, have the revision.
void measureRevision(double loss, bool relaysReadLog, unsigned runs)
{
    const Shape shape{ .failureDomains = 10, .daemons = 79, .backendServers = 330 };
    GossipSim sim(3);
    sim.loss = loss;
    addMembers(sim, shape);
    sim.run(60s);
    for (unsigned run = 1; run <= runs; ++run) {
        const std::uint64_t revision = 1000UL * run;
        const std::chrono::milliseconds start = sim.now();
        for (std::size_t i = 0; i < sim.size(); ++i) {
            const bool reads = relaysReadLog ? sim.node(i).core->isRelay() : i == run % 79;
            if (!reads)
                continue;
            sim.apply(i, [revision](GossipCore &core, GossipTime now) {
                core.setConfigRevision(revision, now);
            });
        }
        std::map<std::string, long long> failureDomainTimes;
        const auto all = [&] {
            std::map<std::string, bool> complete;
            for (std::size_t i = 0; i < sim.size(); ++i) {
                bool &failureDomain = complete.try_emplace(sim.node(i).options.failureDomain, true)
                                              .first->second;
                failureDomain = failureDomain && hasRevision(sim, i, revision);
            }
            for (const auto &[failureDomain, isDone] : complete) {
                if (isDone)
                    failureDomainTimes.try_emplace(failureDomain, (sim.now() - start).count());
            }
            return failureDomainTimes.size() == shape.failureDomains;
        };
        const bool done = sim.runUntil(all, 60s);
        const auto total = (sim.now() - start).count();
        std::printf("revision,%.2f,%s,%u,%lld,%lld,%lld,%d\n", loss,
                    relaysReadLog ? "all relays" : "one daemon", run,
                    failureDomainTimes[failureDomainName(0)], static_cast<long long>(total),
                    static_cast<long long>((total + 999) / 1000), done ? 1 : 0);
        std::fflush(stdout);
        sim.run(5s);
    }
}

int runBench(int argc, char **argv)
{
    TCLAP::CmdLine command("Measures the cost of gossip and prints CSV.");
    TCLAP::ValueArg<std::string> mode("", "mode", "core, buses or revision", false, "core", "MODE",
                                      command);
    TCLAP::ValueArg<unsigned> seconds("", "seconds", "measured time per shape", false, 30, "N",
                                      command);
    TCLAP::ValueArg<unsigned> limit("", "max-members", "skips larger shapes", false, 1000, "N",
                                    command);
    TCLAP::ValueArg<unsigned> minimum("", "min-members", "skips smaller shapes", false, 0, "N",
                                      command);
    command.parse(argc, argv);
    const auto fits = [&](const Shape &shape) {
        const unsigned members = shape.failureDomains * shape.daemons;
        return members >= minimum.getValue() && members <= limit.getValue();
    };
    if (mode.getValue() == "core") {
        std::puts(
                "mode,failure_domains,daemons_per_failure_domain,backend_servers_per_failure_"
                "domain,cells,bytes_per_s,"
                "bytes_per_s_busiest,failure_domain_bytes_per_s_busiest,messages_per_s,cpu_percent,"
                "heap_kb");
        for (const Shape &shape : kCoreShapes) {
            if (fits(shape))
                measureCore(shape, seconds.getValue());
        }
    } else if (mode.getValue() == "buses") {
        std::puts("mode,failure_domains,daemons_per_failure_domain,backend_servers_per_failure_"
                  "domain,cells,envelope_bytes_per_s,"
                  "tcp_bytes_per_s,wire_bytes_per_s,messages_per_s,cpu_percent,resident_kb,"
                  "connections,complete");
        for (const Shape &shape : kBusShapes) {
            if (fits(shape))
                measureBuses(shape, seconds.getValue());
        }
    } else {
        std::puts("mode,loss,source,run,own_failure_domain_ms,all_failure_domains_ms,rounds,"
                  "complete");
        measureRevision(0, false, 5);
        measureRevision(0.05, false, 5);
        measureRevision(0, true, 5);
        measureRevision(0.05, true, 5);
    }
    return 0;
}

} // namespace

} // namespace auburn

int main(int argc, char **argv)
{
    return auburn::runBench(argc, argv);
}
