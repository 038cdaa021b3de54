// PlacementSource is the interface through which the gateway obtains a server for each attempt and
// reports the progress of the attempt.
#pragma once

#include "auburn/routing/placement.h"

#include <chrono>
#include <functional>
#include <optional>

namespace auburn::routing {

class PlacementSource
{
public:
    using TimePoint = Placement::TimePoint;
    using ChoiceHandler = std::function<void(std::optional<PlacementChoice>)>;

    virtual ~PlacementSource() = default;

    // Calls the handler exactly once, either immediately or later on the same thread. If there is a
    // choice, the attempt counts as started and must be ended with attemptEnded().
    virtual void place(const PlacementQuery &query, std::chrono::milliseconds timeLeft,
                       ChoiceHandler handler) = 0;
    virtual void attemptProgressed(const PlacementChoice &choice,
                                   std::chrono::microseconds sinceStart) = 0;
    virtual void attemptEnded(const PlacementChoice &choice, bool progressed,
                              AttemptOutcome outcome) = 0;
};

// Places requests by this daemon's own view of the servers.
class LocalPlacementSource : public PlacementSource
{
public:
    LocalPlacementSource(const ServerDirectory &directory, Placement &placement)
        : directory_(directory)
        , placement_(placement)
    {}

    void place(const PlacementQuery &query, std::chrono::milliseconds timeLeft,
               ChoiceHandler handler) override;
    void attemptProgressed(const PlacementChoice &choice,
                           std::chrono::microseconds sinceStart) override;
    void attemptEnded(const PlacementChoice &choice, bool progressed,
                      AttemptOutcome outcome) override;

private:
    const ServerDirectory &directory_;
    Placement &placement_;
};

} // namespace auburn::routing
