// Tests that a daemon that was paused or delayed does not act on choices and deadlines that have
// expired in the meantime, and still responds to the requests that it has accepted.

#include "gatewayfixture.h"

#include "auburn/core/bootclock.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <thread>
#include <utility>

namespace auburn::gateway {

using routing::AttemptOutcome;
using routing::PlacementChoice;
using routing::PlacementQuery;
using std::chrono::milliseconds;

namespace {

// Forwards the choices of the local source after a delay, like an owner that was paused.
class DelayedPlacementSource : public routing::PlacementSource
{
public:
    DelayedPlacementSource(boost::asio::io_context &io, routing::PlacementSource &local)
        : io_(io)
        , local_(local)
    {}

    // Delays the next choice only.
    void delayNext(milliseconds delay) { delay_ = delay; }
    unsigned choiceCount() const { return choiceCount_; }
    unsigned releasedCount() const { return releasedCount_; }

    void place(const PlacementQuery &query, milliseconds timeLeft, ChoiceHandler handler) override
    {
        ++choiceCount_;
        const milliseconds delay = std::exchange(delay_, milliseconds(0));
        local_.place(query, timeLeft, [&](const std::optional<PlacementChoice> &choice) {
            if (delay.count() == 0) {
                handler(choice);
                return;
            }
            auto timer = std::make_shared<boost::asio::steady_timer>(io_, delay);
            timer->async_wait(
                    [timer, handler, choice](boost::system::error_code) { handler(choice); });
        });
    }

    void attemptProgressed(const PlacementChoice &choice,
                           std::chrono::microseconds sinceStart) override
    {
        local_.attemptProgressed(choice, sinceStart);
    }

    void attemptEnded(const PlacementChoice &choice, bool progressed,
                      AttemptOutcome outcome) override
    {
        releasedCount_ += outcome == AttemptOutcome::Abandoned ? 1 : 0;
        local_.attemptEnded(choice, progressed, outcome);
    }

private:
    boost::asio::io_context &io_;
    routing::PlacementSource &local_;
    milliseconds delay_{ 0 };
    unsigned choiceCount_ = 0;
    unsigned releasedCount_ = 0;
};

struct PauseFixture : GatewayFixture
{
    PauseFixture()
        : delayedSource(io, placementSource)
    {
        gateway.reset();
        startGateway(delayedSource);
    }

    ScriptedServer &addDesk(const std::string &id)
    {
        return addServer(id, "desk", [](const ScriptedRequest &) {
            return ScriptedReply{ .parts = { { sealed(200, "yes") } } };
        });
    }

    DelayedPlacementSource delayedSource;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(pause, PauseFixture)

// The choice reflects the state before the pause; the chosen server may have been removed since.
BOOST_AUTO_TEST_CASE(choice_arrivesAfterAPause_isMadeAgain)
{
    ScriptedServer &first = addDesk("s1");
    delayedSource.delayNext(milliseconds(800));
    ScriptedClient client(io, address);
    client.send(request("POST", "/order/x", {}, "b"));
    runFor(io, milliseconds(100));
    ScriptedServer &second = addDesk("s2");
    state.directory.removeImmediately("s1", ++logPosition);
    BOOST_REQUIRE(runUntil(io, [&] { return isComplete(client.received()); }));
    BOOST_TEST(statusOf(client.received()) == 200);
    BOOST_TEST(first.requests().empty());
    BOOST_TEST(second.requests().size() == 1U);
    BOOST_TEST(delayedSource.releasedCount() == 1U);
}

BOOST_AUTO_TEST_CASE(choice_arrivesAfterTheDeadline_isNotSent)
{
    ScriptedServer &server = addDesk("s1");
    delayedSource.delayNext(milliseconds(250));
    ScriptedClient client(io, address);
    client.send(request("POST", "/order/x", "X-Deadline: 200\r\n", "b"));
    // The process is paused, so the deadline timer and the choice become ready together.
    runFor(io, milliseconds(50));
    std::this_thread::sleep_for(milliseconds(400));
    BOOST_REQUIRE(runUntil(io, [&] { return isComplete(client.received()); }));
    BOOST_TEST(statusOf(client.received()) == 503);
    BOOST_TEST(server.requests().empty());
    runFor(io, milliseconds(50));
    BOOST_TEST(delayedSource.releasedCount() == 1U);
}

// The VM was suspended. Only the clock that includes suspended time shows that the deadline of the
// caller has passed.
BOOST_AUTO_TEST_CASE(request_vmSuspendedBeforeItIsSent_isNotSent)
{
    ScriptedServer &server = addDesk("s1");
    delayedSource.delayNext(milliseconds(100));
    ScriptedClient client(io, address);
    client.send(request("POST", "/order/x", "X-Deadline: 1000\r\n", "b"));
    runFor(io, milliseconds(50));
    const SuspendedTimeForTest suspended(milliseconds(5000));
    BOOST_REQUIRE(runUntil(io, [&] { return isComplete(client.received()); }));
    BOOST_TEST(statusOf(client.received()) == 503);
    BOOST_TEST(server.requests().empty());
}

// The request was sent before the idle limit of the connection. After a pause, the idle timer and
// the request become ready together.
BOOST_AUTO_TEST_CASE(idleConnection_requestArrivesDuringAPause_isAnswered)
{
    ScriptedServer &server = addDesk("s1");
    gateway->drain(milliseconds(200));
    ScriptedClient client(io, address);
    runFor(io, milliseconds(50));
    client.send(request("POST", "/order/x", {}, "b"));
    std::this_thread::sleep_for(milliseconds(400));
    BOOST_REQUIRE(runUntil(io, [&] { return isComplete(client.received()) || client.isClosed(); }));
    BOOST_TEST(statusOf(client.received()) == 200);
    BOOST_TEST(server.requests().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::gateway
