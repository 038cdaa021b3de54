#include "auburn/routing/attempt.h"

#include "auburn/routing/serverdirectory.h"

#include <algorithm>

namespace auburn::routing {

bool isExcluded(const PlacementQuery &query, const std::string &serverId)
{
    return std::find(query.excluded.begin(), query.excluded.end(), serverId)
           != query.excluded.end();
}

bool isExcluded(const PlacementQuery &query, const BackendServer &server)
{
    return isExcluded(query, server.id)
           || (query.softwareVersion && *query.softwareVersion != server.softwareVersion);
}

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
