#include "auburn/scaling/meteredplacement.h"

#include <utility>

namespace auburn::scaling {

void MeteredPlacement::place(const routing::PlacementQuery &query,
                             std::chrono::milliseconds timeLeft, ChoiceHandler handler)
{
    source_.place(query, timeLeft,
                  [this, service = query.service->name,
                   handler = std::move(handler)](std::optional<routing::PlacementChoice> choice) {
                      if (choice) {
                          meter_.attemptStarted(service, choice->uncachedTokens);
                          choice->service = service;
                      } else {
                          meter_.requestRejected(service);
                      }
                      handler(std::move(choice));
                  });
}

void MeteredPlacement::attemptProgressed(const routing::PlacementChoice &choice,
                                         std::chrono::microseconds sinceStart)
{
    meter_.attemptProgressed(choice.service);
    source_.attemptProgressed(choice, sinceStart);
}

void MeteredPlacement::attemptEnded(const routing::PlacementChoice &choice, bool progressed,
                                    routing::AttemptOutcome outcome)
{
    meter_.attemptEnded(choice.service, progressed, outcome);
    source_.attemptEnded(choice, progressed, outcome);
}

} // namespace auburn::scaling
