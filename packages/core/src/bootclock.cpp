#include "auburn/core/bootclock.h"

#include <atomic>
#include <ctime>

namespace auburn {

namespace {

std::atomic<std::chrono::milliseconds::rep> suspendedForTest{ 0 };

} // namespace

BootClock::time_point BootClock::now()
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return time_point(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)
                      + std::chrono::milliseconds(suspendedForTest.load()));
}

SuspendedTimeForTest::SuspendedTimeForTest(std::chrono::milliseconds time)
    : time_(time)
{
    suspendedForTest += time_.count();
}

SuspendedTimeForTest::~SuspendedTimeForTest()
{
    suspendedForTest -= time_.count();
}

} // namespace auburn
