// SpeedEstimator learns from the reports of one server how long work takes there at the moment and
// how many requests at once the server handles well.
//
// A report says much about the next moments and nothing about the time after them, because the
// speed changes within about 600 ms: its weight falls with its age, and the mean of past reports
// takes its place. Without reports the mean falls back to the usual speed, so that a server that
// was slow is tried again.
#pragma once

#include "auburn/routing/commonworktime.h"
#include "auburn/routing/concurrencycurve.h"

#include <chrono>
#include <optional>

namespace auburn::routing {

// Time within which the speed of a server that shares its machine changes. The probability that it
// has not changed falls linearly to 0 in this time.
constexpr std::chrono::milliseconds kSpeedReportLifetime{ 600 };

class SpeedEstimator
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    // One report of a server, as it is forwarded to the owner of a cell.
    struct Report
    {
        // Work time in hundredths of the usual one.
        unsigned workTimePercent = 100;
        // Requests running at that time.
        unsigned running = 0;
        unsigned slots = 0;
        TimePoint measuredAt;
    };

    // Returns the work time as a multiple of the usual one, within plausible bounds.
    static double workTimeOf(const Report &report);
    // Records a report. The common work time is the one at the time of the previous report, as it
    // is known now. Returns false for a report that is older than the newest one, which is ignored.
    bool recordReport(const Report &report, double commonWorkTime);
    // Mean of the past reports as a multiple of the common work time.
    double meanWorkTime(const CommonWorkTime &common) const;
    // The server rejected a request while this number was in progress.
    void recordRejection(double running, TimePoint now);

    // Returns true if the server reports its work time.
    bool isKnown() const { return newest_.has_value(); }
    const std::optional<Report> &newestReport() const { return newest_; }
    // Returns true if nothing new is known of a server that was slower than usual, so that only a
    // request can show whether it still is.
    bool needsProbe(TimePoint now, const CommonWorkTime &common) const;
    // Returns the expected work time as a multiple of the one that is common to the service.
    double workTime(TimePoint now, const CommonWorkTime &common) const;
    // Returns the number of requests in progress beyond which no more work is completed.
    double usefulConcurrency(unsigned slots, TimePoint now) const;

private:
    // Returns the mean that includes the newest report, given its work time as a multiple of the
    // common one.
    double meanWith(double newest) const;
    // Returns the work time of the newest report as a multiple of the common one at that time.
    double newestWorkTime(const CommonWorkTime &common) const;

    std::optional<Report> newest_;
    // Mean of the reports before the newest one, which is added when the next one arrives: a common
    // change is noticed only after several servers have shown it.
    double mean_ = 1;
    // Weights of the newest report in the mean if it is above or below the mean.
    double risingGain_ = 0;
    double fallingGain_ = 0;
    ConcurrencyCurve curve_;
    // Number of requests that may be in progress after a rejection.
    double rejectionLimit_ = 0;
    std::optional<TimePoint> rejectedAt_;
};

} // namespace auburn::routing
