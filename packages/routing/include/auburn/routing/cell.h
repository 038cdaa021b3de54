// Cell identifies a part of the engines of a failure domain. In a large fleet one daemon, the
// owner, places all requests of one service for it.
//
// A failure domain with many engines is divided into several cells, because the cost of a placement
// grows with the number of engines and one owner could not place the requests of all of them.
#pragma once

#include "auburn/routing/placement.h"
#include "auburn/routing/serverdirectory.h"

#include <string>
#include <vector>

namespace auburn::routing {

struct Cell
{
    std::string failureDomain;
    // Index of the cell and the number of cells into which the failure domain's engines are divided
    // by a hash of the server id.
    unsigned part = 0;
    unsigned parts = 1;

    // Does not check the service of the server.
    bool contains(const BackendServer &server) const;
    bool operator==(const Cell &) const = default;
};

// Returns the cell that serves the query. It is derived from the id of the session's prompt part,
// so all daemons select the same cell. Gap-sensitive streams and queries without a prompt use
// ownDomain, the failure domain of this daemon, if it has engines. The failure domain of the result
// is empty if there are no servers.
Cell cellForQuery(const std::vector<const BackendServer *> &servers, const PlacementQuery &query,
                  const std::string &ownDomain);

} // namespace auburn::routing
