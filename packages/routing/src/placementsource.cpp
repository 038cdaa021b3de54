#include "auburn/routing/placementsource.h"

namespace auburn::routing {

using Clock = std::chrono::steady_clock;

void LocalPlacementSource::place(const PlacementQuery &query,
                                 std::chrono::milliseconds /*timeLeft*/, ChoiceHandler handler)
{
    const auto now = Clock::now();
    const auto choice = placement_.choose(directory_, query, now);
    if (choice)
        placement_.attemptStarted(*choice, query);
    handler(choice);
}

void LocalPlacementSource::attemptProgressed(const PlacementChoice &choice,
                                             std::chrono::microseconds sinceStart)
{
    placement_.attemptProgressed(choice, sinceStart, Clock::now());
}

void LocalPlacementSource::attemptEnded(const PlacementChoice &choice, bool progressed,
                                        AttemptOutcome outcome)
{
    placement_.attemptEnded(choice, progressed, outcome, Clock::now());
}

} // namespace auburn::routing
