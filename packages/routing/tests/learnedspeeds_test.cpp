// Simulates several daemons that place requests at the servers of one plain service whose speeds
// differ, on a seeded clock and without a network. Each daemon knows the requests of the others
// only from heartbeats.

#include "auburn/routing/placement.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <queue>
#include <random>

namespace auburn::routing {

namespace {

constexpr int kServers = 18;
constexpr unsigned kSlots = 6;
constexpr double kWorkMs = 40;
constexpr double kNetworkMs = 1;
constexpr double kHeartbeatMs = 500;
constexpr double kWarmUpMs = 4000;
constexpr double kStepMs = 500;

// EqualWeights: learning is on, but all servers report the usual speed.
enum class Mode { Off, EqualWeights, On };

struct Scenario
{
    // Work time of a server at a time, as a multiple of the usual one, with its running requests.
    std::function<double(int server, double ms, unsigned running)> workTime;
    // Offered load in requests that take the usual time, as a share of all slots.
    double load = 0.8;
    double lengthMs = 12000;
    // Responds with an error after 1 ms; -1 for none.
    int failing = -1;
    int daemons = 8;
};

struct Result
{
    unsigned completed = 0;
    unsigned failed = 0;
    double p95 = 0;
    // Number of requests placed at each server in each step.
    std::vector<std::vector<unsigned>> placed;
    // Highest number of requests at one server.
    unsigned mostAtOnce = 0;

    // Requests placed at a server from one time to another, as a share of an equal distribution.
    double share(int server, double fromMs, double toMs) const
    {
        double own = 0;
        double all = 0;
        for (auto step = static_cast<std::size_t>(fromMs / kStepMs); step < toMs / kStepMs;
             ++step) {
            own += placed[step][server];
            for (const unsigned count : placed[step])
                all += count;
        }
        return own / all * kServers;
    }
};

class Simulation
{
public:
    Simulation(Mode mode, Scenario scenario)
        : mode_(mode)
        , scenario_(std::move(scenario))
    {
        for (int i = 0; i < kServers; ++i)
            directory_.update({ .id = std::to_string(i),
                                .service = "plain",
                                .address = "x",
                                .failureDomain = "a",
                                .slots = kSlots },
                              static_cast<std::uint64_t>(i) + 1);
        for (int i = 0; i < scenario_.daemons; ++i)
            daemons_.emplace_back(Placement::Options{ .vm = "vm-" + std::to_string(i),
                                                      .failureDomain = "a",
                                                      .regions = { { "a", "r" } },
                                                      .learnedSpeeds = mode != Mode::Off });
        result_.placed.assign(static_cast<std::size_t>(scenario_.lengthMs / kStepMs) + 1,
                              std::vector<unsigned>(kServers));
    }

    Result run()
    {
        at(0, [this](double ms) { arrive(ms); });
        at(0, [this](double ms) { exchangeLoads(ms); });
        while (!events_.empty()) {
            const Event event = events_.top();
            events_.pop();
            event.action(event.ms);
        }
        std::sort(latencies_.begin(), latencies_.end());
        result_.p95 = latencies_[latencies_.size() * 95 / 100];
        return result_;
    }

private:
    using Action = std::function<void(double)>;
    struct Event
    {
        double ms;
        std::uint64_t number;
        Action action;
        bool operator<(const Event &other) const
        {
            return std::pair(ms, number) > std::pair(other.ms, other.number);
        }
    };
    struct Request
    {
        int daemon = 0;
        double arrivedMs = 0;
        PlacementChoice choice;
    };
    struct Server
    {
        unsigned running = 0;
        std::deque<Request> waiting;
    };

    void at(double ms, Action action) { events_.push({ ms, ++number_, std::move(action) }); }
    Placement::TimePoint time(double ms) const
    {
        return start_ + std::chrono::microseconds(static_cast<std::int64_t>(ms * 1000));
    }

    void exchangeLoads(double ms)
    {
        for (int from = 0; from < scenario_.daemons; ++from) {
            const auto loads = daemons_[from].ownLoads();
            for (int to = 0; to < scenario_.daemons; ++to) {
                if (to != from)
                    daemons_[to].recordPeerLoads(std::to_string(from), loads, time(ms));
            }
        }
        if (ms < scenario_.lengthMs)
            at(ms + kHeartbeatMs, [this](double next) { exchangeLoads(next); });
    }

