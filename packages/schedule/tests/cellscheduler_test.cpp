#include "auburn/schedule/cellscheduler.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <random>

namespace auburn {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const CellScheduler::FrontGone kNoneGone = [](const std::string &) { return false; };

struct SchedulerFixture
{
    SchedulerFixture() { configure(1, 2); }

    void configure(unsigned runners, unsigned slots)
    {
        specs.clear();
        for (unsigned i = 0; i < runners; ++i) {
            specs.push_back(RunnerSpec{ .name = "r" + std::to_string(i),
                                        .address = "127.0.0.1:" + std::to_string(9000 + i),
                                        .slots = slots });
        }
        note(scheduler.configure(specs, now));
    }

    SlotAsk ask(const std::string &id, unsigned tier = 0, seconds deadline = seconds(60))
    {
        return SlotAsk{ .front = "front",
                        .requestId = id,
                        .tier = tier,
                        .organisation = "o",
                        .since = now,
                        .deadline = now + deadline };
    }

    SlotEvents note(const SlotEvents &events)
    {
        for (const SlotEvent &event : events) {
            if (const auto *grant = std::get_if<SlotGranted>(&event))
                grants[grant->requestId] = *grant;
            else
                refusals[std::get<SlotRefused>(event).requestId] = std::get<SlotRefused>(event)
                                                                           .refusal.code;
        }
        return events;
    }

    void request(const std::string &id, unsigned tier = 0)
    {
        note(scheduler.request(ask(id, tier), now));
    }

    void release(const std::string &id, SlotOutcome outcome = SlotOutcome::Completed)
    {
        const SlotReport report{ .outcome = outcome };
        note(scheduler.release("front", grants.at(id).slotId, report, now));
    }

    void tick(milliseconds step, const CellScheduler::FrontGone &gone = kNoneGone)
    {
        now += step;
        note(scheduler.tick(now, gone));
    }

    ReportedSlot reported(const std::string &id)
    {
        return ReportedSlot{ .slotId = grants.at(id).slotId,
                             .runner = grants.at(id).runner,
                             .organisation = "o" };
    }

