// MeteredPlacement passes placements and the progress of attempts on to another source and counts
// them in a DemandMeter.
//
// All attempts of the gateway pass through its placement source, whichever daemon places them, so
// this is the one place at which the demand that arrives at this daemon can be seen.
#pragma once

#include "auburn/routing/placementsource.h"
#include "auburn/scaling/demandmeter.h"

namespace auburn::scaling {

class MeteredPlacement : public routing::PlacementSource
{
public:
    // Both must live longer than this object; this object must live as long as the source may call
    // handlers.
    MeteredPlacement(routing::PlacementSource &source, DemandMeter &meter)
        : source_(source)
        , meter_(meter)
    {}

    void place(const routing::PlacementQuery &query, std::chrono::milliseconds timeLeft,
               ChoiceHandler handler) override;
    void attemptProgressed(const routing::PlacementChoice &choice,
                           std::chrono::microseconds sinceStart) override;
    void attemptEnded(const routing::PlacementChoice &choice, bool progressed,
                      routing::AttemptOutcome outcome) override;

private:
    routing::PlacementSource &source_;
    DemandMeter &meter_;
};

} // namespace auburn::scaling
