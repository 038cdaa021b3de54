// Simulates a burst of long prompts against Placement without a network. Engines prefill queued
// prompts one at a time, the most urgent first, and requests arrive faster than the engines can
// prefill them.

#include "auburn/routing/placement.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>
#include <vector>

namespace auburn::routing {

using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

constexpr double kTokensPerMs = 55;
constexpr double kFirstTokenMs = 75;

struct WaitingRequest
{
    PlacementChoice choice;
    PromptParts prompt;
    double arrivedMs = 0;
    bool large = false;
};

struct Engine
{
    std::vector<WaitingRequest> queue;
    EngineCache cache{ 400000 };
    double freeAtMs = 0;
};

struct Result
{
    unsigned arrived = 0;
    unsigned onTime = 0;
    unsigned large = 0;
    unsigned largeServed = 0;
    double prefilledTokens = 0;
};

// Discrete simulation in steps of one millisecond; a single daemon places all requests.
class Burst
{
public:
    Burst(bool yields, double requestsPerMs)
        : yieldsWhenLate_(yields)
        , requestsPerMs_(requestsPerMs)
    {
        for (int i = 0; i < kEngines; ++i)
            directory_.update({ .id = std::to_string(i),
                                .service = "engines",
                                .address = "x",
                                .failureDomain = "a",
                                .slots = 128 },
                              static_cast<std::uint64_t>(i) + 1);
    }

    Result run(double lengthMs)
    {
        for (double ms = 0; ms < lengthMs + 5000; ++ms) {
            if (ms < lengthMs && std::bernoulli_distribution(requestsPerMs_)(random_))
                addRequest(ms);
            for (int i = 0; i < kEngines; ++i)
                runEngine(engines_[i], ms);
        }
        return result_;
    }

private:
    static constexpr int kEngines = 12;

    Placement::TimePoint at(double ms) const
    {
        return start_ + microseconds(static_cast<std::int64_t>(ms * 1000));
    }

    void addRequest(double ms)
    {
        const std::uint64_t session = random_() % 230;
        const double drawn = std::lognormal_distribution<double>(7.4, 1.0)(random_);
        const auto own = static_cast<std::uint64_t>(std::min(drawn, 39600.0));
        const PlacementQuery query{ .service = &service_,
                                    .prompt = { { .id = 1 + session % 4, .tokens = 2500 },
                                                { .id = 100 + session, .tokens = 3800 },
                                                { .id = 1000000 + result_.arrived,
                                                  .tokens = own } },
                                    .urgency = { .onTime = 2, .late = yieldsWhenLate_ ? 3 : 2 },
                                    .timeToTarget = milliseconds(600) };
        const auto choice = placement_.choose(directory_, query, at(ms));
        placement_.attemptStarted(*choice, query);
        const bool large = own > 16000;
        ++result_.arrived;
        result_.large += large ? 1 : 0;
        engines_[std::stoi(choice->serverId)].queue.push_back(
                { .choice = *choice, .prompt = query.prompt, .arrivedMs = ms, .large = large });
    }

    void runEngine(Engine &engine, double ms)
    {
        if (engine.queue.empty() || engine.freeAtMs > ms)
            return;
        const auto next = std::min_element(engine.queue.begin(), engine.queue.end(),
                                           [](const WaitingRequest &l, const WaitingRequest &r) {
                                               return std::pair(l.choice.urgency, l.arrivedMs)
                                                      < std::pair(r.choice.urgency, r.arrivedMs);
                                           });
        const WaitingRequest request = *next;
        engine.queue.erase(next);
        const auto tokens = static_cast<double>(engine.cache.uncachedTokens(request.prompt));
        engine.cache.touch(request.prompt);
        result_.prefilledTokens += tokens;
        engine.freeAtMs = ms + tokens / kTokensPerMs;
        const double firstMs = engine.freeAtMs + kFirstTokenMs - request.arrivedMs;
        const auto first = microseconds(static_cast<std::int64_t>(firstMs * 1000));
        placement_.attemptProgressed(request.choice, first, at(engine.freeAtMs));
        placement_.attemptEnded(request.choice, true, AttemptOutcome::Succeeded,
                                at(engine.freeAtMs));
        result_.onTime += firstMs <= 600 ? 1 : 0;
        result_.largeServed += request.large && firstMs <= 5000 ? 1 : 0;
    }

    const bool yieldsWhenLate_;
    const double requestsPerMs_;
    const Service service_{ .name = "engines",
                            .engine = EngineModel{ .slots = 128, .cacheTokens = 400000 } };
    ServerDirectory directory_;
    Placement placement_{ { .failureDomain = "a", .regions = { { "a", "r" } } } };
    Engine engines_[kEngines];
    std::mt19937_64 random_{ 7 };
    const Placement::TimePoint start_ = Placement::TimePoint() + std::chrono::hours(1);
    Result result_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(burstOfLongPrompts)

// Guards against a burst beyond the engines' capacity that makes nearly every request late, as it
// does if late requests keep their place in the queue.
BOOST_AUTO_TEST_CASE(burst_aQuarterOverCapacity_mostAreOnTime)
{
    const Result withoutYielding = Burst(false, 0.24).run(9000);
    const Result withYielding = Burst(true, 0.24).run(9000);
    BOOST_TEST_MESSAGE("on time without yielding " << withoutYielding.onTime << ", with yielding "
                                                   << withYielding.onTime << " of "
                                                   << withYielding.arrived);
    BOOST_TEST(withYielding.onTime > 1.3 * withoutYielding.onTime);
}

// Guards against large prompts that wait until the end of the burst because a prompt of their size
// can never be on time.
BOOST_AUTO_TEST_CASE(burst_aQuarterOverCapacity_largePromptsAreServed)
{
    const Result withYielding = Burst(true, 0.24).run(9000);
    BOOST_TEST(withYielding.largeServed > withYielding.large * 0.8);
}

// Guards against a burst in which sessions move between engines and their shared parts are
// prefilled again and again: the prefilled tokens must stay close to the number of new tokens.
BOOST_AUTO_TEST_CASE(burst_nearCapacity_sharedPartsArePrefilledOnce)
{
    const Result result = Burst(true, 0.18).run(9000);
    const double perRequest = result.prefilledTokens / result.arrived;
    BOOST_TEST_MESSAGE("tokens read for each request " << perRequest);
    // A request has 2,700 tokens of its own on average. 230 session parts of 3,800 tokens and 12 x
    // 4 common parts of 2,500 tokens are each prefilled once.
    const double firstPrefills = (230 * 3800.0 + 48 * 2500.0) / result.arrived;
    BOOST_TEST(perRequest < 1.25 * (2700 + firstPrefills));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::routing
