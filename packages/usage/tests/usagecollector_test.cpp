// Tests what the platform is told about each window when daemons, the log or the network fail.

#include "figurerecord.h"
#include "usagefixture.h"

#include <algorithm>

namespace auburn::usage {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Counts = std::map<std::string, std::uint64_t>;

namespace {

// Three daemons, of which "a" holds the duties, at the beginning of a window.
struct RunningFixture : UsageFixture
{
    RunningFixture()
    {
        for (const char *vm : { "a", "b", "c" })
            start(vm);
        giveDuties("a");
        first = window() + 2;
        runToWindow(first, milliseconds(100));
    }

    std::uint64_t first = 0;
};

// Key of the log records of a window.
std::string keyOf(std::uint64_t window)
{
    return std::to_string(window % figureKeyCount(kDefaultWindowLength));
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(usageCollector, RunningFixture)

BOOST_AUTO_TEST_CASE(window_countedByAllDaemons_isReportedOnceWithTheSum)
{
    count("a", "x", 2);
    count("b", "x", 3);
    count("c", "y");
    runToWindow(first + 1, seconds(2));
    BOOST_TEST((reported(first) == Counts{ { "x", 5 }, { "y", 1 } }));
    const std::size_t calls = api.figures.size();
    run(seconds(2));
    BOOST_TEST(api.figures.size() == calls);
}

BOOST_AUTO_TEST_CASE(window_withoutRequests_isReportedAsEmpty)
{
    runToWindow(first + 1, seconds(2));
    BOOST_REQUIRE(!api.figures.empty());
    BOOST_TEST(api.figures.back().window == first);
    BOOST_TEST(api.figures.back().requests.empty());
}

// Guards against counts of small organisations that move to another window or get lost with a
// datagram: one of 10 requests is more than 5%.
BOOST_AUTO_TEST_CASE(smallOrganisation_datagramsLost_isCountedExactly)
{
    lossPeriod = 5;
    for (int i = 0; i < 10; ++i) {
        count(i % 2 == 0 ? "b" : "c", "small");
        run(milliseconds(400));
    }
    runToWindow(first + 1, seconds(6));
    BOOST_TEST((reported(first) == Counts{ { "small", 10 } }));
    BOOST_TEST(reported(first + 1).empty());
}

// A response that arrives after the end of the window counts for the window of its request.
BOOST_AUTO_TEST_CASE(plainRequest_respondedToAfterTheWindow_countsForItsWindow)
{
    runToWindow(first, milliseconds(4900));
    run(milliseconds(700));
    count("b", "x", 1, milliseconds(700));
    runToWindow(first + 1, seconds(3));
    BOOST_TEST((reported(first) == Counts{ { "x", 1 } }));
}

// Guards against counts for a closed window that change its figure.
BOOST_AUTO_TEST_CASE(count_afterTheWindowIsClosed_isDropped)
{
    count("b", "x");
    runToWindow(first + 1, seconds(3));
    count("b", "x", 1, seconds(5));
    run(seconds(3));
    BOOST_TEST((reported(first) == Counts{ { "x", 1 } }));
    BOOST_TEST(metrics.counter("auburn_usage_late_requests_total", "").value() == 1U);
}

// A killed daemon is in the list of live ones for some time: the window must not wait for it
// longer than 4 s.
BOOST_AUTO_TEST_CASE(window_reporterSilent_isClosedAtTheDeadline)
{
    count("b", "x");
    runToWindow(first, seconds(3));
    silenced = "b";
    runToWindow(first + 1, milliseconds(3500));
    BOOST_TEST(reported(first).empty());
    runToWindow(first + 1, milliseconds(4200));
    BOOST_TEST((reported(first) == Counts{ { "x", 1 } }));
}

// A restarted daemon counts from 0: its counts must be added to those of its predecessor.
BOOST_AUTO_TEST_CASE(daemon_restartedInAWindow_countsOfBothAreAdded)
{
    count("b", "x", 4);
    run(milliseconds(300));
    start("b");
    count("b", "x", 3);
    runToWindow(first + 1, seconds(2));
    BOOST_TEST((reported(first) == Counts{ { "x", 7 } }));
}

// Guards against a second, different figure by the new holder.
BOOST_AUTO_TEST_CASE(holder_killedBetweenCommitAndCall_nextOneSendsTheSameFigure)
{
    count("b", "x", 4);
    api.received = false;
    api.status = duties::CallStatus::Unknown;
    runToWindow(first + 1, milliseconds(1500));
    BOOST_REQUIRE(log.items.contains(keyOf(first)));
    kill("a");
    start("d");
    count("d", "x", 1, seconds(2));
    api.received = true;
    api.status = duties::CallStatus::Accepted;
    run(seconds(3));
    giveDuties("d");
    run(milliseconds(300));
    BOOST_TEST((reported(first) == Counts{ { "x", 4 } }));
    // What the daemons report to the new holder again is in the figure, so it is not late.
    BOOST_TEST(metrics.counter("auburn_usage_late_requests_total", "").value() == 0U);
}

// A call whose response is lost is repeated with the same counts.
BOOST_AUTO_TEST_CASE(call_responseLost_isRepeatedUnchanged)
{
    count("b", "x", 4);
    runToWindow(first + 1, milliseconds(900));
    api.figures.clear();
    api.status = duties::CallStatus::Unknown;
    run(milliseconds(2600));
    // At once and after 300, 600 and 1,200 ms.
    BOOST_TEST(api.figures.size() == 4U);
    api.status = duties::CallStatus::Accepted;
    run(seconds(3));
    BOOST_TEST((reported(first) == Counts{ { "x", 4 } }));
}

// Guards against a figure that the platform rejects every time and that delays the newer ones
// beyond their deadline of 10 s.
BOOST_AUTO_TEST_CASE(figure_alwaysRejected_newerOnesAreSentInTime)
{
    api.rejected = { first };
    runToWindow(first + 1, milliseconds(100));
    count("b", "x", 4);
    runToWindow(first + 2, seconds(4));
    BOOST_TEST((reported(first + 1) == Counts{ { "x", 4 } }));
}

// Guards against reports that repeat all counts each second while a window cannot be closed: with
// many daemons the holder would spend most of its time on merging them.
BOOST_AUTO_TEST_CASE(window_notClosedForLong_acknowledgedCountsAreNotRepeated)
{
    constexpr unsigned kOrganisations = 50;
    for (unsigned i = 0; i < kOrganisations; ++i)
        count("b", "huka" + std::to_string(i));
    log.mode = FakeLog::Mode::Down;
    run(seconds(20));
    // At most two reports of changes and one complete report.
    BOOST_TEST(countsReceived <= 3U * kOrganisations);
    log.mode = FakeLog::Mode::Works;
    run(seconds(5));
    BOOST_TEST(reported(first).size() == kOrganisations);
}

// Guards against counts that are taken for acknowledged although the report was lost.
BOOST_AUTO_TEST_CASE(completeReports_allLostForSomeTime_areRepeated)
{
    silenced = "b";
    count("b", "x", 4);
    run(milliseconds(2500));
    silenced.clear();
    runToWindow(first + 1, seconds(3));
    BOOST_TEST((reported(first) == Counts{ { "x", 4 } }));
}

BOOST_AUTO_TEST_CASE(commit_responseLost_isFoundInTheLog)
{
    count("b", "x", 4);
    runToWindow(first + 1, milliseconds(900));
    log.mode = FakeLog::Mode::LosesResponses;
    run(milliseconds(600));
    log.mode = FakeLog::Mode::Works;
    const std::uint64_t end = log.end;
    run(seconds(1));
    BOOST_TEST(log.end == end);
    BOOST_TEST((reported(first) == Counts{ { "x", 4 } }));
}

// The old holder's append is executed after the new one has listed the log, with other counts than
// the new one knows: the new one's append fails, and it sends what is recorded.
BOOST_AUTO_TEST_CASE(commit_executedLate_isTheFigureThatTheNextHolderSends)
{
    count("c", "x", 4);
    runToWindow(first, seconds(4));
    log.mode = FakeLog::Mode::DelaysAppends;
    runToWindow(first + 1, milliseconds(1300));
    BOOST_REQUIRE(!log.delayed.empty());
    log.delayed.resize(1);
    log.mode = FakeLog::Mode::Works;
    kill("a");
    kill("c");
    start("c");
    run(seconds(3));
    giveDuties("b");
    run(milliseconds(500));
    log.executeDelayed();
    run(seconds(4));
    BOOST_TEST((reported(first) == Counts{ { "x", 4 } }));
}

// Two daemons that both consider themselves the holder commit one figure.
BOOST_AUTO_TEST_CASE(holders_twoRace_onlyOneFigureIsSent)
{
    count("b", "x", 4);
    run(seconds(2));
    FakePermit &second = daemons.at("b")->permit;
    second.number = holder.token + 1;
    second.held = true;
    runToWindow(first + 1, seconds(8));
    reported(first);
    reported(first + 1);
    BOOST_TEST((reported(first) == Counts{ { "x", 4 } }));
}

BOOST_AUTO_TEST_CASE(store_downForTwoWindows_allWindowsAreReportedAfterwards)
{
    count("b", "x", 4);
    runToWindow(first, seconds(3));
    log.mode = FakeLog::Mode::Down;
    // The holder cannot renew the lease.
    run(seconds(3));
    daemons.at("a")->permit.held = false;
    runToWindow(first + 1, seconds(3));
    count("c", "x", 2);
    runToWindow(first + 2, seconds(3));
    count("a", "y", 1);
    log.mode = FakeLog::Mode::Works;
    daemons.at("a")->permit.held = true;
    runToWindow(first + 3, seconds(2));
    BOOST_TEST((reported(first) == Counts{ { "x", 4 } }));
    BOOST_TEST((reported(first + 1) == Counts{ { "x", 2 } }));
    BOOST_TEST((reported(first + 2) == Counts{ { "y", 1 } }));
}

// Windows that were open when the holder changed, also when nobody held the duties for a while.
BOOST_AUTO_TEST_CASE(holder_lost_openWindowsAreReportedByTheNextOne)
{
    count("b", "x", 4);
    count("c", "y", 2);
    run(seconds(2));
    kill("a");
    runToWindow(first + 1, milliseconds(500));
    count("c", "y", 1);
    giveDuties("c");
    runToWindow(first + 1, milliseconds(2500));
    BOOST_TEST((reported(first) == Counts{ { "x", 4 }, { "y", 2 } }));
    runToWindow(first + 2, milliseconds(2500));
    BOOST_TEST((reported(first + 1) == Counts{ { "y", 1 } }));
}

// The killed daemons cannot report to the new holder, and the old one cannot pass on what it knew.
BOOST_AUTO_TEST_CASE(holderAndAnotherDaemon_killed_theirCountsAreReported)
{
    count("a", "x", 1);
    count("b", "x", 2);
    count("c", "x", 4);
    run(milliseconds(200));
    kill("a");
    kill("b");
    run(seconds(4));
    giveDuties("c");
    runToWindow(first + 1, seconds(7));
    BOOST_TEST((reported(first) == Counts{ { "x", 7 } }));
}

// In a large fleet not every daemon knows all counts: the mirrors in the other failure domain must
// pass them on.
BOOST_AUTO_TEST_CASE(largeFleet_failureDomainOfTheHolderKilled_itsCountsAreReported)
{
    for (unsigned i = 0; i < 20; ++i) {
        start("a" + std::to_string(i));
        start("z" + std::to_string(i));
    }
    runToWindow(first + 1, milliseconds(100));
    for (const auto &[vm, daemon] : daemons)
        count(vm, "x");
    const std::size_t requests = daemons.size();
    run(milliseconds(500));
    std::erase_if(daemons, [](const auto &item) { return item.first[0] == 'a'; });
    run(seconds(4));
    giveDuties("z7");
    runToWindow(first + 2, seconds(5));
    BOOST_TEST((reported(first + 1) == Counts{ { "x", requests } }));
}

// An empty figure would be wrong if those that could report the window were replaced.
BOOST_AUTO_TEST_CASE(window_beforeTheHolderThatNobodyReported_isNotReported)
{
    for (const char *vm : { "a", "b", "c" })
        kill(vm);
    start("d");
    runToWindow(first + 2, seconds(1));
    giveDuties("d");
    runToWindow(first + 3, seconds(3));
    for (const duties::UsageFigure &figure : api.figures)
        BOOST_TEST((figure.window < first || figure.window >= first + 2));
}

BOOST_AUTO_TEST_CASE(clocks_ofAMinorityJump_countsStayInTheirWindows)
{
    runToWindow(first, milliseconds(3500));
    daemons.at("b")->wallError = seconds(2);
    run(milliseconds(100));
    count("b", "x", 4);
    runToWindow(first + 1, milliseconds(1000));
    daemons.at("b")->wallError = -seconds(2);
    run(milliseconds(100));
    count("b", "x", 1);
    runToWindow(first + 2, seconds(2));
    BOOST_TEST((reported(first) == Counts{ { "x", 4 } }));
    BOOST_TEST((reported(first + 1) == Counts{ { "x", 1 } }));
}

// 21,000 organisations exceed the size of a record; the figure must still be committed as a whole.
BOOST_AUTO_TEST_CASE(organisations_21000_areReportedCompletely)
{
    constexpr unsigned kOrganisations = 21000;
    for (unsigned i = 0; i < kOrganisations; ++i)
        count("b", "huka" + std::to_string(i));
    runToWindow(first + 1, seconds(4));
    BOOST_TEST(reported(first).size() == kOrganisations);
    BOOST_TEST(log.items.contains(keyOf(first) + "-1-2"));
}

// Guards against a figure that is put together from parts of two holders.
BOOST_AUTO_TEST_CASE(figureInParts_holderKilledBetweenThem_isReplacedAsAWhole)
{
    constexpr unsigned kOrganisations = 21000;
    for (unsigned i = 0; i < kOrganisations; ++i)
        count("b", "huka" + std::to_string(i));
    runToWindow(first, seconds(4));
    log.mode = FakeLog::Mode::DelaysAppends;
    runToWindow(first + 1, seconds(3));
    BOOST_REQUIRE(!log.delayed.empty());
    log.mode = FakeLog::Mode::Works;
    log.delayed.resize(1);
    log.executeDelayed();
    const std::string firstPart = keyOf(first) + "-1-2";
    BOOST_REQUIRE(log.items.contains(firstPart));
    const std::uint64_t offset = log.items.at(firstPart).position;
    kill("a");
    start("d");
    count("d", "huka0", 1, seconds(4));
    giveDuties("d");
    run(seconds(4));
    BOOST_TEST(log.items.at(firstPart).position > offset);
    BOOST_TEST(reported(first).size() == kOrganisations);
    BOOST_TEST(reported(first)["huka0"] == 2U);
}

// Guards against operators who are shown an old window, or none, or no failures.
BOOST_AUTO_TEST_CASE(reportStatus_platformRejectsCalls_showsTheNewestWindowAndTheFailures)
{
    const auto status = [this] { return daemons.at("a")->metering.reportStatus(now); };
    BOOST_TEST(!daemons.at("b")->metering.reportStatus(now).newest.has_value());
    runToWindow(first + 1, seconds(2));
    BOOST_REQUIRE(status().newest.has_value());
    BOOST_TEST(status().newest->window == first);
    BOOST_TEST(status().newest->age.count() == 2000);
    BOOST_TEST(status().newest->failures == 0U);
    BOOST_TEST(status().waitingWindows == 0U);
    api.status = duties::CallStatus::RateLimited;
    runToWindow(first + 2, seconds(3));
    BOOST_TEST(status().newest->window == first);
    BOOST_TEST(status().waitingWindows == 1U);
    BOOST_TEST(status().waitingFailures >= 2U);
    const unsigned failures = status().waitingFailures;
    api.status = duties::CallStatus::Accepted;
    run(seconds(3));
    BOOST_TEST(status().newest->window == first + 1);
    BOOST_TEST(status().newest->failures >= failures);
    BOOST_TEST(status().waitingWindows == 0U);
}

// Guards against a damaged record that stops all reports until the time of its window.
BOOST_AUTO_TEST_CASE(record_ofAFutureWindow_isIgnored)
{
    const duties::UsageFigure future{ .window = first + 100000, .requests = { { "x", 1 } } };
    for (const FigureRecord &record : encodeFigure(future, figureKeyCount(kDefaultWindowLength)))
        log.execute(record.key, record.value, log.end);
    giveDuties("b");
    count("c", "x", 4);
    runToWindow(first + 1, seconds(4));
    BOOST_TEST((reported(first) == Counts{ { "x", 4 } }));
}

// Guards against a daemon that holds the duties again and sends figures from its previous turn,
// which another holder has reported since.
BOOST_AUTO_TEST_CASE(figureQueuedUnderAnOldToken_dutiesReturn_isNotSentAgain)
{
    api.rejected = { first };
    runToWindow(first + 1, seconds(2));
    giveDuties("b");
    api.rejected.clear();
    // A new holder sends committed figures of the last 20 s again; older ones only come from the
    // queue, which keeps them for 30 s.
    run(seconds(22));
    BOOST_TEST(reported(first).empty());
    BOOST_TEST(std::any_of(api.figures.begin(), api.figures.end(),
                           [this](const auto &figure) { return figure.window == first; }));
    api.figures.clear();
    giveDuties("a");
    run(seconds(3));
    BOOST_TEST(!api.figures.empty());
    for (const duties::UsageFigure &figure : api.figures)
        BOOST_TEST(figure.window != first);
}

// Guards against windows that nobody reports after the log was restored without their figures: the
// platform had not accepted them yet.
BOOST_AUTO_TEST_CASE(logIsRestored_figuresNotAccepted_areWrittenAgainAndSentByTheNextHolder)
{
    log.keepCopy();
    api.received = false;
    api.status = duties::CallStatus::NotSent;
    count("b", "huka", 3);
    runToWindow(first + 1, seconds(3));
    BOOST_REQUIRE(log.items.contains(keyOf(first)));
    log.restoreCopy();
    run(seconds(1));
    BOOST_TEST(log.items.contains(keyOf(first)));
    kill("a");
    api.received = true;
    api.status = duties::CallStatus::Accepted;
    giveDuties("b");
    run(seconds(4));
    BOOST_TEST(reported(first)["huka"] == 3U);
}

// Guards against figures that are written again more than once, or changed.
BOOST_AUTO_TEST_CASE(logIsRestored_severalFigures_areWrittenAgainEachOnce)
{
    log.keepCopy();
    count("b", "huka", 3);
    runToWindow(first + 1, seconds(1));
    count("b", "huka", 4);
    runToWindow(first + 2, seconds(3));
    const std::uint64_t end = log.end;
    const std::string value = log.items.at(keyOf(first)).value;
    log.restoreCopy();
    run(seconds(1));
    BOOST_TEST(log.end == end);
    BOOST_REQUIRE(log.items.contains(keyOf(first)));
    BOOST_TEST((log.items.at(keyOf(first)).value == value));
    BOOST_TEST(log.items.contains(keyOf(first + 1)));
    runToWindow(first + 4, seconds(3));
    BOOST_TEST(reported(first)["huka"] == 3U);
    BOOST_TEST(reported(first + 1)["huka"] == 4U);
}

// Guards against a second figure for a window: the copy lacks the one that was sent, its holder is
// gone, and the next holder has received more counts in the meantime.
BOOST_AUTO_TEST_CASE(logIsRestored_holderIsKilled_closedWindowHasOneFigure)
{
    log.keepCopy();
    silenced = "c";
    count("b", "huka", 3);
    count("c", "huka", 2);
    runToWindow(first + 1, milliseconds(4500));
    BOOST_REQUIRE(reported(first)["huka"] == 3U);
    silenced.clear();
    run(milliseconds(1200));
    log.restoreCopy();
    kill("a");
    giveDuties("b");
    run(seconds(15));
    BOOST_TEST(reported(first)["huka"] == 3U);
}

// Guards against a second figure for a window: the holder is killed as soon as the platform has
// accepted it, no acknowledgement has named the window as closed, and the copy lacks it.
BOOST_AUTO_TEST_CASE(logIsRestored_holderIsKilledAfterTheCall_closedWindowHasOneFigure)
{
    log.keepCopy();
    count("b", "huka", 3);
    runToWindow(first + 1, seconds(1));
    while (reported(first).empty())
        run(milliseconds(100));
    log.restoreCopy();
    kill("a");
    // Counts that arrive late would be in the second figure.
    count("b", "huka", 2, trueTime() - windowEnd(first, kDefaultWindowLength) + milliseconds(100));
    run(seconds(4));
    giveDuties("b");
    run(seconds(8));
    BOOST_TEST(reported(first)["huka"] == 3U);
}

// Guards against a window that is reported by nobody although it has never been closed: the log is
// restored while its holder is gone.
BOOST_AUTO_TEST_CASE(logIsRestored_holderIsKilledBeforeTheWindowIsClosed_windowIsReported)
{
    log.keepCopy();
    count("b", "huka", 3);
    count("c", "huka", 2);
    runToWindow(first, seconds(4));
    kill("a");
    runToWindow(first + 1, seconds(2));
    log.restoreCopy();
    run(seconds(1));
    giveDuties("b");
    run(seconds(5));
    BOOST_TEST(reported(first)["huka"] == 5U);
}

// Guards against a second figure by a daemon that has just started: those that knew of the first
// one are gone, and the log has lost it.
BOOST_AUTO_TEST_CASE(logIsRestored_allDaemonsAreReplaced_closedWindowIsLeftOut)
{
    log.keepCopy();
    count("b", "huka", 3);
    runToWindow(first + 1, milliseconds(1900));
    BOOST_REQUIRE(reported(first)["huka"] == 3U);
    log.restoreCopy();
    for (const char *vm : { "a", "b", "c" })
        start(vm);
    count("c", "huka", 1, seconds(3));
    run(milliseconds(500));
    giveDuties("c");
    run(seconds(8));
    BOOST_TEST(reported(first)["huka"] == 3U);
}

// Guards against a figure that is lost because its holder is killed before the platform has
// accepted it, and the copy lacks it: another daemon knows it from the holder's notice.
BOOST_AUTO_TEST_CASE(logIsRestored_holderIsKilledBeforeTheCall_nextHolderSendsTheFigure)
{
    log.keepCopy();
    api.received = false;
    api.status = duties::CallStatus::NotSent;
    count("b", "huka", 3);
    runToWindow(first + 1, seconds(2));
    BOOST_REQUIRE(log.items.contains(keyOf(first)));
    log.restoreCopy();
    kill("a");
    api.received = true;
    api.status = duties::CallStatus::Accepted;
    run(seconds(4));
    giveDuties("c");
    run(seconds(4));
    BOOST_TEST(reported(first)["huka"] == 3U);
    BOOST_TEST(log.items.contains(keyOf(first)));
}

// Guards against a figure that waits for a daemon that does not reply.
BOOST_AUTO_TEST_CASE(notice_isNotConfirmedByOneDaemon_figureIsSentSoon)
{
    count("b", "huka", 3);
    runToWindow(first + 1, milliseconds(900));
    silenced = "c";
    runToWindow(first + 1, milliseconds(4600));
    BOOST_TEST(reported(first)["huka"] == 3U);
}

// Guards against figures that are lost because their holder, which still knows them, has got
// another token after the restore.
BOOST_AUTO_TEST_CASE(logIsRestored_holderGetsANewToken_figureIsWrittenAgainAndSent)
{
    log.keepCopy();
    api.received = false;
    api.status = duties::CallStatus::NotSent;
    count("b", "huka", 3);
    runToWindow(first + 1, seconds(3));
    BOOST_REQUIRE(log.items.contains(keyOf(first)));
    log.restoreCopy();
    api.received = true;
    api.status = duties::CallStatus::Accepted;
    giveDuties("a");
    run(seconds(4));
    BOOST_TEST(log.items.contains(keyOf(first)));
    BOOST_TEST(reported(first)["huka"] == 3U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::usage
