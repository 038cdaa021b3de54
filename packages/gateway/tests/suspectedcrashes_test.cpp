#include "suspectedcrashes.h"

#include <boost/test/unit_test.hpp>

namespace auburn::gateway {

using std::chrono::seconds;

namespace {

struct SuspectedCrashesFixture
{
    void registerServer(const std::string &id, const std::string &address, std::int64_t startedAt)
    {
        directory.update({ .id = id,
                           .service = "desk",
                           .address = address,
                           .failureDomain = "a",
                           .startedAtUnixMs = startedAt },
                         ++position);
    }

    SuspectedCrashes::Number suspect(std::uint64_t fingerprint, std::int64_t serverStartedAt)
    {
        return suspected.add({ .serverId = "s",
                               .address = "10.0.0.1:80",
                               .serverStartedAtUnixMs = serverStartedAt,
                               .suspects = { .fingerprint = fingerprint } },
                             now);
    }

    std::size_t confirmRestarted() { return suspected.confirmRestarted(directory, now).size(); }

    routing::ServerDirectory directory;
    SuspectedCrashes suspected;
    SuspectedCrashes::TimePoint now{ seconds(1000) };
    std::uint64_t position = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(suspectedCrashes, SuspectedCrashesFixture)

// Guards against one crash that counts twice, or not at all, when two kinds of evidence arrive.
BOOST_AUTO_TEST_CASE(crash_shownTwice_countsOnce)
{
    const SuspectedCrashes::Number first = suspect(1, 100);
    registerServer("s", "10.0.0.1:80", 100);
    BOOST_TEST(confirmRestarted() == 0U);
    BOOST_TEST(suspected.confirm(first).has_value());
    registerServer("s", "10.0.0.1:80", 200);
    BOOST_TEST(confirmRestarted() == 0U);
    const SuspectedCrashes::Number second = suspect(1, 100);
    BOOST_TEST(confirmRestarted() == 1U);
    BOOST_TEST(!suspected.confirm(second).has_value());
}

// Guards against sound requests that are blamed for what only looks like a restart.
BOOST_AUTO_TEST_CASE(registration_noLaterProcess_isNoEvidence)
{
    suspect(1, 100);
    registerServer("old", "10.0.0.1:80", 50);
    registerServer("s", "10.0.0.1:80", 100);
    registerServer("other", "10.0.0.2:80", 900);
    BOOST_TEST(confirmRestarted() == 0U);
    suspected.dropEqualRequests(1);
    // A registration that only now states its start time is no restart.
    suspect(2, 0);
    BOOST_TEST(confirmRestarted() == 0U);
    BOOST_TEST(suspected.size() == 1U);
}

// Guards against a planned restart long after a harmless close that counts as a crash, and against
// memory that grows with every broken connection.
BOOST_AUTO_TEST_CASE(suspicion_old_expires)
{
    suspect(1, 100);
    now += seconds(30);
    registerServer("s", "10.0.0.1:80", 200);
    BOOST_TEST(confirmRestarted() == 0U);
    BOOST_TEST(suspected.size() == 0U);
    for (unsigned i = 0; i < 2000; ++i)
        suspect(i, 100);
    BOOST_TEST(suspected.size() <= 1000U);
}

// Guards against crashes blamed on requests that have succeeded since.
BOOST_AUTO_TEST_CASE(equalRequest_hasSucceededSince_isNotBlamed)
{
    suspect(1, 100);
    suspect(2, 100);
    suspected.dropEqualRequests(1);
    registerServer("s", "10.0.0.1:80", 200);
    BOOST_TEST(confirmRestarted() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::gateway
