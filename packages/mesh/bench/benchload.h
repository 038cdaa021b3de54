// Generates cell loads for the benchmarks, in which every cell reports a new load each second.
#pragma once

#include "auburn/mesh/memberview.h"

#include <random>
#include <string>
#include <vector>

namespace auburn {

// Returns the number of cells in a failure domain at the design scale: 3 services, each with one
// cell per 16 backend servers, rounded up to a power of two, as in section 2.1 of the design.
unsigned cellCountFor(unsigned backendServers);

// Creates random loads for the cells that the view's own daemon owns, with requests waiting in all
// 8 tiers.
std::vector<CellLoad> makeLoads(const MemberView &view, unsigned backendServers,
                                std::mt19937_64 &random);

} // namespace auburn
