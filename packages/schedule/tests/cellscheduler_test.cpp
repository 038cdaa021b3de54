#include "auburn/schedule/cellscheduler.h"

#include "referencetierqueue.h"

#include <boost/test/unit_test.hpp>

#include <random>

namespace auburn {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const CellScheduler::RequesterGone kNoRequesterGone = [](const std::string &) { return false; };

struct SchedulerFixture
{
    SchedulerFixture() { configure(1, 2); }

    void configure(unsigned backendServers, unsigned slots)
    {
        specs.clear();
        for (unsigned i = 0; i < backendServers; ++i) {
            specs.push_back(BackendServerSpec{ .name = "r" + std::to_string(i),
                                               .address = "127.0.0.1:" + std::to_string(9000 + i),
                                               .slots = slots });
        }
        record(scheduler.configure(specs, now));
    }

    IncomingSlotRequest slotRequest(const std::string &id, unsigned tier = 0,
                                    seconds deadline = seconds(60))
    {
        return IncomingSlotRequest{ .requester = "requester",
                                    .requestId = id,
                                    .tier = tier,
                                    .organisation = "o",
                                    .since = now,
                                    .deadline = now + deadline };
    }

    SlotEvents record(const SlotEvents &events)
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
        record(scheduler.request(slotRequest(id, tier), now));
    }

    void release(const std::string &id, SlotOutcome outcome = SlotOutcome::Completed)
    {
        const SlotReport report{ .outcome = outcome };
        record(scheduler.release("requester", grants.at(id).slotId, report, now));
    }

    void tick(milliseconds step, const CellScheduler::RequesterGone &gone = kNoRequesterGone)
    {
        now += step;
        record(scheduler.tick(now, gone));
    }

    ReportedSlot reported(const std::string &id)
    {
        return ReportedSlot{ .slotId = grants.at(id).slotId,
                             .backendServer = grants.at(id).backendServer,
                             .organisation = "o" };
    }

    CellScheduler::TimePoint now{ std::chrono::hours(1) };
    CellScheduler scheduler{ CellScheduler::Options{
            .service = "s",
            .owner = "self",
            .queue = { .tiers = 3, .sharedCapacity = 4, .reservedPerTier = 1 } } };
    std::vector<BackendServerSpec> specs;
    std::map<std::string, SlotGranted> grants;
    std::map<std::string, RefusalCode> refusals;
};

// Runs random operations on a cell and compares its answers with the reference queue.
struct CellComparison
{
    explicit CellComparison(unsigned seed)
        : random(seed)
    {
        for (const char *name : { "r0", "r1", "r2" })
            specs.push_back(BackendServerSpec{ .name = name, .address = name, .slots = 3 });
        cell.configure(specs, now);
    }

    unsigned below(unsigned bound) { return static_cast<unsigned>(random() % bound); }

    void request()
    {
        const IncomingSlotRequest slotRequest{ .requester = "requester",
                                               .requestId = std::to_string(nextId++),
                                               .tier = below(3),
                                               .organisation = "o" + std::to_string(below(4)),
                                               .since = now,
                                               .deadline = now + milliseconds(1000 + below(3000)) };
        unanswered[slotRequest.requestId] = slotRequest.tier;
        const SlotEvents events = cell.request(slotRequest, now);
        const auto *refused = events.empty() ? nullptr : std::get_if<SlotRefused>(&events.front());
        const bool queued = !refused || refused->refusal.code == RefusalCode::Overloaded;
        if (queued) {
            const auto admission = reference.push({ .id = slotRequest.requestId,
                                                    .tier = slotRequest.tier,
                                                    .organisation = slotRequest.organisation,
                                                    .since = slotRequest.since,
                                                    .deadline = slotRequest.deadline });
            BOOST_REQUIRE_EQUAL(refused != nullptr, !admission.accepted || admission.evicted);
            if (refused)
                BOOST_REQUIRE_EQUAL(refused->requestId, admission.evicted ? admission.evicted->id
                                                                          : slotRequest.requestId);
        }
        take(events);
    }

    void release(SlotOutcome outcome)
    {
        const auto it = std::next(running.begin(), below(static_cast<unsigned>(running.size())));
        const SlotGranted grant = it->second.first;
        --reference.held[it->second.second];
        --runningByBackendServer[grant.backendServer];
        running.erase(it);
        take(cell.release("requester", grant.slotId, SlotReport{ .outcome = outcome }, now));
        // A duplicate release has no effect.
        take(cell.release("requester", grant.slotId, SlotReport{ .outcome = outcome }, now));
    }

