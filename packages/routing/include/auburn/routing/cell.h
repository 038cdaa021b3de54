// Cell: the engines among which one daemon places all requests of a large fleet.
//
// A failure domain with many engines has several cells, because the cost of a placement grows with
// the engines and one owner could not place the requests of all of them.
#pragma once

#include "auburn/routing/placement.h"
#include "auburn/routing/serverdirectory.h"

#include <string>
#include <vector>

namespace auburn::routing {

struct Cell
{
    std::string failureDomain;
    // Of the parts into which the domain's engines are divided by hash.
    unsigned part = 0;
    unsigned parts = 1;

    bool contains(const BackendServer &server) const;
    bool operator==(const Cell &) const = default;
};

// The cell that serves the query: that of the session's prompt part, so that all daemons agree on
// it; steady streams stay in the given failure domain. No domain if there is no server.
Cell cellForQuery(const std::vector<const BackendServer *> &servers, const PlacementQuery &query,
                  const std::string &ownDomain);

} // namespace auburn::routing
