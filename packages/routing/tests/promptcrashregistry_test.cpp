#include "auburn/routing/crashregistry.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

namespace auburn::routing {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t kCommon = 1;
constexpr std::uint64_t kBad = 2;
constexpr std::uint64_t kOther = 3;

// Daemons that exchange all their reports.
struct PromptPartCrashFixture
{
    void exchangeReports()
    {
        for (std::size_t from = 0; from < daemons.size(); ++from) {
            for (const CrashReport &report : daemons[from].ownReports(24, now)) {
                for (std::size_t to = 0; to < daemons.size(); ++to) {
                    if (to != from)
                        daemons[to].mergePeer(std::to_string(from), report, now);
                }
            }
        }
    }

    // Lets a daemon record a crash of a request with both parts, then exchanges all reports.
    void crash(std::size_t daemon)
    {
        daemons[daemon].recordCrash({ kCommon, kBad }, now);
        exchangeReports();
        now += milliseconds(500);
    }

    void succeed(std::size_t daemon, const CrashRegistry::Causes &parts)
    {
        daemons[daemon].recordSuccess(parts, now);
        exchangeReports();
    }

    // Copies of one registry would draw the same times of their trials.
    static std::vector<CrashRegistry> makeDaemons(std::size_t count)
    {
        std::vector<CrashRegistry> made;
        for (std::size_t i = 0; i < count; ++i)
            made.emplace_back(kPromptPartCrashOptions);
        return made;
    }

    bool isBlocked(std::size_t daemon, std::uint64_t part)
    {
        return daemons[daemon].blockedCause({ part }, now).has_value();
    }

    // Crashes engines through different daemons until the part is blocked everywhere; the other
    // part succeeds in between.
    void blockBadPart()
    {
        for (unsigned i = 0; i < kPromptCrashLimit; ++i) {
            crash(i % daemons.size());
            succeed(0, { kCommon });
        }
    }

    std::vector<CrashRegistry> daemons = makeDaemons(3);
    CrashRegistry::TimePoint now = CrashRegistry::TimePoint() + std::chrono::hours(1);
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(promptCrashRegistry, PromptPartCrashFixture)

// Guards against requests that come at a different daemon each time, so that none alone sees enough
// crashes.
BOOST_AUTO_TEST_CASE(crashes_atDifferentDaemons_blockThePartEverywhere)
{
    blockBadPart();
    for (std::size_t daemon = 0; daemon < daemons.size(); ++daemon) {
        BOOST_TEST(isBlocked(daemon, kBad));
        BOOST_TEST(!isBlocked(daemon, kCommon));
        BOOST_TEST(!isBlocked(daemon, kOther));
    }
}

// Guards against a restarted daemon that lets the requests through again.
BOOST_AUTO_TEST_CASE(daemon_startsAfterTheCrashes_blocksThePartToo)
{
    blockBadPart();
    daemons[1] = CrashRegistry(kPromptPartCrashOptions);
    exchangeReports();
    BOOST_TEST(isBlocked(1, kBad));
    BOOST_TEST(!isBlocked(1, kCommon));
}

// The loss of a failure domain ends many engines at once, whatever they run.
BOOST_AUTO_TEST_CASE(crashes_atTheSameTime_countOnce)
{
    for (unsigned i = 0; i < 10; ++i)
        daemons[i % daemons.size()].recordCrash({ kCommon, kBad }, now);
    exchangeReports();
    for (std::size_t daemon = 0; daemon < daemons.size(); ++daemon)
        BOOST_TEST(!isBlocked(daemon, kBad));
}

// Guards against a sound part that stays blocked although another daemon runs requests with it.
BOOST_AUTO_TEST_CASE(blockedPart_succeedsAtAnyDaemon_isUnblockedEverywhere)
{
    blockBadPart();
    succeed(2, { kBad });
    exchangeReports();
    for (std::size_t daemon = 0; daemon < daemons.size(); ++daemon)
        BOOST_TEST(!isBlocked(daemon, kBad));
}

// A part that was blocked by mistake must come back, but each trial may end an engine.
// Guards against a sound part that is blocked together with the crashing one because no request
// succeeds with it between the crashes.
BOOST_AUTO_TEST_CASE(crashes_besideAPartThatSucceededBefore_areBlamedOnTheOther)
{
    succeed(0, { kCommon });
    now += seconds(1);
    for (unsigned i = 0; i < kPromptCrashLimit + 2; ++i)
        crash((i + 1) % daemons.size());
    for (std::size_t i = 0; i < daemons.size(); ++i) {
        BOOST_TEST(isBlocked(i, kBad));
        BOOST_TEST(!isBlocked(i, kCommon));
    }
}

// Guards against a part that becomes known as sound and then crashes engines unhindered.
BOOST_AUTO_TEST_CASE(crashes_ofAPartThatSucceededBefore_blockItAfterAFewMore)
{
    for (std::size_t i = 0; i < daemons.size(); ++i)
        daemons[i].recordSuccess({ kCommon, kBad }, now);
    now += seconds(1);
    for (unsigned i = 0; i < 2 * kPromptCrashLimit; ++i)
        crash(i % daemons.size());
    for (std::size_t i = 0; i < daemons.size(); ++i)
        BOOST_TEST(isBlocked(i, kBad));
}

// Guards against crashes of requests that had been sent before their part was blocked: their other
// parts must not be blocked for them.
BOOST_AUTO_TEST_CASE(crashes_besideABlockedPart_areExplainedByIt)
{
    blockBadPart();
    for (unsigned i = 0; i < 2 * kPromptCrashLimit; ++i) {
        daemons[0].recordCrash({ kOther, kBad }, now);
        exchangeReports();
        now += milliseconds(500);
    }
    for (std::size_t i = 0; i < daemons.size(); ++i)
        BOOST_TEST(!isBlocked(i, kOther));
}

// Guards against a trial of a sound part that is used up by a request that is rejected for another
// part.
BOOST_AUTO_TEST_CASE(trial_requestWithTwoBlockedParts_usesNone)
{
    for (unsigned i = 0; i < kPromptCrashLimit; ++i)
        crash(0);
    now += minutes(1);
    for (int i = 0; i < 10; ++i)
        BOOST_TEST(daemons[0].blockedCause({ kCommon, kBad }, now).has_value());
    BOOST_TEST(!isBlocked(0, kCommon));
}

BOOST_AUTO_TEST_CASE(blockedPart_requestsGoOn_isTriedTwiceAtMost)
{
    blockBadPart();
    unsigned trials = 0;
    for (const auto end = now + minutes(9); now < end; now += seconds(1)) {
        for (std::size_t daemon = 0; daemon < daemons.size(); ++daemon) {
            if (isBlocked(daemon, kBad))
                continue;
            ++trials;
            daemons[daemon].recordCrash({ kBad }, now);
            exchangeReports();
        }
    }
    BOOST_TEST(trials > 0U);
    BOOST_TEST(trials <= 2U);
}

BOOST_AUTO_TEST_CASE(blockedPart_notUsedForLong_isForgotten)
{
    blockBadPart();
    now += minutes(11);
    for (std::size_t daemon = 0; daemon < daemons.size(); ++daemon)
        BOOST_TEST(!isBlocked(daemon, kBad));
}

// Guards against popular parts that stay in all heartbeats because every success is news.
BOOST_AUTO_TEST_CASE(successes_withoutNewCrashes_areNotReported)
{
    crash(0);
    for (const auto end = now + minutes(3); now < end; now += seconds(1)) {
        for (std::size_t daemon = 0; daemon < daemons.size(); ++daemon)
            daemons[daemon].recordSuccess({ kCommon, kBad }, now);
        exchangeReports();
    }
    for (const CrashRegistry &daemon : daemons)
        BOOST_TEST(daemon.ownReports(24, now).empty());
}

// Guards against reports that keep each other alive after the requests have stopped.
BOOST_AUTO_TEST_CASE(reports_withoutNewCrashes_expire)
{
    daemons[0].recordCrash({ kBad }, now);
    daemons[1].recordCrash({ kBad }, now);
    for (const auto end = now + minutes(3); now < end; now += seconds(1))
        exchangeReports();
    BOOST_TEST(daemons[0].ownReports(24, now).empty());
}

// Guards against memory, and time for each request, that grow with the number of parts in callers'
// prompts.
BOOST_AUTO_TEST_CASE(successes_ofManyParts_areBounded)
{
    constexpr std::size_t kBound = 40000;
    CrashRegistry registry(kPromptPartCrashOptions);
    for (std::uint64_t request = 0; request < 200; ++request) {
        CrashRegistry::Causes parts;
        for (std::uint64_t part = 0; part < 1000; ++part)
            parts.push_back(request * 1000 + part);
        registry.recordSuccess(parts, now);
    }
    BOOST_TEST(registry.rememberedSuccesses() <= kBound);
    BOOST_TEST(registry.rememberedSuccesses() > 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::routing