    void report()
    {
        std::vector<ReportedSlot> held;
        held.reserve(running.size());
        for (const auto &[id, slot] : running)
            held.push_back(
                    { .slotId = slot.first.slotId, .backendServer = slot.first.backendServer });
        take(cell.reportHeld("requester", held, now));
        take(cell.tick(now, kNoRequesterGone));
    }

    void take(const SlotEvents &events)
    {
        for (const SlotEvent &event : events) {
            if (const auto *grant = std::get_if<SlotGranted>(&event))
                takeGrant(*grant);
            else
                takeRefusal(std::get<SlotRefused>(event));
        }
        const CellLoad load = cell.load();
        BOOST_REQUIRE(load.freeSlots == 0 || reference.entries.empty());
    }

    void takeGrant(const SlotGranted &grant)
    {
        BOOST_REQUIRE_EQUAL(unanswered.erase(grant.requestId), 1U);
        const auto expected = reference.grantNext();
        BOOST_REQUIRE(expected.has_value());
        BOOST_REQUIRE_EQUAL(grant.requestId, expected->id);
        ++reference.held[expected->organisation];
        running[grant.requestId] = { grant, expected->organisation };
        BOOST_REQUIRE_LE(++runningByBackendServer[grant.backendServer], 3U);
    }

    void takeRefusal(const SlotRefused &refused)
    {
        const unsigned tier = unanswered.at(refused.requestId);
        unanswered.erase(refused.requestId);
        reference.takeId(refused.requestId);
        if (refused.refusal.code == RefusalCode::Overloaded)
            BOOST_REQUIRE(!reference.hasSharedBelow(tier));
    }

    void step()
    {
        now += milliseconds(below(10));
        const unsigned operation = below(10);
        if (operation < 5)
            request();
        else if (operation < 9 && !running.empty())
            release(below(20) == 0 ? SlotOutcome::BackendServerUnreachable
                                   : SlotOutcome::Completed);
        else
            report();
    }

    void finish()
    {
        while (!running.empty())
            release(SlotOutcome::Unused);
        take(cell.tick(now + seconds(10), kNoRequesterGone));
        BOOST_REQUIRE(unanswered.empty());
    }

