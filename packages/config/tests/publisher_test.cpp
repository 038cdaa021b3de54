#include "auburn/config/configpublisher.h"

#include "changes.h"
#include "testplatform.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <optional>
#include <utility>
#include <vector>

namespace auburn {

using namespace tests;

namespace {

class PublisherFixture : public PlatformFixture
{
public:
    PublisherFixture()
        : daemon(makeDaemon("d1"))
    {
        daemon->follower->setFollowing(true);
        daemon->follower->start();
        waitUntil([this]() { return daemon->hasConfig(); });
    }

    qint64 appends()
    {
        return logProcess.streamStat(QStringLiteral("config"), QStringLiteral("appends"));
    }

    std::unique_ptr<TestDaemon> daemon;
};

// A log whose appends are lost; reads work.
class SilentAppends : public LogClient
{
public:
    explicit SilentAppends(LogClient &log)
        : log_(log)
    {}

    void append(const std::string &, std::string, AppendCallback) override {}

    void read(const std::string &stream, std::uint64_t from, std::size_t max,
              std::chrono::milliseconds wait, ReadCallback callback) override
    {
        log_.read(stream, from, max, wait, std::move(callback));
    }

private:
    LogClient &log_;
};

// A log whose answers to reads can be held back.
class HeldReads : public LogClient
{
public:
    explicit HeldReads(LogClient &log)
        : log_(log)
    {}

    void append(const std::string &, std::string, AppendCallback) override {}

    void read(const std::string &stream, std::uint64_t from, std::size_t max,
              std::chrono::milliseconds wait, ReadCallback callback) override
    {
        log_.read(stream, from, max, wait,
                  [this, callback = std::move(callback)](const std::optional<LogBatch> &batch) {
                      heldAnswers.emplace_back([callback, batch]() { callback(batch); });
                      if (!holding)
                          release();
                  });
    }

    void release()
    {
        holding = false;
        const auto answers = std::exchange(heldAnswers, {});
        for (const auto &answer : answers)
            answer();
    }

