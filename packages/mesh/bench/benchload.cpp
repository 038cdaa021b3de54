#include "benchload.h"

#include <bit>

namespace auburn {

namespace {

constexpr unsigned kServices = 3;
constexpr unsigned kRunnersPerCell = 16;
constexpr unsigned kTiers = 8;

unsigned cellsPerService(unsigned runners)
{
    const unsigned pool = runners / kServices;
    return std::bit_ceil((pool + kRunnersPerCell - 1) / kRunnersPerCell);
}

} // namespace

unsigned cellCountFor(unsigned runners)
{
    return kServices * cellsPerService(runners);
}

std::vector<CellLoad> makeLoads(const MemberView &view, unsigned runners, std::mt19937_64 &random)
{
    std::vector<CellLoad> loads;
    for (unsigned service = 0; service < kServices; ++service) {
        const std::string name = "model-" + std::to_string(service);
        for (unsigned cell = 0; cell < cellsPerService(runners); ++cell) {
            if (view.ownerOf(name + "/" + std::to_string(cell)) != view.selfId)
                continue;
            CellLoad load{ .service = name, .cell = cell, .owner = view.selfId };
            load.totalSlots = kRunnersPerCell * 16;
            load.freeSlots = static_cast<unsigned>(random() % load.totalSlots);
            for (unsigned tier = 0; tier < kTiers; ++tier)
                load.waitingByTier.push_back(static_cast<unsigned>(random() % 200));
            loads.push_back(std::move(load));
        }
    }
    return loads;
}

} // namespace auburn
