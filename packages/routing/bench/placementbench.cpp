// Measures the cost of one placement by the owner of a cell: the selection of an engine and the
// bookkeeping of an attempt from start to end, with eight requests in progress at each engine.
//
// Prints CSV: number of engines in the cell, number of placements, and the p50 and p99 cost of one
// placement in microseconds of CPU time. CPU time excludes the time spent waiting for a core on a
// shared machine.
//
// A second table compares placements with and without learned speeds at servers that report their
// work time: the p50 costs and their ratio. Both take turns in one run, because the speed of a
// shared machine changes between runs.
#include "auburn/routing/cell.h"
#include "auburn/routing/placement.h"

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <deque>
#include <random>
#include <vector>

namespace {

using namespace auburn::routing;

constexpr unsigned kPlacements = 20000;
constexpr unsigned kInProgressPerEngine = 8;
constexpr unsigned kSessionsPerEngine = 35;
constexpr const char *kDomain = "a";

double cpuMicroseconds()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

class PlacementBench
{
public:
    PlacementBench(unsigned engines, bool learnedSpeeds)
        : engines_(engines)
        , placement_({ .failureDomain = kDomain,
                       .regions = { { kDomain, "r" } },
                       .learnedSpeeds = learnedSpeeds })
    {
        for (unsigned i = 0; i < engines; ++i) {
            const std::string id = "i-" + std::to_string(i);
            directory_.update({ .id = id,
                                .service = service_.name,
                                .address = "10.0.0.1:80",
                                .failureDomain = kDomain,
                                .slots = 32 },
                              i + 1);
        }
    }

    void placeMany(unsigned placements)
    {
        for (unsigned n = 0; n < placements; ++n) {
            const PlacementQuery query = nextQuery();
            now_ += std::chrono::microseconds(500);
            const double begin = cpuMicroseconds();
            place(query);
            costs_.push_back(cpuMicroseconds() - begin);
        }
    }

    // Returns the cost that the given share of the placements does not exceed.
    double percentile(double share)
    {
        std::sort(costs_.begin(), costs_.end());
        return costs_[static_cast<std::size_t>(share * static_cast<double>(costs_.size() - 1))];
    }

private:
    PlacementQuery nextQuery()
    {
        const std::uint64_t session = random_() % (std::uint64_t{ kSessionsPerEngine } * engines_);
        return { .service = &service_,
                 .prompt = { { .id = 1, .tokens = 2500 },
                             { .id = 100 + session, .tokens = 3800 },
                             { .id = ++lastPart_, .tokens = 2900 } },
                 .urgency = { .onTime = 2, .late = 3 },
                 .timeToTarget = std::chrono::milliseconds(600) };
    }

    void place(const PlacementQuery &query)
    {
        const auto choice = placement_.chooseInCell(directory_, { .failureDomain = kDomain }, query,
                                                    now_);
        if (!choice)
            return;
        placement_.attemptStarted(*choice, query);
        inProgress_.push_back(*choice);
        if (inProgress_.size() <= std::size_t{ kInProgressPerEngine } * engines_)
            return;
        const PlacementChoice oldest = inProgress_.front();
        inProgress_.pop_front();
        const unsigned workTime = 100 + static_cast<unsigned>(random_() % 30);
        placement_.recordLoadReport(
                oldest.serverId,
                { .running = kInProgressPerEngine, .slots = 32, .workTimePercent = workTime },
                now_);
        placement_.attemptProgressed(oldest, oldest.predicted, now_);
        placement_.attemptEnded(oldest, true, AttemptOutcome::Succeeded, now_);
    }

    const unsigned engines_;
    const Service service_{ .name = "engines",
                            .engine = EngineModel{ .slots = 32, .cacheTokens = 350000 } };
    ServerDirectory directory_;
    Placement placement_;
    Placement::TimePoint now_ = Placement::TimePoint() + std::chrono::hours(1);
    std::mt19937_64 random_{ 7 };
    std::uint64_t lastPart_ = 1000000;
    std::deque<PlacementChoice> inProgress_;
    std::vector<double> costs_;
};

void printCosts(unsigned engines)
{
    PlacementBench bench(engines, true);
    bench.placeMany(kPlacements);
    std::printf("%u,%u,%.1f,%.1f\n", engines, kPlacements, bench.percentile(0.5),
                bench.percentile(0.99));
}

void printRatio(unsigned servers)
{
    constexpr unsigned kTurn = 500;
    PlacementBench without(servers, false);
    PlacementBench with(servers, true);
    for (unsigned n = 0; n < kPlacements; n += kTurn) {
        without.placeMany(kTurn);
        with.placeMany(kTurn);
    }
    const double base = without.percentile(0.5);
    const double learned = with.percentile(0.5);
    std::printf("%u,%.2f,%.2f,%.3f\n", servers, base, learned, learned / base);
}

} // namespace

int main()
{
    std::puts("engines,placements,p50_us,p99_us");
    for (const unsigned engines : { 15U, 60U, 110U, 330U })
        printCosts(engines);
    std::puts("\nservers,without_p50_us,with_p50_us,ratio");
    for (const unsigned servers : { 18U, 60U, 330U })
        printRatio(servers);
}