    void arrive(double ms)
    {
        const double perMs = scenario_.load * kServers * kSlots / kWorkMs;
        const double next = ms + std::exponential_distribution<double>(perMs)(random_);
        if (next < scenario_.lengthMs)
            at(next, [this](double then) { arrive(then); });
        Request request{ .daemon = static_cast<int>(random_() % scenario_.daemons),
                         .arrivedMs = ms };
        Placement &daemon = daemons_[request.daemon];
        const PlacementQuery query{ .service = &service_, .repeatable = true };
        request.choice = *daemon.choose(directory_, query, time(ms));
        daemon.attemptStarted(request.choice, query);
        const int server = std::stoi(request.choice.serverId);
        ++result_.placed[static_cast<std::size_t>(ms / kStepMs)][server];
        at(ms + kNetworkMs, [this, server, request](double then) {
            servers_[server].waiting.push_back(request);
            startNext(server, then);
        });
    }

    void startNext(int number, double ms)
    {
        Server &server = servers_[number];
        const auto held = static_cast<unsigned>(server.running + server.waiting.size());
        if (ms > kWarmUpMs)
            result_.mostAtOnce = std::max(result_.mostAtOnce, held);
        if (server.waiting.empty() || server.running >= kSlots)
            return;
        const Request request = server.waiting.front();
        server.waiting.pop_front();
        ++server.running;
        const double usual = kWorkMs * std::uniform_real_distribution<double>(0.5, 1.5)(random_);
        const double workMs = number == scenario_.failing
                                      ? 1
                                      : usual * scenario_.workTime(number, ms, server.running);
        at(ms + workMs, [this, number, request](double then) { finish(number, request, then); });
    }

    void finish(int number, const Request &request, double ms)
    {
        Server &server = servers_[number];
        const double workTime = mode_ == Mode::EqualWeights
                                        ? 1
                                        : scenario_.workTime(number, ms, server.running);
        const LoadReport report{ .running = server.running,
                                 .waiting = static_cast<unsigned>(server.waiting.size()),
                                 .slots = kSlots,
                                 .workTimePercent = static_cast<unsigned>(workTime * 100) };
        --server.running;
        startNext(number, ms);
        at(ms + kNetworkMs, [this, number, request, report](double then) {
            Placement &daemon = daemons_[request.daemon];
            const bool failed = number == scenario_.failing;
            const auto since = time(then) - time(request.arrivedMs);
            daemon.recordLoadReport(request.choice.serverId, report, time(then));
            daemon.attemptProgressed(request.choice,
                                     std::chrono::duration_cast<std::chrono::microseconds>(since),
                                     time(then));
            daemon.attemptEnded(request.choice, true,
                                failed ? AttemptOutcome::ServerError : AttemptOutcome::Succeeded,
                                time(then));
            result_.failed += failed ? 1 : 0;
            if (!failed && then < scenario_.lengthMs)
                ++result_.completed;
            if (!failed && request.arrivedMs > kWarmUpMs)
                latencies_.push_back(then - request.arrivedMs);
        });
    }

    const Mode mode_;
    const Scenario scenario_;
    const Service service_{ .name = "plain" };
    ServerDirectory directory_;
    std::vector<Placement> daemons_;
    Server servers_[kServers];
    std::priority_queue<Event> events_;
    std::uint64_t number_ = 0;
    std::mt19937_64 random_{ 7 };
    const Placement::TimePoint start_ = Placement::TimePoint() + std::chrono::hours(1);
    std::vector<double> latencies_;
    Result result_;
};

Result simulate(Mode mode, const Scenario &scenario)
{
    Result result = Simulation(mode, scenario).run();
    BOOST_TEST_MESSAGE("mode " << static_cast<int>(mode) << ": p95 " << result.p95
                               << " ms, completed " << result.completed << ", failed "
                               << result.failed << ", most at once " << result.mostAtOnce);
    return result;
}

struct Comparison
{
    explicit Comparison(const Scenario &scenario)
        : off(simulate(Mode::Off, scenario))
        , equalWeights(simulate(Mode::EqualWeights, scenario))
        , on(simulate(Mode::On, scenario))
    {}

