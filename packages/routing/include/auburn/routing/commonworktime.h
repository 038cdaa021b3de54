// CommonWorkTime follows the work time that all servers of one service have in common.
//
// A daemon among many sees each server rarely. If all servers become slower at once, those that it
// has seen since look worse than the others, which receive its requests until it has seen them as
// well. The change that most servers show in a short time is therefore taken as a change of the
// service, and the servers are compared by what remains. The less often single servers change, the
// fewer reports that agree are enough.
#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <vector>

namespace auburn::routing {

class CommonWorkTime
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    // Records the work time of a server as a multiple of what was expected of it, common changes
    // included. The key identifies the server.
    void record(const void *server, double change, TimePoint now);
    // Work time of the service as a multiple of the usual one.
    double workTime() const { return steps_.back().workTime; }
    // The same for a report that was measured at an earlier time: a change is noticed only after
    // several servers have shown it, but applies to their reports as well.
    double workTimeAt(TimePoint measuredAt) const;

private:
    // Until it is known how often single servers change, they are assumed to change often.
    static constexpr double kInitialDeviatingShare = 0.2;

    // The last report of one server.
    struct Entry
    {
        const void *server = nullptr;
        double change = 1;
        TimePoint at;
    };

    // The work time from some time on.
    struct Step
    {
        TimePoint from;
        double workTime = 1;
    };

    // The last change that was followed.
    struct Change
    {
        TimePoint onset;
        TimePoint at;
        bool slower = false;
    };

    void update(TimePoint now);
    void countEntry(const Entry &entry);
    // Returns the number of newest reports whose median is followed.
    std::size_t reportsForMedian() const;
    double medianChange() const;
    // Returns the time of the first report that shows a change in the direction of the median.
    TimePoint findOnset(double median, TimePoint now) const;

    std::vector<Entry> entries_;
    // In ascending order of time; never empty.
    std::vector<Step> steps_ = { {} };
    std::optional<Change> lastChange_;
    // Mean share of reports that differ from what was expected, common changes included.
    double deviatingShare_ = kInitialDeviatingShare;
};

} // namespace auburn::routing
