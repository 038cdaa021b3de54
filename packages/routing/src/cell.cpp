#include "auburn/routing/cell.h"

#include "auburn/core/hash.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <map>
#include <string_view>

namespace auburn::routing {

namespace {

// Returns the number of cells, a power of two, so that a cell is split or merged as a whole when
// engines are added or removed.
unsigned partCount(unsigned engines)
{
    constexpr unsigned kEnginesPerCell = 32;
    return std::bit_ceil((engines + kEnginesPerCell - 1) / kEnginesPerCell);
}

// Score of weighted rendezvous hashing: the probability that a candidate has the highest score is
// proportional to its weight.
double weightedScore(std::string_view name, std::uint64_t key, double weight)
{
    const double unit = (static_cast<double>(stableHash(name, key) >> 11) + 0.5)
                        / static_cast<double>(std::uint64_t{ 1 } << 53);
    return -weight / std::log(unit);
}

std::string selectDomain(const std::map<std::string, unsigned> &engines,
                         const PlacementQuery &query, const std::string &ownDomain)
{
    const bool prefersOwnDomain = query.gapSensitiveStream || query.prompt.empty();
    if (prefersOwnDomain && engines.contains(ownDomain))
        return ownDomain;
    const std::uint64_t key = sessionPartId(query.prompt);
    const auto best = std::max_element(engines.begin(), engines.end(),
                                       [key](const auto &left, const auto &right) {
                                           return weightedScore(left.first, key, left.second)
                                                  < weightedScore(right.first, key, right.second);
                                       });
    return best->first;
}

} // namespace

bool Cell::contains(const BackendServer &server) const
{
    return server.failureDomain == failureDomain
           && (parts <= 1 || stableHash(server.id) % parts == part);
}

Cell cellForQuery(const std::vector<const BackendServer *> &servers, const PlacementQuery &query,
                  const std::string &ownDomain)
{
    std::map<std::string, unsigned> engines;
    for (const BackendServer *server : servers)
        ++engines[server->failureDomain];
    if (engines.empty())
        return {};
    Cell cell{ .failureDomain = selectDomain(engines, query, ownDomain) };
    cell.parts = partCount(engines[cell.failureDomain]);
    const std::uint64_t session = sessionPartId(query.prompt);
    const std::string_view bytes(reinterpret_cast<const char *>(&session), sizeof(session));
    cell.part = static_cast<unsigned>(stableHash(bytes) % cell.parts);
    return cell;
}

} // namespace auburn::routing
