#include "auburn/routing/cell.h"

#include "auburn/core/hash.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <map>
#include <string_view>

namespace auburn::routing {

namespace {

// A power of two, so that a cell is divided or joined as a whole when engines come or leave.
unsigned partsFor(unsigned engines)
{
    constexpr unsigned kEnginesPerCell = 32;
    return std::bit_ceil((engines + kEnginesPerCell - 1) / kEnginesPerCell);
}

// Rendezvous hashing with weights: the chance of a candidate is proportional to its weight.
double weightedScore(std::string_view name, std::uint64_t key, double weight)
{
    const double unit = (static_cast<double>(stableHash(name, key) >> 11) + 0.5)
                        / static_cast<double>(std::uint64_t{ 1 } << 53);
    return -weight / std::log(unit);
}

std::string domainOf(const std::map<std::string, unsigned> &engines, const PlacementQuery &query,
                     const std::string &ownDomain)
{
    const bool stays = query.gapSensitiveStream || query.prompt.empty();
    if (stays && engines.contains(ownDomain))
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
    Cell cell{ .failureDomain = domainOf(engines, query, ownDomain) };
    cell.parts = partsFor(engines[cell.failureDomain]);
    const std::uint64_t session = sessionPartId(query.prompt);
    const std::string_view bytes(reinterpret_cast<const char *>(&session), sizeof(session));
    cell.part = static_cast<unsigned>(stableHash(bytes) % cell.parts);
    return cell;
}

} // namespace auburn::routing
