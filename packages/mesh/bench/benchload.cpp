#include "benchload.h"

#include <bit>

namespace auburn {

namespace {

constexpr unsigned kServices = 3;
constexpr unsigned kBackendServersPerCell = 16;
constexpr unsigned kTiers = 8;

unsigned cellsPerService(unsigned backendServers)
{
    const unsigned pool = backendServers / kServices;
    return std::bit_ceil((pool + kBackendServersPerCell - 1) / kBackendServersPerCell);
}

} // namespace

unsigned cellCountFor(unsigned backendServers)
{
    return kServices * cellsPerService(backendServers);
}

std::vector<CellLoad> makeLoads(const MemberView &view, unsigned backendServers,
                                std::mt19937_64 &random)
{
    std::vector<CellLoad> loads;
    for (unsigned service = 0; service < kServices; ++service) {
        const std::string name = "model-" + std::to_string(service);
        for (unsigned cell = 0; cell < cellsPerService(backendServers); ++cell) {
            if (view.ownerOf(name + "/" + std::to_string(cell)) != view.selfId)
                continue;
            CellLoad load{ .service = name, .cell = cell, .owner = view.selfId };
            load.totalSlots = kBackendServersPerCell * 16;
            load.freeSlots = static_cast<unsigned>(random() % load.totalSlots);
            for (unsigned tier = 0; tier < kTiers; ++tier)
                load.waitingByTier.push_back(static_cast<unsigned>(random() % 200));
            loads.push_back(std::move(load));
        }
    }
    return loads;
}

} // namespace auburn
