// Tests what VersionHistory concludes from the servers that were listed over time.

#include "auburn/streams/versionhistory.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <string>

namespace auburn::streams {

using std::chrono::milliseconds;

namespace {

struct VersionHistoryFixture
{
    void add(const std::string &id, const std::string &version, std::int64_t startedAt = 0)
    {
        directory.update({ .id = id,
                           .service = "s",
                           .startedAtUnixMs = startedAt,
                           .softwareVersion = version },
                         ++position);
    }

    void remove(const std::string &id) { directory.removeImmediately(id, ++position); }

    // Observes the directory once a second for this time, and at its end.
    void observeAfter(milliseconds time)
    {
        do {
            const milliseconds step = std::min(time, milliseconds(1000));
            now += step;
            history.observe(directory, now);
            time -= step;
        } while (time > milliseconds(0));
    }

    // The version that new streams should have; empty if there is none.
    std::string preferred() const
    {
        return history.preferredVersion("s", "v1", now, kUnixNow).value_or("");
    }

    static constexpr std::int64_t kUnixNow = 1000000;

    routing::ServerDirectory directory;
    VersionHistory history;
    VersionHistory::TimePoint now{ std::chrono::hours(1) };
    LogPosition position = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(versionHistory, VersionHistoryFixture)

// Guards against a daemon that has just started and takes the versions that it sees for all that
// there were.
BOOST_AUTO_TEST_CASE(onlyVersion_observedTooShortly_isUnknown)
{
    add("i-1", "v1");
    observeAfter(milliseconds(0));
    BOOST_TEST(history.onlyVersion("s", now).value_or("") != "v1");
    observeAfter(kStreamLifetime);
    BOOST_TEST(history.onlyVersion("s", now).value_or("") == "v1");
    BOOST_TEST(history.onlyVersion("s", now).value_or("") != "v2");
}

// Guards against look-ups in the first seconds of the whole system, when no stream can be older
// than its daemons.
BOOST_AUTO_TEST_CASE(onlyVersion_systemStartsForTheFirstTime_isKnownAtOnce)
{
    VersionHistory first(true);
    add("i-1", "v1");
    first.observe(directory, now);
    BOOST_TEST(first.onlyVersion("s", now).value_or("") == "v1");
    add("i-2", "v2");
    first.observe(directory, now);
    BOOST_TEST(first.onlyVersion("s", now).value_or("") != "v1");
}

// Guards against forgetting a version whose streams may still be resumed.
BOOST_AUTO_TEST_CASE(onlyVersion_otherLeft_holdsAfterTheLifetimeOfItsStreams)
{
    add("i-1", "v1");
    observeAfter(milliseconds(0));
    observeAfter(kStreamLifetime);
    add("i-2", "v2");
    observeAfter(milliseconds(1000));
    BOOST_TEST(history.onlyVersion("s", now).value_or("") != "v1");
    remove("i-2");
    observeAfter(kStreamLifetime - milliseconds(1));
    BOOST_TEST(history.onlyVersion("s", now).value_or("") != "v1");
    observeAfter(milliseconds(2));
    BOOST_TEST(history.onlyVersion("s", now).value_or("") == "v1");
}

// Guards against a baseline that moves while streams of the earlier one may be alive.
BOOST_AUTO_TEST_CASE(successor_versionLeft_isFoundAfterTheLifetimeOfItsStreams)
{
    add("i-1", "v1");
    add("i-2", "v2");
    add("i-3", "v3");
    add("i-4", "v3");
    observeAfter(milliseconds(0));
    observeAfter(kStreamLifetime);
    BOOST_TEST(!history.successorOf("s", "v1", now));
    remove("i-1");
    observeAfter(kStreamLifetime - milliseconds(1));
    BOOST_TEST(!history.successorOf("s", "v1", now));
    observeAfter(milliseconds(2));
    BOOST_TEST(history.successorOf("s", "v1", now).value_or("") == "v3");
}

// Guards against streams at a version that other daemons do not know yet.
BOOST_AUTO_TEST_CASE(preferredVersion_anotherWasFirstSeenLately_isTheBaseline)
{
    add("i-1", "v1");
    observeAfter(milliseconds(0));
    observeAfter(kVersionSettleTime);
    add("i-2", "v2");
    observeAfter(milliseconds(100));
    BOOST_TEST(preferred() == "v1");
    observeAfter(kVersionSettleTime);
    BOOST_TEST(preferred().empty());
}

// Guards against sending all new streams to few servers: a daemon that has just started sees all
// versions for the first time, also those that have served for long.
BOOST_AUTO_TEST_CASE(preferredVersion_anotherHasAnOldServer_isNone)
{
    add("i-1", "v1");
    add("i-2", "v2", kUnixNow - kSettledServerAge.count());
    add("i-3", "v2", kUnixNow - 1);
    observeAfter(milliseconds(0));
    BOOST_TEST(preferred().empty());
}

// Guards against taking a time without observations for one without servers.
BOOST_AUTO_TEST_CASE(observe_afterALongPause_beginsAnew)
{
    add("i-1", "v1");
    observeAfter(milliseconds(0));
    observeAfter(kStreamLifetime);
    BOOST_TEST(history.onlyVersion("s", now).has_value());
    now += kMaxObservationGap + milliseconds(1);
    BOOST_TEST(!history.onlyVersion("s", now));
    history.observe(directory, now);
    BOOST_TEST(!history.onlyVersion("s", now));
    BOOST_TEST(!history.successorOf("s", "v0", now));
}

BOOST_AUTO_TEST_CASE(oldestVersion_isThatOfTheServerStartedFirst)
{
    BOOST_TEST(!history.oldestVersion("s"));
    add("i-1", "v2", 2000);
    add("i-2", "v1", 1000);
    add("i-3", "v2", 500);
    observeAfter(milliseconds(0));
    BOOST_TEST(history.oldestVersion("s").value_or("") == "v2");
    remove("i-3");
    observeAfter(milliseconds(0));
    BOOST_TEST(history.oldestVersion("s").value_or("") == "v1");
}

// Guards against refusing streams in deployments whose servers name no version.
BOOST_AUTO_TEST_CASE(namesNoVersion_onlyIfNoServerNamedOneLately)
{
    BOOST_TEST(!history.namesNoVersion("s"));
    add("i-1", "");
    observeAfter(milliseconds(0));
    BOOST_TEST(history.namesNoVersion("s"));
    add("i-2", "v1");
    observeAfter(milliseconds(0));
    BOOST_TEST(!history.namesNoVersion("s"));
    remove("i-2");
    observeAfter(milliseconds(0));
    BOOST_TEST(!history.namesNoVersion("s"));
    observeAfter(kStreamLifetime + milliseconds(1));
    BOOST_TEST(history.namesNoVersion("s"));
}

BOOST_AUTO_TEST_CASE(establishedVersion_hasServerOlderThanAnyStream)
{
    const std::int64_t unixNow = 1000000;
    add("i-1", "v1", unixNow - kStreamLifetime.count());
    observeAfter(milliseconds(0));
    BOOST_TEST(!history.establishedVersion("s", unixNow));
    BOOST_TEST(history.establishedVersion("s", unixNow + 1).value_or("") == "v1");
    add("i-2", "v2", unixNow);
    observeAfter(milliseconds(0));
    BOOST_TEST(!history.establishedVersion("s", unixNow + 1));
}

// Guards against a version that begins streams as soon as its first server registers, because that
// server was started long before: other daemons do not know it yet.
BOOST_AUTO_TEST_CASE(preferredVersion_oldServerRegistersLate_isTheKnownVersion)
{
    add("i-1", "v1");
    observeAfter(milliseconds(1000));
    add("i-2", "v2", kUnixNow - 60000);
    observeAfter(milliseconds(100));
    BOOST_TEST(preferred() == "v1");
    observeAfter(kVersionSettleTime);
    BOOST_TEST(preferred().empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::streams
