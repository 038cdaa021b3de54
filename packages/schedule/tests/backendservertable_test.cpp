#include "auburn/schedule/backendservertable.h"

#include <boost/test/unit_test.hpp>

#include <map>

namespace auburn {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

struct BackendServerTableFixture
{
    BackendServerTableFixture()
    {
        for (const char *name : { "a", "b", "c", "d" })
            specs.push_back(BackendServerSpec{ .name = name, .address = name, .slots = 8 });
        table.configure(specs);
    }

    // Takes a slot for the next request. Returns the name of the backend server; empty if none is
    // free.
    std::string take(std::uint64_t prefix = 0, const std::vector<std::string> &excluded = {})
    {
        const auto id = table.choose(prefix, excluded, now);
        if (!id)
            return {};
        wasProbe = table.acquire(*id, prefix, now);
        return table.name(*id);
    }

    void releaseSlot(const std::string &name, SlotOutcome outcome, bool probe = false,
                     milliseconds firstToken = milliseconds(100))
    {
        const SlotReport report{ .outcome = outcome,
                                 .firstToken = firstToken,
                                 .tokenGap = milliseconds(20) };
        table.release(*table.find(name), probe, report, now);
    }

    // Takes all free slots and counts them by backend server.
    std::map<std::string, unsigned> takeAll()
    {
        std::map<std::string, unsigned> taken;
        for (std::string name = take(); !name.empty(); name = take())
            ++taken[name];
        return taken;
    }

    BackendServerTable::TimePoint now{ std::chrono::hours(1) };
    BackendServerTable table{ BackendServerTable::Options{} };
    std::vector<BackendServerSpec> specs;
    bool wasProbe = false;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(backendservertable, BackendServerTableFixture)

// Guards against uneven load and against more requests on a backend server than slots.
BOOST_AUTO_TEST_CASE(choose_allHealthy_slotsAreSpreadAndNeverExceeded)
{
    for (int i = 0; i < 8; ++i)
        take();
    for (BackendServerTable::BackendServerId id = 0; id < 4; ++id)
        BOOST_TEST(table.inUse(id) == 2U);
    for (const auto &entry : takeAll())
        BOOST_TEST(entry.second == 6U);
    BOOST_TEST(!table.hasFreeSlot(now));
}

// Guards against new requests on a backend server that drains or leaves.
BOOST_AUTO_TEST_CASE(choose_backendServerDraining_getsNothingAndKeepsItsSlots)
{
    take();
    specs[0].accepting = false;
    table.configure(specs);
    BOOST_TEST(takeAll().count("a") == 0U);
    BOOST_TEST(table.inUse(*table.find("a")) == 1U);
    specs.erase(specs.begin());
    table.configure(specs);
    BOOST_TEST(table.find("a").has_value());
    releaseSlot("a", SlotOutcome::Completed);
    BOOST_TEST(!table.find("a").has_value());
}

// Guards against a slow backend server that keeps its full share of requests.
BOOST_AUTO_TEST_CASE(update_backendServerTenTimesSlower_getsOneSlotUntilItRecovers)
{
    const auto sample = [&](milliseconds slowest) {
        for (int i = 0; i < 30; ++i) {
            for (const BackendServerSpec &spec : specs) {
                table.adopt(*table.find(spec.name));
                releaseSlot(spec.name, SlotOutcome::Completed, false,
                            spec.name == "d" ? slowest : milliseconds(100));
            }
        }
        table.update(now);
    };
    sample(milliseconds(1000));
    const auto taken = takeAll();
    BOOST_TEST(taken.at("d") == 1U);
    BOOST_TEST(taken.at("a") == 8U);
    for (const auto &[name, count] : taken) {
        for (unsigned i = 0; i < count; ++i)
            releaseSlot(name, SlotOutcome::Completed);
    }
    sample(milliseconds(100));
    BOOST_TEST(takeAll().at("d") == 8U);
}

// Guards against requests that keep failing on a dead backend server, and against a backend server
// that is never used again after an outage.
BOOST_AUTO_TEST_CASE(release_backendServerUnreachable_ejectedThenProbedByOneRequest)
{
    table.adopt(*table.find("a"));
    releaseSlot("a", SlotOutcome::BackendServerUnreachable);
    for (int i = 0; i < 9; ++i)
        BOOST_TEST(take() != "a");
    now += milliseconds(500);
    BOOST_TEST(take() == "a");
    BOOST_TEST(wasProbe);
    BOOST_TEST(take() != "a");
    // A failed probe doubles the backoff.
    releaseSlot("a", SlotOutcome::BackendServerUnreachable, true);
    now += milliseconds(999);
    BOOST_TEST(take() != "a");
    now += milliseconds(1);
    BOOST_TEST(take() == "a");
    releaseSlot("a", SlotOutcome::Completed, true);
    BOOST_TEST(takeAll().at("a") == 8U);
}

// Guards against retries that are used as probes while healthy backend servers are free.
BOOST_AUTO_TEST_CASE(choose_probeDueAndRequestIsARetry_healthyBackendServerIsChosen)
{
    table.adopt(*table.find("a"));
    releaseSlot("a", SlotOutcome::BackendServerUnreachable);
    now += milliseconds(500);
    BOOST_TEST(take(0, { "b" }) != "a");
    BOOST_TEST(take() == "a");
}

// Guards against a backend server that stays ejected for as long as its probe streams.
BOOST_AUTO_TEST_CASE(update_probeLastsLong_backendServerIsUsedAgain)
{
    table.adopt(*table.find("a"));
    releaseSlot("a", SlotOutcome::BackendServerUnreachable);
    now += milliseconds(500);
    BOOST_TEST(take() == "a");
    now += milliseconds(3000);
    table.update(now);
    BOOST_TEST(takeAll().at("a") == 7U);
}

// Guards against unused prefix caches, and against a hot prefix that overloads one backend server.
BOOST_AUTO_TEST_CASE(choose_samePrefix_staysUntilBackendServerIsMoreLoaded)
{
    const std::string first = take(42);
    unsigned same = 0;
    while (take(42) == first)
        ++same;
    BOOST_TEST(same >= 3U);
    BOOST_TEST(same < 7U);
}

// Guards against counting this owner's own requests twice because of a load report that lags
// behind.
BOOST_AUTO_TEST_CASE(reportLoad_reportLags_onlyExternalLoadCounts)
{
    BOOST_TEST(take() == "a");
    releaseSlot("a", SlotOutcome::Completed);
    table.reportLoad("a", BackendServerLoad{ .running = 1 }, now);
    BOOST_TEST(take(0, { "b", "c", "d" }) == "a");
    releaseSlot("a", SlotOutcome::Completed);
    table.reportLoad("a", BackendServerLoad{ .running = 6 }, now);
    for (int i = 0; i < 12; ++i)
        BOOST_TEST(take() != "a");
    now += milliseconds(5000);
    table.update(now);
    BOOST_TEST(take() == "a");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn
