// Measures the share of a core that the collector uses in fleets of 13, 100 and 790 daemons. All
// daemons run in this process on simulated time; only what the collector does, including the
// decoding of datagrams, is measured.

#include "auburn/usage/usagemetering.h"

#include <charconv>
#include <cstdint>
#include <cstdio>
#include <ctime>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace auburn::usage {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTick{ 100 };
constexpr milliseconds kDuration{ 40000 };
constexpr milliseconds kEpochOffset{ 1'700'000'000'000 };
// The collector is the daemon with this index.
constexpr unsigned kCollector = 0;

struct Load
{
    unsigned daemons = 0;
    unsigned requestsPerSecond = 0;
    unsigned organisations = 0;
};

constexpr Load kLoads[] = { { 13, 1500, 300 }, { 100, 5000, 3000 }, { 790, 20000, 21000 } };

std::chrono::nanoseconds processorTime()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

// A log that appends at once.
class MemoryLog : public duties::ConditionalLog
{
public:
    void list(ListHandler handler) override
    {
        duties::LogListing listing{ .end = end_ };
        for (const auto &[key, item] : items_)
            listing.items.push_back(item);
        handler(std::move(listing));
    }

    void append(std::string key, std::string value, std::uint64_t /*expectedEnd*/,
                AppendHandler handler) override
    {
        items_[key] = { .key = key, .value = std::move(value), .position = end_ };
        ++end_;
        handler({ .status = duties::AppendStatus::Appended, .position = end_ - 1, .end = end_ });
    }

    std::size_t listingBytes() const
    {
        std::size_t bytes = 0;
        for (const auto &[key, item] : items_)
            bytes += key.size() + item.value.size();
        return bytes;
    }

private:
    std::map<std::string, duties::LogItem> items_;
    std::uint64_t end_ = 0;
};

struct HeldPermit : duties::DutyPermit
{
    bool isHeld() const override { return held; }
    std::uint64_t token() const override { return 1; }

    bool held = false;
};

// Accepts every figure and sums up its requests.
struct CountingApi : duties::DutyApi
{
    void reportUsage(const duties::UsageFigure &figure, Handler handler) override
    {
        ++figures;
        for (const auto &[organisation, count] : figure.requests)
            requests += count;
        handler(duties::CallStatus::Accepted);
    }
    void orderServers(const duties::ServerOrder & /*order*/, Handler /*handler*/) override {}

    std::uint64_t figures = 0;
    std::uint64_t requests = 0;
};

class Fleet
{
public:
    explicit Fleet(const Load &load)
        : load_(load)
    {
        for (unsigned i = 0; i < load_.daemons; ++i)
            live_.push_back({ .vm = "vm" + std::to_string(i),
                              .udpAddress = std::to_string(i),
                              .failureDomain = std::to_string(i % 10) });
        permits_.resize(load_.daemons);
        for (unsigned i = 0; i < load_.daemons; ++i)
            daemons_.push_back(makeDaemon(i));
        permits_[kCollector].held = true;
        const duties::DutyHolder holder{ .token = 1, .udpAddress = live_[kCollector].udpAddress };
        for (const auto &daemon : daemons_)
            daemon->setHolder(holder, now_);
    }

    void run()
    {
        for (const BootClock::time_point end = now_ + kDuration; now_ < end;) {
            now_ += kTick;
            countRequests();
            for (unsigned i = 0; i < load_.daemons; ++i) {
                if (i != kCollector)
                    daemons_[i]->tick(unixTime(), now_);
            }
            runCollector();
        }
    }

    void printResult() const
    {
        const double seconds = std::chrono::duration<double>(kDuration).count();
        std::printf("%u,%u,%u,%.0f,%.0f,%.2f,%.0f,%llu,%llu\n", load_.daemons,
                    load_.requestsPerSecond, load_.organisations, datagrams_ / seconds,
                    bytes_ / seconds / 1000,
                    100 * std::chrono::duration<double>(used_).count() / seconds,
                    log_.listingBytes() / 1e3, static_cast<unsigned long long>(api_.figures),
                    static_cast<unsigned long long>(api_.requests));
    }

private:
    std::unique_ptr<UsageMetering> makeDaemon(unsigned index)
    {
        UsageMetering::Options options;
        options.self = live_[index];
        options.incarnation = index + 1;
        options.send = [this, index](const std::string &address,
                                     const proto::PeerDatagram &datagram) {
            send(index, address, datagram);
        };
        options.livePeers = [this, index] {
            std::vector<LiveDaemon> peers = live_;
            peers.erase(peers.begin() + index);
            return peers;
        };
        return std::make_unique<UsageMetering>(
                std::move(options),
                UsageMetering::Dependencies{ .log = log_, .api = api_, .permit = permits_[index] },
                unixTime(), now_);
    }

    milliseconds unixTime() const
    {
        return std::chrono::duration_cast<milliseconds>(now_.time_since_epoch()) + kEpochOffset;
    }

    void countRequests()
    {
        const auto requests = load_.requestsPerSecond * kTick / std::chrono::seconds(1);
        for (unsigned i = 0; i < requests; ++i) {
            const std::string organisation = "org-"
                                             + std::to_string(random_() % load_.organisations);
            daemons_[random_() % load_.daemons]->recordRequest(organisation, milliseconds(0), now_);
        }
    }

    // Datagrams to mirrors are dropped.
    void send(unsigned sender, const std::string &address, const proto::PeerDatagram &datagram)
    {
        if (address == live_[kCollector].udpAddress)
            received_.emplace_back(sender, datagram.SerializeAsString());
        else if (sender == kCollector
                 && (datagram.has_usage_ack() || datagram.has_usage_figure_notice()))
            fromCollector_.emplace_back(address, datagram);
    }

    void runCollector()
    {
        const auto begin = processorTime();
        proto::PeerDatagram datagram;
        for (const auto &[sender, bytes] : received_) {
            ++datagrams_;
            bytes_ += static_cast<double>(bytes.size());
            if (datagram.ParseFromString(bytes))
                daemons_[kCollector]->handleDatagram(datagram, live_[sender].udpAddress, now_);
        }
        received_.clear();
        daemons_[kCollector]->tick(unixTime(), now_);
        used_ += processorTime() - begin;
        for (const auto &[address, sent] : std::exchange(fromCollector_, {})) {
            unsigned receiver = 0;
            std::from_chars(address.data(), address.data() + address.size(), receiver);
            daemons_[receiver]->handleDatagram(sent, live_[kCollector].udpAddress, now_);
        }
    }

    const Load load_;
    std::mt19937 random_{ 1 };
    BootClock::time_point now_{ std::chrono::seconds(1000) };
    MemoryLog log_;
    CountingApi api_;
    std::deque<HeldPermit> permits_;
    std::vector<LiveDaemon> live_;
    std::vector<std::unique_ptr<UsageMetering>> daemons_;
    std::vector<std::pair<unsigned, std::string>> received_;
    // Acknowledgements and notices for the other daemons.
    std::vector<std::pair<std::string, proto::PeerDatagram>> fromCollector_;
    double datagrams_ = 0;
    double bytes_ = 0;
    std::chrono::nanoseconds used_{ 0 };
};

} // namespace

} // namespace auburn::usage

int main()
{
    std::printf("daemons,requests_per_s,organisations,datagrams_per_s,kb_per_s,core_percent,"
                "log_kb,figures,requests\n");
    for (const auto &load : auburn::usage::kLoads) {
        auburn::usage::Fleet fleet(load);
        fleet.run();
        fleet.printResult();
    }
    return 0;
}
