// OutsideLoad estimates how many requests all daemons have in progress at one server, from the
// number that the server reported and the number that this daemon had there at that time.
//
// Many daemons see the same report of a server that has just become fast, and each knows only its
// own requests at once. If all of them sent requests until their own number is high, the server
// would get many times its share. Each daemon therefore assumes that the others do the same as
// itself: its own change since the report counts as often as its requests fit into the reported
// ones. The numbers in heartbeats are too old for this.
#pragma once

#include <chrono>
#include <optional>

namespace auburn::routing {

class OutsideLoad
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    void recordReport(unsigned reported, unsigned own, TimePoint now);
    // Returns the estimate. The total that is known from heartbeats counts if there is no recent
    // report.
    double estimate(unsigned own, unsigned total, TimePoint now) const;

private:
    double meanReported_ = 0;
    double meanOwn_ = 0;
    // Requests of all daemons for each own one.
    double ratio_ = 1;
    unsigned reported_ = 0;
    unsigned own_ = 0;
    std::optional<TimePoint> reportedAt_;
};

} // namespace auburn::routing
