// Tests that the common time does not follow single wall clocks.

#include "auburn/usage/fleetclock.h"

#include <boost/test/unit_test.hpp>

namespace auburn::usage {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct ClockFixture
{
    // Records the clocks of all daemons for some seconds; the first is the own one.
    void run(const std::vector<milliseconds> &errors, seconds time)
    {
        for (const auto end = now + time; now < end; now += milliseconds(250)) {
            for (std::size_t i = errors.size(); i > 0; --i)
                clock.recordClock("vm" + std::to_string(i - 1), trueTime() + errors[i - 1], now);
        }
    }

    milliseconds trueTime() const
    {
        return std::chrono::duration_cast<milliseconds>(now.time_since_epoch()) + seconds(5000);
    }
    std::int64_t error() const { return (clock.unixTime(now) - trueTime()).count(); }

    BootClock::time_point now{ seconds(100) };
    FleetClock clock{ "vm0" };
};

constexpr milliseconds kNone{ 0 };
constexpr milliseconds kJump{ 2000 };

} // namespace

BOOST_FIXTURE_TEST_SUITE(fleetClock, ClockFixture)

BOOST_AUTO_TEST_CASE(minority_jumps_isIgnored)
{
    run({ kNone, kNone, kNone, kNone, kNone }, seconds(5));
    run({ kJump, -kJump, kNone, kNone, kNone }, seconds(5));
    BOOST_TEST(error() == 0);
}

// With two daemons the median alone cannot tell which clock has jumped.
BOOST_AUTO_TEST_CASE(oneOfTwo_jumps_isIgnored)
{
    run({ kNone, kNone }, seconds(5));
    run({ kNone, kJump }, seconds(5));
    BOOST_TEST(error() == 0);
    run({ kNone, kNone }, seconds(5));
    run({ -kJump, kNone }, seconds(5));
    BOOST_TEST(error() == 0);
}

// A daemon that starts with a wrong clock learns the time from the first heartbeats.
BOOST_AUTO_TEST_CASE(ownClock_wrongAtTheStart_isCorrectedAtOnce)
{
    run({ kJump }, seconds(1));
    run({ kJump, kNone, kNone }, seconds(1));
    BOOST_TEST(error() == 0);
}

// The delay of heartbeats from other regions must not shift the time.
BOOST_AUTO_TEST_CASE(heartbeats_delayed_ownClockIsUsed)
{
    run({ kNone, milliseconds(-80), milliseconds(-120), milliseconds(-150) }, seconds(5));
    BOOST_TEST(error() == 0);
}

// After a suspension, old heartbeats are read at once and make all other clocks look slow.
BOOST_AUTO_TEST_CASE(heartbeats_readAfterASuspension_areIgnored)
{
    run({ kNone, kNone, kNone, kNone }, seconds(5));
    now += seconds(4);
    for (int vm = 1; vm <= 3; ++vm)
        clock.recordClock("vm" + std::to_string(vm), trueTime() - seconds(4), now);
    clock.recordClock("vm0", trueTime(), now);
    BOOST_TEST(error() == 0);
    now += milliseconds(250);
    run({ kNone, kNone, kNone, kNone }, seconds(2));
    BOOST_TEST(error() == 0);
}

BOOST_AUTO_TEST_CASE(peer_withoutClock_isIgnored)
{
    run({ kNone }, seconds(3));
    clock.recordClock("old1", kNone, now);
    clock.recordClock("old2", kNone, now);
    run({ kNone }, seconds(3));
    BOOST_TEST(error() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::usage