    CellScheduler::TimePoint now{ std::chrono::hours(1) };
    CellScheduler scheduler{ CellScheduler::Options{
            .service = "s",
            .owner = "self",
            .queue = { .tiers = 3, .sharedCapacity = 4, .reservedPerTier = 1 } } };
    std::vector<RunnerSpec> specs;
    std::map<std::string, SlotGranted> grants;
    std::map<std::string, RefusalCode> refusals;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(cellscheduler, SchedulerFixture)

// Guards against a second slot for a request whose grant was lost.
BOOST_AUTO_TEST_CASE(request_sentAgainAfterGrant_sameSlotIsGranted)
{
    request("a");
    const std::string slot = grants.at("a").slotId;
    request("a");
    BOOST_TEST(grants.at("a").slotId == slot);
    BOOST_TEST(scheduler.load().freeSlots == 1U);
}

// Guards against slots that are lost with a grant that never arrived.
BOOST_AUTO_TEST_CASE(tick_grantNeverReported_slotIsFreedForTheNext)
{
    request("a");
    request("b");
    request("c");
    BOOST_TEST(grants.count("c") == 0U);
    tick(kDispatchWithin + kHeldReportPeriod + milliseconds(1));
    BOOST_TEST(grants.count("c") == 1U);
}

// Guards against slots of a dead or silent front that stay taken.
BOOST_AUTO_TEST_CASE(tick_frontDeadOrSilent_itsSlotsAreFreed)
{
    for (const bool dead : { true, false }) {
        request("a");
        note(scheduler.reportHeld("front", { reported("a") }, now));
        tick(kSlotLease);
        BOOST_TEST(scheduler.load().freeSlots == 1U);
        if (dead)
            tick(milliseconds(0), [](const std::string &front) { return front == "front"; });
        else
            tick(milliseconds(1));
        BOOST_TEST(scheduler.load().freeSlots == 2U);
        grants.clear();
    }
}

// Guards against an owner without state that grants slots which are in use.
BOOST_AUTO_TEST_CASE(reportHeld_newOwner_countsReportedSlotsUntilTheyAreGone)
{
    const ReportedSlot foreign{ .slotId = "x", .runner = "r0", .organisation = "o" };
    note(scheduler.reportHeld("front", { foreign }, now));
    BOOST_TEST(scheduler.load().freeSlots == 1U);
    now += milliseconds(1);
    note(scheduler.reportHeld("front", {}, now));
    BOOST_TEST(scheduler.load().freeSlots == 2U);
}

// Guards against a report that was sent before the grant arrived and frees its slot.
BOOST_AUTO_TEST_CASE(reportHeld_grantOnItsWay_slotStaysTaken)
{
    request("a");
    now += milliseconds(20);
    note(scheduler.reportHeld("front", {}, now));
    BOOST_TEST(scheduler.load().freeSlots == 1U);
}

// Guards against callers that wait for their deadline while no runner is up.
BOOST_AUTO_TEST_CASE(request_allRunnersDownForLong_waitingAndNewRequestsAreRefused)
{
    configure(1, 1);
    request("a");
    release("a", SlotOutcome::RunnerUnreachable);
    request("b");
    BOOST_TEST(refusals.empty());
    for (const int backOff : { 500, 1000, 2000 }) {
        tick(milliseconds(backOff));
        BOOST_TEST(grants.count("b") == 1U);
        release("b", SlotOutcome::RunnerUnreachable);
        grants.clear();
        request("b");
    }
    BOOST_TEST((refusals.at("b") == RefusalCode::NoRunnerAvailable));
}

// Guards against a retry that waits for its deadline when no other runner is left.
BOOST_AUTO_TEST_CASE(tick_onlyExcludedRunnersLeft_waitingRetryIsRefused)
{
    configure(2, 1);
    request("a");
    request("b");
    SlotAsk retry = ask("retry");
    retry.excludedRunners = { "r0" };
    note(scheduler.request(retry, now));
    tick(milliseconds(50));
    BOOST_TEST(refusals.empty());
    specs.pop_back();
    note(scheduler.configure(specs, now));
    tick(milliseconds(50));
    BOOST_TEST((refusals.at("retry") == RefusalCode::NoRunnerAvailable));
}

// Guards against a queue that fills with requests which cannot be served in time.
BOOST_AUTO_TEST_CASE(request_waitSurelyBeyondDeadline_refusedBeforeQueueing)
{
    const SlotAsk hopeless = ask("hopeless", 0, seconds(0));
    note(scheduler.request(hopeless, now));
    BOOST_TEST((refusals.at("hopeless") == RefusalCode::DeadlineExceeded));
    request("0");
    request("1");
    for (int i = 0; i < 24; ++i) {
        tick(milliseconds(250));
        request(std::to_string(i + 2));
        release(std::to_string(i));
        const std::vector<ReportedSlot> held{ reported(std::to_string(i + 1)),
                                              reported(std::to_string(i + 2)) };
        note(scheduler.reportHeld("front", held, now));
    }
    for (int i = 0; i < 4; ++i)
        request("waiting" + std::to_string(i));
    // Four releases a second, eight with the margin: four grants ahead take half a second.
    SlotAsk soon = ask("soon");
    soon.deadline = now + milliseconds(450);
    note(scheduler.request(soon, now));
    BOOST_TEST((refusals.at("soon") == RefusalCode::DeadlineExceeded));
    SlotAsk later = ask("later");
    later.deadline = now + milliseconds(550);
    note(scheduler.request(later, now));
    BOOST_TEST(refusals.count("later") == 0U);
}

// Guards against requests without an answer or with two, refusals of a higher tier while a lower
// one keeps its shared place, and more requests on a runner than it has slots.
BOOST_AUTO_TEST_CASE(allOperations_randomSequences_invariantsHold)
{
    for (unsigned seed = 1; seed <= 150; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            std::mt19937 random(seed);
            CellScheduler cell(CellScheduler::Options{
                    .service = "s",
                    .queue = { .tiers = 3, .sharedCapacity = 6, .reservedPerTier = 1 } });
            configure(3, 3);
            cell.configure(specs, now);
            std::map<std::string, unsigned> open;
            std::map<std::string, SlotGranted> running;
            std::map<std::string, unsigned> onRunner;
            const auto take = [&](const SlotEvents &events) {
                for (const SlotEvent &event : events) {
                    if (const auto *grant = std::get_if<SlotGranted>(&event)) {
                        BOOST_REQUIRE_EQUAL(open.erase(grant->requestId), 1U);
                        running[grant->requestId] = *grant;
                        BOOST_REQUIRE_LE(++onRunner[grant->runner], 3U);
                        continue;
                    }
                    const auto &refused = std::get<SlotRefused>(event);
                    const unsigned tier = open.at(refused.requestId);
                    open.erase(refused.requestId);
                    if (refused.refusal.code != RefusalCode::Overloaded)
                        continue;
                    const auto waiting = cell.load().waitingByTier;
                    for (unsigned lower = tier + 1; lower < waiting.size(); ++lower)
                        BOOST_REQUIRE_LE(waiting[lower], 1U);
                }
            };
            for (unsigned i = 0; i < 800; ++i) {
                now += milliseconds(random() % 10);
                const unsigned kind = random() % 10;
                if (kind < 5) {
                    const SlotAsk next = ask(std::to_string(i), random() % 3,
                                             seconds(1 + random() % 3));
                    open[next.requestId] = next.tier;
                    take(cell.request(next, now));
                } else if (kind < 9 && !running.empty()) {
                    const auto one = std::next(running.begin(),
                                               static_cast<long>(random() % running.size()));
                    const SlotGranted grant = one->second;
                    running.erase(one);
                    --onRunner[grant.runner];
                    const SlotReport report{ .outcome = random() % 20 == 0
                                                                ? SlotOutcome::RunnerUnreachable
                                                                : SlotOutcome::Completed };
                    take(cell.release("front", grant.slotId, report, now));
                    // A repeated release has no effect.
                    take(cell.release("front", grant.slotId, report, now));
                } else {
                    std::vector<ReportedSlot> held;
                    held.reserve(running.size());
                    for (const auto &entry : running) {
                        held.push_back(ReportedSlot{ .slotId = entry.second.slotId,
                                                     .runner = entry.second.runner,
                                                     .organisation = "o" });
                    }
                    take(cell.reportHeld("front", held, now));
                    take(cell.tick(now, kNoneGone));
                }
            }
            while (!running.empty()) {
                const SlotGranted grant = running.begin()->second;
                running.erase(running.begin());
                --onRunner[grant.runner];
                take(cell.release("front", grant.slotId, SlotReport{}, now));
            }
            take(cell.tick(now + seconds(10), kNoneGone));
            BOOST_REQUIRE(open.empty());
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn
