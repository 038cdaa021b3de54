#include "auburn/schedule/cells.h"

#include "auburn/core/hash.h"

#include <bit>

namespace auburn {

namespace {

constexpr std::size_t kRunnersPerCell = 16;

} // namespace

unsigned cellCount(std::size_t runners)
{
    const std::size_t cells = (runners + kRunnersPerCell - 1) / kRunnersPerCell;
    return static_cast<unsigned>(std::bit_ceil(cells));
}

unsigned cellOfRunner(std::string_view runner, unsigned cells)
{
    return static_cast<unsigned>(stableHash(runner) % cells);
}

std::string cellKey(std::string_view service, std::string_view place, unsigned cell)
{
    std::string key(service);
    key += '/';
    key += place;
    key += '/';
    key += std::to_string(cell);
    return key;
}

} // namespace auburn
