#include "auburn/routing/attempt.h"

namespace auburn::routing {

std::string_view attemptOutcomeName(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::Succeeded:
        return "succeeded";
    case AttemptOutcome::ServerError:
        return "server_error";
    case AttemptOutcome::Failed:
        return "failed";
    case AttemptOutcome::Rejected:
        return "rejected";
    case AttemptOutcome::Abandoned:
        return "abandoned";
    }
    return "unknown";
}

} // namespace auburn::routing