    const Result off;
    const Result equalWeights;
    const Result on;
};

double usual(int /*server*/, double /*ms*/, unsigned /*running*/)
{
    return 1;
}

double twoSpeeds(int server, double /*ms*/, unsigned /*running*/)
{
    return server % 2 == 0 ? 1 : 1.3;
}

// A sixth of the servers is slow for 600 ms at a time.
double noise(int server, double ms, unsigned /*running*/)
{
    const auto period = static_cast<std::uint64_t>((ms + server * 33) / 600);
    std::mt19937_64 draw(static_cast<std::uint64_t>(server) * 100000 + period);
    return draw() % 6 == 0 ? 2.5 : 1;
}

// A third of the servers completes no more work with more than half of its slots in use.
double slowFromHalf(int server, double /*ms*/, unsigned running)
{
    return server % 3 == 0 ? std::max(1.0, 2.0 * running / kSlots) : 1;
}

double slowForAWhile(int server, double ms, unsigned /*running*/)
{
    return server == 4 && ms > 5000 && ms < 11000 ? 5 : 1;
}

double allSlowForAWhile(int /*server*/, double ms, unsigned /*running*/)
{
    return ms > 5000 && ms < 9000 ? 1.6 : 1;
}

double slowDomain(int server, double /*ms*/, unsigned /*running*/)
{
    return server < kServers / 3 ? 1.3 : 1;
}

} // namespace

BOOST_AUTO_TEST_SUITE(learnedSpeeds)

// Guards against queues at servers that are slower for good and get as many requests as the others.
BOOST_AUTO_TEST_CASE(twoSpeeds_atEightTenthsOfCapacity_p95IsAQuarterLower)
{
    const Comparison runs({ .workTime = twoSpeeds, .load = 0.8 * (1 + 1 / 1.3) / 2 });
    BOOST_TEST(runs.on.p95 < 0.75 * runs.off.p95);
    BOOST_TEST(runs.on.p95 < runs.equalWeights.p95);
}

// Guards against estimates that average over the periods of a server that shares its machine.
BOOST_AUTO_TEST_CASE(noise_atEightTenthsOfCapacity_p95IsAQuarterLower)
{
    const Comparison runs({ .workTime = noise, .load = 0.8 * (5 + 1 / 2.5) / 6 });
    BOOST_TEST(runs.on.p95 < 0.75 * runs.off.p95);
    BOOST_TEST(runs.on.p95 < 0.85 * runs.equalWeights.p95);
    BOOST_TEST(runs.on.mostAtOnce < 3 * kSlots);
}

// Guards against servers that are filled to their slots although half of them does as much.
BOOST_AUTO_TEST_CASE(serversSlowFromHalf_p95IsAQuarterLower)
{
    const Comparison runs({ .workTime = slowFromHalf, .load = 0.8 * 5 / 6 });
    BOOST_TEST(runs.on.p95 < 0.75 * runs.off.p95);
    BOOST_TEST(runs.on.p95 < 0.75 * runs.equalWeights.p95);
}

BOOST_AUTO_TEST_CASE(equalServers_nearCapacity_goodputIsNotLower)
{
    const Comparison runs({ .workTime = usual, .load = 0.95 });
    BOOST_TEST(runs.on.completed > 0.98 * runs.off.completed);
    BOOST_TEST(runs.on.p95 < runs.off.p95);
}

// Guards against a server that keeps its requests after it became slow, or that is not tried again.
// Shares are relative to an equal distribution; its speed earns a fifth, then the whole.
BOOST_AUTO_TEST_CASE(oneServer_fiveTimesSlowerAndBack_shareFollowsWithinTwoSeconds)
{
    const Result run = simulate(Mode::On, { .workTime = slowForAWhile, .lengthMs = 15000 });
    const double slow = run.share(4, 7000, 11000);
    BOOST_TEST_MESSAGE("shares " << slow << " and " << run.share(4, 13000, 15000));
    BOOST_TEST(slow > 0);
    BOOST_TEST(slow < 0.1);
    BOOST_TEST(run.share(4, 13000, 15000) > 0.8);
    BOOST_TEST(run.share(4, 13000, 15000) < 1.2);
    // The daemons do not all send their requests there once it is fast.
    BOOST_TEST(run.mostAtOnce < 3 * kSlots);
}

// Guards against a server that looks idle because it fails its requests at once.
BOOST_AUTO_TEST_CASE(oneServer_failsFast_getsFewRequests)
{
    const Result run = simulate(Mode::On, { .workTime = usual, .load = 0.7, .failing = 5 });
    BOOST_TEST(run.failed < 0.003 * run.completed);
}

// Guards against limits and estimates that hold back work if no server is better.
BOOST_AUTO_TEST_CASE(allServers_slowerAtOnce_goodputIsNotLower)
{
    const Comparison runs({ .workTime = allSlowForAWhile, .load = 0.55 });
    BOOST_TEST(runs.on.completed > 0.98 * runs.off.completed);
    BOOST_TEST(runs.on.p95 < 0.75 * runs.off.p95);
    for (int server = 0; server < kServers; ++server)
        BOOST_TEST(std::abs(runs.on.share(server, 5000, 9000) - 1) < 0.3);
}

// Guards against a rush to the servers of which a daemon does not know yet that they are slower:
// with 40 daemons each sees a server only once in about 500 ms.
BOOST_AUTO_TEST_CASE(allServers_slowerAtOnce_manyDaemons_isNoWorseThanWithEqualWeights)
{
    const Comparison runs({ .workTime = allSlowForAWhile, .load = 0.55, .daemons = 40 });
    BOOST_TEST(runs.on.p95 < 1.02 * runs.equalWeights.p95);
}

BOOST_AUTO_TEST_CASE(slowFailureDomain_isNotStarved)
{
    const Result run = simulate(Mode::On, { .workTime = slowDomain, .load = 0.7 });
    for (int server = 0; server < kServers / 3; ++server)
        BOOST_TEST(run.share(server, kWarmUpMs, 12000) > 0.25);
}

// Guards against an old report that decides: 100 ms old it says much, 1 s old nothing.
BOOST_AUTO_TEST_CASE(report_grows_old_countsLess)
{
    const auto start = Placement::TimePoint() + std::chrono::hours(1);
    SpeedEstimator estimator;
    for (int i = 0; i < 20; ++i)
        estimator.recordReport({ .measuredAt = start + i * std::chrono::milliseconds(100) }, 1);
    const auto end = start + std::chrono::seconds(2);
    estimator.recordReport({ .workTimePercent = 300, .measuredAt = end }, 1);
    BOOST_TEST(estimator.workTime(end + std::chrono::milliseconds(100), CommonWorkTime()) > 2.5);
    BOOST_TEST(estimator.workTime(end + std::chrono::seconds(1), CommonWorkTime()) < 1.2);
    estimator.recordReport({ .workTimePercent = 900, .measuredAt = start }, 1);
    BOOST_TEST(estimator.workTime(end, CommonWorkTime()) == 3.0);
}

namespace {

struct CommonWorkTimeFixture
{
    // All servers report in turn, each 10 ms after the one before. The first ones have changed.
    void reportRound(int changed, double change)
    {
        for (int server = 0; server < kServers; ++server) {
            now += std::chrono::milliseconds(10);
            const double expected = common.workTime();
            common.record(&servers[server], (server < changed ? change : 1) / expected, now);
        }
    }

    CommonWorkTime common;
    std::array<char, kServers> servers{};
    Placement::TimePoint now = Placement::TimePoint() + std::chrono::hours(1);
};

} // namespace

// Guards against single slow servers that are taken for a slowdown of the service.
BOOST_FIXTURE_TEST_CASE(commonWorkTime_aThirdOfTheServersSlower_isUsual, CommonWorkTimeFixture)
{
    for (int round = 0; round < 5; ++round) {
        for (int server = 0; server < kServers; ++server) {
            now += std::chrono::milliseconds(10);
            common.record(&servers[server], server % 3 == 0 ? 2.5 : 1, now);
        }
    }
    BOOST_TEST(common.workTime() == 1);
}

// Guards against servers that look slower than the others only because they have reported a common
// slowdown first.
BOOST_FIXTURE_TEST_CASE(commonWorkTime_allServersSlower_appliesFromTheFirstReportOn,
                        CommonWorkTimeFixture)
{
    reportRound(0, 1);
    const Placement::TimePoint before = now;
    for (int round = 0; round < 4; ++round)
        reportRound(kServers, 1.6);
    BOOST_TEST(std::abs(common.workTime() / 1.6 - 1) < 0.05);
    BOOST_TEST(common.workTimeAt(before) == 1);
    BOOST_TEST(common.workTimeAt(before + std::chrono::milliseconds(10)) == common.workTime());
}

BOOST_AUTO_TEST_CASE(server_rejects_limitHoldsForAWhile)
{
    const auto start = Placement::TimePoint() + std::chrono::hours(1);
    SpeedEstimator estimator;
    estimator.recordRejection(2, start);
    BOOST_TEST(estimator.usefulConcurrency(16, start) == 2.0);
    BOOST_TEST(estimator.usefulConcurrency(16, start + std::chrono::seconds(7)) == 16.0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::routing
