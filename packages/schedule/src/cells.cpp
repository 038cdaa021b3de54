#include "auburn/schedule/cells.h"

#include "auburn/core/hash.h"

#include <bit>

namespace auburn {

namespace {

constexpr std::size_t kBackendServersPerCell = 16;

} // namespace

unsigned cellCount(std::size_t backendServers)
{
    const std::size_t cells = (backendServers + kBackendServersPerCell - 1)
                              / kBackendServersPerCell;
    return static_cast<unsigned>(std::bit_ceil(cells));
}

unsigned cellOfBackendServer(std::string_view backendServer, unsigned cells)
{
    return static_cast<unsigned>(stableHash(backendServer) % cells);
}

std::string cellKey(std::string_view service, std::string_view failureDomain, unsigned cell)
{
    std::string key(service);
    key += '/';
    key += failureDomain;
    key += '/';
    key += std::to_string(cell);
    return key;
}

} // namespace auburn
