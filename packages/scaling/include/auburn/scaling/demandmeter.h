// DemandMeter counts the requests that this daemon has at the servers of each service, and makes
// the reports from which the holder of the duties derives how many servers are needed.
//
// It runs on the thread of the gateway.
#pragma once

#include "auburn.pb.h"
#include "auburn/routing/attempt.h"
#include "auburn/routing/trafficconfig.h"
#include "auburn/scaling/slidingmaximum.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace auburn::scaling {

class DemandMeter
{
public:
    // The incarnation distinguishes processes with the same VM name.
    DemandMeter(std::string vm, std::uint64_t incarnation);

    void attemptStarted(const std::string &service, std::uint64_t uncachedTokens);
    // The first token or the response was received.
    void attemptProgressed(const std::string &service);
    void attemptEnded(const std::string &service, bool progressed, routing::AttemptOutcome outcome);
    // A request was rejected for lack of capacity before any attempt started.
    void requestRejected(const std::string &service);

    // Returns the parts of a report if the last one was made at least a second ago and a service of
    // the configuration may be scaled.
    std::vector<proto::DemandReport> makeReports(const routing::TrafficConfig &config,
                                                 TimePoint now);

private:
    struct Counts
    {
        std::uint32_t inProgress = 0;
        std::uint32_t waiting = 0;
        // Since the last report.
        std::uint64_t uncachedTokens = 0;
        std::uint32_t rejected = 0;
    };

    static proto::ServiceDemand toDemand(const std::string &service, const Counts &counts);

    const std::string vm_;
    const std::uint64_t incarnation_;
    std::map<std::string, Counts> services_;
    std::uint64_t number_ = 0;
    std::optional<TimePoint> reportedAt_;
};

} // namespace auburn::scaling
