// PlacementSource: where the gateway gets the server of an attempt from, and whom it tells how the
// attempt goes.
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

    // Calls the handler once, at once or later on the same thread. The attempt counts as started if
    // there is a choice, and must be ended.
    virtual void place(const PlacementQuery &query, std::chrono::milliseconds timeLeft,
                       ChoiceHandler handler) = 0;
    virtual void attemptProgressed(const PlacementChoice &choice,
                                   std::chrono::microseconds sinceStart) = 0;
    virtual void attemptEnded(const PlacementChoice &choice, bool progressed,
                              AttemptOutcome outcome) = 0;
};

// Places by this daemon's own view.
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
