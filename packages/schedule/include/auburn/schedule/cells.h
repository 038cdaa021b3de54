// Cells: how the runners of one service in one place are divided among owner daemons.
//
// Fronts and owners must compute the same division, so both sides use these functions only.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace auburn {

// Cell number of a request to another place: the daemon that receives it chooses the cell.
constexpr unsigned kAnyCell = 0xffffffffU;

// Number of cells of a pool with the given number of configured runners, draining ones included:
// the next power of two of runners / 16, at least 1. Sixteen runners keep the grants of one owner
// well under its CPU budget, and a power of two moves at most half of the runners on growth.
unsigned cellCount(std::size_t runners);

// Cell of a runner in a pool with the given number of cells.
unsigned cellOfRunner(std::string_view runner, unsigned cells);

// Key of a cell for rendezvous hashing: "SERVICE/PLACE/CELL".
std::string cellKey(std::string_view service, std::string_view place, unsigned cell);

} // namespace auburn
