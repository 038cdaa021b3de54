// Divides the backend servers of one service in one failure domain into cells. Each cell has one
// owner daemon, which grants the slots of its backend servers.
//
// Requesters and owners must compute the same division, so both use only these functions.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace auburn {

// Cell number in requests to another failure domain, where the receiving daemon chooses the cell.
constexpr unsigned kAnyCell = 0xffffffffU;

// Returns the number of cells for the given number of configured backend servers, including
// draining ones: backend servers / 16, rounded up to a power of two, at least 1. With 16 backend
// servers the grants of one owner stay well under its CPU budget. With a power of two, growth moves
// at most half of the backend servers to another cell.
unsigned cellCount(std::size_t backendServers);

// Returns the cell of a backend server, given the number of cells.
unsigned cellOfBackendServer(std::string_view backendServer, unsigned cells);

// Returns the key of a cell for rendezvous hashing: "SERVICE/FAILURE_DOMAIN/CELL".
std::string cellKey(std::string_view service, std::string_view failureDomain, unsigned cell);

} // namespace auburn