    std::mt19937 random;
    TierQueue::Options options{ .tiers = 3, .sharedCapacity = 6, .reservedPerTier = 1 };
    CellScheduler cell{ CellScheduler::Options{ .service = "s", .queue = options } };
    ReferenceTierQueue reference{ options };
    std::vector<BackendServerSpec> specs;
    CellScheduler::TimePoint now{ std::chrono::hours(1) };
    unsigned nextId = 0;
    std::map<std::string, unsigned> unanswered;
    // Grant and organisation by request.
    std::map<std::string, std::pair<SlotGranted, std::string>> running;
    std::map<std::string, unsigned> runningByBackendServer;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(cellscheduler, SchedulerFixture)

// Guards against a second slot for a request that is resent because its grant was lost.
BOOST_AUTO_TEST_CASE(request_sentAgainAfterGrant_sameSlotIsGranted)
{
    request("a");
    const std::string slot = grants.at("a").slotId;
    request("a");
    BOOST_TEST(grants.at("a").slotId == slot);
    BOOST_TEST(scheduler.load().freeSlots == 1U);
}

// Guards against a slot leak when a grant never arrives.
BOOST_AUTO_TEST_CASE(tick_grantNeverReported_slotIsFreedForTheNext)
{
    request("a");
    request("b");
    request("c");
    BOOST_TEST(grants.count("c") == 0U);
    tick(kDispatchTimeout + kHeldReportPeriod + milliseconds(1));
    BOOST_TEST(grants.count("c") == 1U);
}

// Guards against a leak of the slots of a requester that died or stopped reporting.
BOOST_AUTO_TEST_CASE(tick_requesterDeadOrSilent_itsSlotsAreFreed)
{
    for (const bool dead : { true, false }) {
        request("a");
        record(scheduler.reportHeld("requester", { reported("a") }, now));
        tick(kSlotLease);
        BOOST_TEST(scheduler.load().freeSlots == 1U);
        if (dead)
            tick(milliseconds(0),
                 [](const std::string &requester) { return requester == "requester"; });
        else
            tick(milliseconds(1));
        BOOST_TEST(scheduler.load().freeSlots == 2U);
        grants.clear();
    }
}

// Guards against an owner that starts without state and grants slots that are in use.
BOOST_AUTO_TEST_CASE(reportHeld_newOwner_countsReportedSlotsUntilTheyAreGone)
{
    const ReportedSlot unknown{ .slotId = "x", .backendServer = "r0", .organisation = "o" };
    record(scheduler.reportHeld("requester", { unknown }, now));
    BOOST_TEST(scheduler.load().freeSlots == 1U);
    now += milliseconds(1);
    record(scheduler.reportHeld("requester", {}, now));
    BOOST_TEST(scheduler.load().freeSlots == 2U);
}

// Guards against freeing the slot of a grant because of a report that was sent before the grant
// arrived.
BOOST_AUTO_TEST_CASE(reportHeld_grantInFlight_slotStaysInUse)
{
    request("a");
    now += milliseconds(20);
    record(scheduler.reportHeld("requester", {}, now));
    BOOST_TEST(scheduler.load().freeSlots == 1U);
}

// Guards against requests that wait until their deadline although all backend servers are down.
BOOST_AUTO_TEST_CASE(request_allBackendServersDownForLong_waitingAndNewRequestsAreRefused)
{
    configure(1, 1);
    request("a");
    release("a", SlotOutcome::BackendServerUnreachable);
    request("b");
    BOOST_TEST(refusals.empty());
    for (const int backoff : { 500, 1000, 2000 }) {
        tick(milliseconds(backoff));
        BOOST_TEST(grants.count("b") == 1U);
        release("b", SlotOutcome::BackendServerUnreachable);
        grants.clear();
        request("b");
    }
    BOOST_TEST((refusals.at("b") == RefusalCode::NoBackendServerAvailable));
}

// Guards against a retry that waits until its deadline although it excludes every remaining backend
// server.
BOOST_AUTO_TEST_CASE(tick_onlyExcludedBackendServersLeft_waitingRetryIsRefused)
{
    configure(2, 1);
    request("a");
    request("b");
    IncomingSlotRequest retry = slotRequest("retry");
    retry.excludedBackendServers = { "r0" };
    record(scheduler.request(retry, now));
    tick(milliseconds(50));
    BOOST_TEST(refusals.empty());
    specs.pop_back();
    record(scheduler.configure(specs, now));
    tick(milliseconds(50));
    BOOST_TEST((refusals.at("retry") == RefusalCode::NoBackendServerAvailable));
}

// Guards against a queue that fills up with requests that cannot be granted before their deadline.
BOOST_AUTO_TEST_CASE(request_estimatedWaitBeyondDeadline_refusedBeforeQueueing)
{
    const IncomingSlotRequest pastDeadline = slotRequest("pastDeadline", 0, seconds(0));
    record(scheduler.request(pastDeadline, now));
    BOOST_TEST((refusals.at("pastDeadline") == RefusalCode::DeadlineExceeded));
    request("0");
    request("1");
    for (int i = 0; i < 24; ++i) {
        tick(milliseconds(250));
        request(std::to_string(i + 2));
        release(std::to_string(i));
        const std::vector<ReportedSlot> held{ reported(std::to_string(i + 1)),
                                              reported(std::to_string(i + 2)) };
        record(scheduler.reportHeld("requester", held, now));
    }
    for (int i = 0; i < 4; ++i)
        request("waiting" + std::to_string(i));
    // At four releases a second, or eight with the margin, four preceding grants take 500 ms.
    IncomingSlotRequest soon = slotRequest("soon");
    soon.deadline = now + milliseconds(450);
    record(scheduler.request(soon, now));
    BOOST_TEST((refusals.at("soon") == RefusalCode::DeadlineExceeded));
    IncomingSlotRequest later = slotRequest("later");
    later.deadline = now + milliseconds(550);
    record(scheduler.request(later, now));
    BOOST_TEST(refusals.count("later") == 0U);
}

// Guards against any difference from the reference queue, requests without an answer or with two
// answers, refusals of a higher tier while a lower one uses shared queue capacity, more requests on
// a backend server than it has slots, and free slots while requests wait.
BOOST_AUTO_TEST_CASE(allOperations_randomSequences_matchReferenceQueue)
{
    for (unsigned seed = 1; seed <= 150; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            CellComparison comparison(seed);
            for (unsigned i = 0; i < 800; ++i)
                comparison.step();
            comparison.finish();
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn
