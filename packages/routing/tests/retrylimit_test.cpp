// Tests the limit of retries of a whole fleet: the sum over all daemons must stay within the limit
// of each service although daemons restart, freeze, do not see each other and share no state.

#include "auburn/routing/fleetsize.h"
#include "auburn/routing/retrybudget.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace auburn::routing {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

using TimePoint = RetryBudget::TimePoint;

constexpr double kRatio = 0.2;
constexpr seconds kWindow{ 10 };
constexpr double kAllowance = 52;
constexpr unsigned kSmallFleet = 6;
const std::string kEngines = "engines";
const std::string kDesk = "desk";

// The requests and retries of one service in the order of their times, over all daemons.
struct ServiceTraffic
{
    std::vector<TimePoint> requests;
    std::vector<TimePoint> retries;
};

std::size_t countBetween(const std::vector<TimePoint> &times, TimePoint first, TimePoint last)
{
    const auto begin = std::lower_bound(times.begin(), times.end(), first);
    return static_cast<std::size_t>(std::upper_bound(begin, times.end(), last) - begin);
}

// Returns the largest number of retries in any window beyond what is allowed there; negative if no
// window exceeds the limit. The requests are those of the window, of the one before it or of the
// one half a window earlier, whichever has most.
double excess(const ServiceTraffic &traffic)
{
    double largest = -kAllowance;
    for (const TimePoint start : traffic.retries) {
        const auto requestsFrom = [&](TimePoint first) {
            return countBetween(traffic.requests, first, first + kWindow);
        };
        const std::size_t requests = std::max({ requestsFrom(start), requestsFrom(start - kWindow),
                                                requestsFrom(start - kWindow / 2) });
        const std::size_t retries = countBetween(traffic.retries, start, start + kWindow);
        largest = std::max(largest, static_cast<double>(retries)
                                            - kRatio * static_cast<double>(requests) - kAllowance);
    }
    return largest;
}

// A daemon of the simulated fleet. A restart replaces its process and so its budget.
class SimulatedDaemon
{
public:
    SimulatedDaemon() { restart(); }

    void restart()
    {
        fleetSize_ = FleetSize();
        budget_ = std::make_unique<RetryBudget>(RetryBudget::Options{
                .ratio = kRatio, .window = kWindow, .allowance = kAllowance });
        setLiveDaemons(1);
    }
    void setLiveDaemons(unsigned count)
    {
        fleetSize_.recordLive(count);
        budget_->setDaemonCount(fleetSize_.daemons());
    }
    void setRegisteredDaemons(unsigned count)
    {
        fleetSize_.recordRegistered(count);
        budget_->setDaemonCount(fleetSize_.daemons());
    }
    void recordRequest(const std::string &service, TimePoint now)
    {
        budget_->recordRequest(service, now);
    }
    bool tryConsumeRetry(const std::string &service, TimePoint now)
    {
        return budget_->tryConsumeRetry(service, now);
    }

    TimePoint frozenUntil;

private:
    FleetSize fleetSize_;
    std::unique_ptr<RetryBudget> budget_;
};

// Sends requests at a steady rate through a fleet of daemons. While a service fails, each of its
// requests is repeated until its attempts or the budget are used up.
struct RetryLimitFixture
{
    static constexpr unsigned kRetriesPerRequest = 2;

    void startFleet(unsigned daemons) { fleet = std::vector<SimulatedDaemon>(daemons); }

    void setLiveDaemons(unsigned count)
    {
        for (SimulatedDaemon &daemon : fleet)
            daemon.setLiveDaemons(count);
    }

    // Lets every daemon read the registrations of all daemons in the store.
    void setRegisteredDaemons()
    {
        for (SimulatedDaemon &daemon : fleet)
            daemon.setRegisteredDaemons(static_cast<unsigned>(fleet.size()));
    }

    void restartAll()
    {
        for (SimulatedDaemon &daemon : fleet)
            daemon.restart();
    }

    // Sends one request now through a random daemon. A frozen daemon handles it when it wakes up.
    void sendRequest(const std::string &service)
    {
        traffic[service].requests.push_back(now);
        SimulatedDaemon &daemon = fleet[random() % fleet.size()];
        if (daemon.frozenUntil > now)
            delayed.push_back({ daemon.frozenUntil, &daemon, service });
        else
            handleRequest(daemon, service);
    }

    void handleRequest(SimulatedDaemon &daemon, const std::string &service)
    {
        daemon.recordRequest(service, now);
        if (!failing[service])
            return;
        for (unsigned i = 0; i < kRetriesPerRequest && daemon.tryConsumeRetry(service, now); ++i)
            traffic[service].retries.push_back(now);
    }

    void handleDelayedRequests()
    {
        std::vector<DelayedRequest> waiting;
        waiting.swap(delayed);
        for (const DelayedRequest &request : waiting) {
            if (request.at <= now)
                handleRequest(*request.daemon, request.service);
            else
                delayed.push_back(request);
        }
    }

    // Plays the time with this number of requests a second to each service.
    void play(milliseconds time, const std::map<std::string, unsigned> &requestsPerSecond)
    {
        constexpr milliseconds kStep{ 20 };
        for (const TimePoint end = now + time; now < end; now += kStep) {
            handleDelayedRequests();
            for (const auto &[service, rate] : requestsPerSecond) {
                std::poisson_distribution<unsigned> count(
                        static_cast<double>(rate) * std::chrono::duration<double>(kStep).count());
                for (unsigned i = count(random); i > 0; --i)
                    sendRequest(service);
            }
        }
    }

    void checkLimit()
    {
        for (const auto &[service, sent] : traffic) {
            BOOST_TEST_CONTEXT(service << ": " << sent.retries.size() << " retries for "
                                       << sent.requests.size() << " requests")
            BOOST_TEST(excess(sent) <= 0);
        }
    }

    struct DelayedRequest
    {
        TimePoint at;
        SimulatedDaemon *daemon;
        std::string service;
    };

    std::mt19937_64 random{ 1 };
    TimePoint now = TimePoint() + std::chrono::hours(1);
    std::vector<SimulatedDaemon> fleet;
    std::vector<DelayedRequest> delayed;
    std::map<std::string, bool> failing;
    std::map<std::string, ServiceTraffic> traffic;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(retryLimit, RetryLimitFixture)

// Guards against a daemon that spends its share again after each restart within one window.
BOOST_AUTO_TEST_CASE(sum_daemonsRestartTwiceInAWindow_staysWithinTheLimit)
{
    startFleet(kSmallFleet);
    setRegisteredDaemons();
    play(seconds(20), { { kEngines, 190 } });
    failing[kEngines] = true;
    for (int restarts = 0; restarts < 2; ++restarts) {
        play(seconds(3), { { kEngines, 190 } });
        restartAll();
        setRegisteredDaemons();
    }
    play(seconds(12), { { kEngines, 190 } });
    checkLimit();
}

// Guards against daemons that take the shares of those that they do not see.
BOOST_AUTO_TEST_CASE(sum_daemonsDoNotSeeEachOther_staysWithinTheLimit)
{
    startFleet(kSmallFleet);
    setRegisteredDaemons();
    play(seconds(20), { { kDesk, 10 } });
    setLiveDaemons(1);
    failing[kDesk] = true;
    play(seconds(20), { { kDesk, 10 } });
    checkLimit();
}

// Guards against a large fleet in which each daemon takes the whole allowance until it has heard
// from the others.
BOOST_AUTO_TEST_CASE(sum_largeFleetHasJustStarted_staysWithinTheLimit)
{
    startFleet(277);
    failing[kDesk] = true;
    play(seconds(5), { { kDesk, 300 } });
    setRegisteredDaemons();
    play(seconds(10), { { kDesk, 300 } });
    checkLimit();
}

// Guards against requests of a healthy service that pay for retries at a failing one.
BOOST_AUTO_TEST_CASE(sum_oneOfTwoServicesFails_staysWithinItsOwnLimit)
{
    startFleet(kSmallFleet);
    setRegisteredDaemons();
    play(seconds(20), { { kEngines, 300 }, { kDesk, 60 } });
    failing[kDesk] = true;
    play(seconds(15), { { kEngines, 300 }, { kDesk, 60 } });
    checkLimit();
}

// Guards against the burst of retries of daemons that handle, after a freeze, all the requests that
// have waited for them.
BOOST_AUTO_TEST_CASE(sum_frozenDaemonsWakeUp_staysWithinTheLimit)
{
    startFleet(kSmallFleet);
    setRegisteredDaemons();
    play(seconds(20), { { kEngines, 190 } });
    failing[kEngines] = true;
    play(seconds(4), { { kEngines, 190 } });
    for (std::size_t i = 0; i < 4; ++i)
        fleet[i].frozenUntil = now + seconds(4);
    play(seconds(14), { { kEngines, 190 } });
    checkLimit();
}

// Guards against combinations of restarts, freezes, cuts, bursts and gaps in the traffic.
BOOST_AUTO_TEST_CASE(sum_randomFaults_staysWithinTheLimit)
{
    for (unsigned seed = 1; seed <= 50; ++seed) {
        random.seed(seed);
        traffic.clear();
        delayed.clear();
        failing[kEngines] = false;
        const unsigned daemons = seed % 5 == 0 ? 60 : kSmallFleet;
        startFleet(daemons);
        setRegisteredDaemons();
        for (unsigned step = 0; step < 30; ++step) {
            SimulatedDaemon &daemon = fleet[random() % fleet.size()];
            switch (random() % 6) {
            case 0:
                daemon.restart();
                break;
            case 1:
                restartAll();
                if (random() % 2 == 0)
                    setRegisteredDaemons();
                break;
            case 2:
                daemon.frozenUntil = now + milliseconds(random() % 5000);
                break;
            case 3:
                daemon.setLiveDaemons(1 + random() % daemons);
                break;
            default:
                failing[kEngines] = random() % 4 != 0;
                break;
            }
            const unsigned rate = random() % 5 == 0 ? 400 : 100 + random() % 100;
            play(milliseconds(300 + random() % 2500), { { kEngines, rate } });
        }
        BOOST_TEST_CONTEXT("seed " << seed)
        checkLimit();
    }
}

// A server that crashes breaks off a few requests of each daemon, and these must not fail because
// of a limit that is meant for outages.
BOOST_AUTO_TEST_CASE(retries_oneServerOfTwelveCrashes_areAllGranted)
{
    startFleet(kSmallFleet);
    setRegisteredDaemons();
    play(seconds(30), { { kEngines, 84 } });
    for (SimulatedDaemon &daemon : fleet) {
        for (int request = 0; request < 4; ++request)
            BOOST_TEST(daemon.tryConsumeRetry(kEngines, now));
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::routing
