// Tests that the counts of an open window survive the replacement of daemons one after another:
// each process that replaces a mirror gets what its predecessor knew.

#include "usagefixture.h"

namespace auburn::usage {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Counts = std::map<std::string, std::uint64_t>;

namespace {

// Long enough for a process that replaces another one to get the counts that it lacks.
constexpr milliseconds kReplicationTime{ 2200 };

// Four daemons, of which "a" holds the duties, at the beginning of a window.
struct ReplicasFixture : UsageFixture
{
    ReplicasFixture()
    {
        for (const char *vm : { "a", "b", "c", "d" })
            start(vm);
        giveDuties("a");
        first = window() + 2;
        runToWindow(first, milliseconds(100));
    }

    // Another process takes the address of a daemon that is killed, within the time for which the
    // daemon counts as live.
    void replace(const std::string &vm)
    {
        kill(vm);
        run(milliseconds(200));
        start(vm);
    }

    std::uint64_t first = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(usageReplicas, ReplicasFixture)

// Guards against a loss of the counts of a killed daemon when its mirrors and the holder are
// replaced as well, one at a time.
BOOST_AUTO_TEST_CASE(daemons_replacedOneAfterAnother_countsOfTheKilledAreReported)
{
    count("b", "x", 5);
    run(milliseconds(300));
    replace("b");
    run(kReplicationTime);
    replace("c");
    run(kReplicationTime);
    // The window must not be closed before the holder is killed.
    log.mode = FakeLog::Mode::Down;
    replace("d");
    run(kReplicationTime);
    kill("a");
    log.mode = FakeLog::Mode::Works;
    giveDuties("c");
    run(seconds(3));
    BOOST_TEST((reported(first) == Counts{ { "x", 5 } }));
}

// Guards against a mirror that was replaced at its address, and gets only what its reporter counts
// from then on.
BOOST_AUTO_TEST_CASE(mirror_replacedAfterTheWindow_hasTheCountsOfTheWindow)
{
    count("b", "x", 5);
    run(milliseconds(300));
    log.mode = FakeLog::Mode::Down;
    runToWindow(first + 1, milliseconds(100));
    replace("c");
    run(kReplicationTime);
    kill("a");
    kill("b");
    kill("d");
    run(seconds(2));
    log.mode = FakeLog::Mode::Works;
    giveDuties("c");
    run(seconds(4));
    BOOST_TEST((reported(first) == Counts{ { "x", 5 } }));
}

// Guards against a new holder that closes windows before the counts of many replaced processes have
// arrived.
BOOST_AUTO_TEST_CASE(takeover_manyReplacedProcesses_countsOfAllAreReported)
{
    constexpr unsigned kReplacements = 18;
    log.mode = FakeLog::Mode::Down;
    for (unsigned i = 0; i < kReplacements; ++i) {
        count("d", "x", 5);
        run(milliseconds(300));
        replace("d");
        run(milliseconds(800));
    }
    run(seconds(2));
    kill("a");
    run(seconds(4));
    start("a");
    run(seconds(2));
    log.mode = FakeLog::Mode::Works;
    giveDuties("a");
    run(seconds(6));
    std::uint64_t sum = 0;
    for (std::uint64_t window = first; window < this->window(); ++window) {
        Counts counts = reported(window);
        sum += counts["x"];
    }
    BOOST_TEST(sum == 5U * kReplacements);
}

// Guards against a mirror that loses some datagrams and so makes all counts be sent to the holder
// again every second.
BOOST_AUTO_TEST_CASE(mirror_losesSomeDatagrams_holderGetsEachCountAFewTimes)
{
    constexpr unsigned kOrganisations = 10000;
    for (unsigned i = 0; i < kOrganisations; ++i)
        count("b", "organisation-" + std::to_string(i));
    run(milliseconds(1500));
    kill("c");
    start("c");
    lossyAddress = "c";
    log.mode = FakeLog::Mode::Down;
    run(seconds(10));
    BOOST_TEST(countsReceived <= 5U * kOrganisations);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::usage
