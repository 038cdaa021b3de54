// Measures the CPU time of one scheduling decision: a release, which grants the slot to the next
// waiting request, and a new request, which keeps the queue length constant. One cell has all
// backend servers of a failure domain, which is the worst case of the division into cells.
//
// Prints CSV: organisations, backend servers, tiers, decisions, and the CPU time in microseconds at
// p50, p99 and p99.9. CPU time excludes waits for a core on a shared machine.
#include "auburn/schedule/cellscheduler.h"

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <deque>
#include <random>

namespace {

using namespace auburn;
using Clock = std::chrono::steady_clock;

constexpr unsigned kBackendServers = 330;
constexpr unsigned kSlots = 8;
constexpr unsigned kTiers = 8;
constexpr unsigned kWaiting = 1000;
constexpr unsigned kDecisions = 200000;

double cpuMicroseconds()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

std::vector<BackendServerSpec> makeBackendServers()
{
    std::vector<BackendServerSpec> backendServers;
    backendServers.reserve(kBackendServers);
    for (unsigned i = 0; i < kBackendServers; ++i) {
        backendServers.push_back(BackendServerSpec{ .name = "server-" + std::to_string(i),
                                                    .address = "127.0.0.1:9000",
                                                    .slots = kSlots });
    }
    return backendServers;
}

class DecisionBench
{
public:
    explicit DecisionBench(unsigned organisations)
        : organisations_(organisations)
    {
        cell_.configure(makeBackendServers(), now_);
        for (unsigned i = 0; i < kBackendServers * kSlots + kWaiting; ++i)
            request();
    }

    void run()
    {
        std::vector<double> costs;
        costs.reserve(kDecisions);
        for (unsigned i = 0; i < kDecisions; ++i) {
            now_ += std::chrono::microseconds(500);
            costs.push_back(release());
            costs.back() += request();
        }
        std::sort(costs.begin(), costs.end());
        std::printf("%u,%u,%u,%u,%.2f,%.2f,%.2f\n", organisations_, kBackendServers, kTiers,
                    kDecisions, costs[kDecisions / 2], costs[kDecisions * 99 / 100],
                    costs[kDecisions * 999ULL / 1000]);
    }

private:
    template<typename Call>
    double timed(Call call)
    {
        const double start = cpuMicroseconds();
        const SlotEvents events = call();
        const double cost = cpuMicroseconds() - start;
        for (const SlotEvent &event : events) {
            if (const auto *grant = std::get_if<SlotGranted>(&event))
                slots_.push_back(grant->slotId);
        }
        return cost;
    }

    double request()
    {
        const IncomingSlotRequest slotRequest{
            .requester = "requester",
            .requestId = std::to_string(nextId_++),
            .tier = static_cast<unsigned>(random_() % kTiers),
            .organisation = "org-" + std::to_string(random_() % organisations_),
            .prefixHash = random_() % 5000,
            .since = now_,
            .deadline = now_ + std::chrono::minutes(10)
        };
        return timed([&] { return cell_.request(slotRequest, now_); });
    }

    double release()
    {
        std::swap(slots_[random_() % slots_.size()], slots_.front());
        const std::string slot = slots_.front();
        slots_.pop_front();
        const SlotReport report{ .outcome = SlotOutcome::Completed,
                                 .firstToken = std::chrono::milliseconds(100 + random_() % 50),
                                 .tokenGap = std::chrono::milliseconds(20) };
        return timed([&] { return cell_.release("requester", slot, report, now_); });
    }

    unsigned organisations_;
    std::mt19937 random_{ 1 };
    Clock::time_point now_{ std::chrono::hours(1) };
    CellScheduler cell_{ CellScheduler::Options{
            .service = "s",
            .owner = "self",
            .queue = { .tiers = kTiers, .sharedCapacity = 2ULL * kWaiting } } };
    std::deque<std::string> slots_;
    unsigned nextId_ = 0;
};

} // namespace

int main()
{
    std::printf("organisations,backend_servers,tiers,decisions,p50_us,p99_us,p999_us\n");
    for (const unsigned organisations : { 10U, 1000U, 21000U, 100000U }) {
        DecisionBench bench(organisations);
        bench.run();
    }
    return 0;
}
