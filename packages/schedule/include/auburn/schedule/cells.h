// Cells: how the backend servers of one service in one failure domain are divided among owner
// daemons.
//
// Fronts and owners must compute the same division, so both sides use these functions only.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace auburn {

// Cell number of a request to another failure domain: the daemon that receives it chooses the cell.
constexpr unsigned kAnyCell = 0xffffffffU;

// Number of cells of a pool with the given number of configured backend servers, draining ones
// included: the next power of two of backend servers / 16, at least 1. Sixteen backend servers keep
// the grants of one owner well under its CPU budget, and a power of two moves at most half of the
// backend servers on growth.
unsigned cellCount(std::size_t backendServers);

// Cell of a backend server in a pool with the given number of cells.
unsigned cellOfBackendServer(std::string_view backendServer, unsigned cells);

// Key of a cell for rendezvous hashing: "SERVICE/FAILURE_DOMAIN/CELL".
std::string cellKey(std::string_view service, std::string_view failureDomain, unsigned cell);

} // namespace auburn