    bool holding = false;
    std::vector<std::function<void()>> heldAnswers;

private:
    LogClient &log_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(publisher, PublisherFixture)

// Guards against a report before the change is in effect at this daemon. The first append of all
// gets offset 0, which readers ignore, so it is repeated.
BOOST_AUTO_TEST_CASE(submit_validChange_acceptedOnceInStore)
{
    const auto result = daemon->submit(change("a", 0, organisation("a", 3)));
    const auto *accepted = std::get_if<ChangeAccepted>(&result);
    BOOST_REQUIRE(accepted);
    BOOST_TEST(accepted->revision == 1U);
    BOOST_REQUIRE(daemon->store.current()->organisation("a"));
    BOOST_TEST(daemon->store.revision() >= accepted->revision);
    BOOST_TEST(daemon->follower->history().size() == 1U);
}

// Guards against a change that counts twice, or is reported as lost, because its answer was lost
// after the append.
BOOST_AUTO_TEST_CASE(submit_answersLostAfterAppend_acceptedOnce)
{
    BOOST_REQUIRE(std::holds_alternative<ChangeAccepted>(
            daemon->submit(change("a", 0, organisation("a", 3)))));
    logProcess.control({ { QStringLiteral("drop_answers"), 10 } });
    const auto result = daemon->submit(change("b", 1, organisation("a", 4)));
    BOOST_REQUIRE(std::holds_alternative<ChangeAccepted>(result));
    BOOST_TEST(daemon->store.current()->organisation("a")->maxConcurrent == 4U);
    BOOST_TEST(daemon->follower->history().size() == 2U);
}

// Guards against a result that comes from the append alone, before the record is read back.
BOOST_AUTO_TEST_CASE(submit_appendAnsweredBeforeReadBack_waitsForTheFold)
{
    HeldReads reads(*daemon->log);
    ConfigStore store;
    const auto bus = network.makeBus("late");
    const auto follower = ConfigFollower::make({}, reads, *bus, store);
    follower->setFollowing(true);
    follower->start();
    waitUntil([&store]() { return store.current() != nullptr; });
    const auto publisher = ConfigPublisher::make({}, *daemon->log, *follower, store);
    reads.holding = true;
    std::optional<PublishResult> result;
    publisher->submit(removal("a", 0, organisation("absent")),
                      [&result](const PublishResult &given) { result = given; });
    waitUntil([this]() { return appends() >= 2; });
    runFor(std::chrono::milliseconds(200));
    BOOST_TEST(!result.has_value());
    reads.release();
    waitUntil([&result]() { return result.has_value(); });
    BOOST_CHECK(std::holds_alternative<ChangeInvalid>(*result));
}

// Guards against two daemons that both report success, or both failure, for racing changes.
BOOST_AUTO_TEST_CASE(submit_racingChangesAtTwoDaemons_exactlyOneAccepted)
{
    daemon->submit(change("a", 0, organisation("a")));
    const auto other = makeDaemon("d2");
    other->follower->start();
    waitUntil([&other]() { return other->hasConfig(); });
    std::vector<PublishResult> results;
    const auto collect = [&results](const PublishResult &result) { results.push_back(result); };
    const std::uint64_t base = 1;
    daemon->publisher->submit(change("left", base, organisation("a", 5)), collect);
    other->publisher->submit(change("right", base, organisation("a", 7)), collect);
    waitUntil([&results]() { return results.size() == 2; });
    std::size_t accepted = 0;
    std::size_t conflicts = 0;
    for (const PublishResult &result : results) {
        accepted += std::holds_alternative<ChangeAccepted>(result) ? 1 : 0;
        conflicts += std::holds_alternative<ChangeConflict>(result) ? 1 : 0;
    }
    BOOST_TEST(accepted == 1U);
    BOOST_TEST(conflicts == 1U);
    waitUntil([&]() { return daemon->store.revision() == 3; });
}

// Guards against a refused append that is reported as unknown, and against a later effect of it.
BOOST_AUTO_TEST_CASE(submit_logRefusesConnections_unavailableAndNeverAppended)
{
    daemon->submit(change("a", 0, organisation("a")));
    const qint64 before = appends();
    logProcess.control({ { QStringLiteral("refuse_ms"), 1500 } });
    const auto result = daemon->submit(change("b", 1, organisation("a", 4)));
    BOOST_CHECK(std::holds_alternative<ChangeUnavailable>(result));
    waitUntil([this]() {
        return std::holds_alternative<ChangeAccepted>(
                daemon->submit(change("", 0, organisation("b"))));
    });
    BOOST_TEST(appends() == before + 1);
    BOOST_TEST(daemon->store.current()->organisation("a")->maxConcurrent == 0U);
}

// Guards against an outage that fails a change for good although the log comes back in time.
BOOST_AUTO_TEST_CASE(submit_logReturnsWithinDeadline_accepted)
{
    logProcess.control({ { QStringLiteral("outage"), true } });
    // Enough attempts to bridge the outage.
    daemon->publisher = ConfigPublisher::make(
            { .retryDelay = std::chrono::milliseconds(20), .attempts = 100000 }, *daemon->log,
            *daemon->follower, daemon->store);
    std::optional<PublishResult> result;
    daemon->publisher->submit(change("a", 0, organisation("a")),
                              [&result](const PublishResult &given) { result = given; });
    runFor(std::chrono::milliseconds(100));
    logProcess.control({ { QStringLiteral("outage"), false } });
    waitUntil([&result]() { return result.has_value(); });
    BOOST_CHECK(std::holds_alternative<ChangeAccepted>(*result));
}

// Guards against an unknown outcome, or a late effect, of a change submitted during an outage.
BOOST_AUTO_TEST_CASE(submit_outage_unavailableAndNeverAppended)
{
    logProcess.control({ { QStringLiteral("outage"), true } });
    const auto result = daemon->submit(change("a", 0, organisation("a")));
    BOOST_CHECK(std::holds_alternative<ChangeUnavailable>(result));
    logProcess.control({ { QStringLiteral("outage"), false } });
    BOOST_CHECK(std::holds_alternative<ChangeAccepted>(
            daemon->submit(change("b", 0, organisation("b")))));
    BOOST_TEST(!daemon->store.current()->organisation("a"));
    // The second change alone, once more because of offset 0.
    BOOST_TEST(appends() == 2);
}

// Guards against a submission that never ends, and against a claim of success or of certain
// failure, when no append is answered and none is read back.
BOOST_AUTO_TEST_CASE(submit_appendsNeverAnswered_unknownAtDeadline)
{
    SilentAppends log(*daemon->log);
    const auto publisher = ConfigPublisher::make({ .deadline = std::chrono::milliseconds(300) },
                                                 log, *daemon->follower, daemon->store);
    std::optional<PublishResult> result;
    publisher->submit(change("a", 0, organisation("a")),
                      [&result](const PublishResult &given) { result = given; });
    waitUntil([&result]() { return result.has_value(); });
    BOOST_CHECK(std::holds_alternative<ChangeUnknown>(*result));
}

// Guards against an operator's repeated submission under one id that is applied or refused anew.
BOOST_AUTO_TEST_CASE(submit_sameIdAgain_sameResultWithoutAppend)
{
    const auto first = daemon->submit(change("a", 0, organisation("a")));
    const qint64 before = appends();
    const auto second = daemon->submit(change("a", 0, organisation("a")));
    BOOST_TEST(std::get<ChangeAccepted>(first).revision
               == std::get<ChangeAccepted>(second).revision);
    BOOST_TEST(appends() == before);
}

// Guards against a mistyped change that costs an append, and against a missing reason.
BOOST_AUTO_TEST_CASE(submit_invalidChange_rejectedWithoutAppend)
{
    const auto result = daemon->submit(change("a", 0, RequestClass{ .name = "a", .tier = 9 }));
    BOOST_REQUIRE(std::holds_alternative<ChangeInvalid>(result));
    BOOST_TEST(std::get<ChangeInvalid>(result).reason == "class tier must be below 8");
    BOOST_TEST(appends() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn
