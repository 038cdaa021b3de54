#include "celldigest.h"

#include <algorithm>

namespace auburn {

proto::CellDigest toCellDigest(const CellLoad &load)
{
    proto::CellDigest digest;
    digest.set_service(load.service);
    digest.set_cell(load.cell);
    digest.set_free_slots(load.freeSlots);
    digest.set_total_slots(load.totalSlots);
    // Trailing tiers without waiting requests are omitted.
    std::size_t tiers = load.waitingByTier.size();
    while (tiers > 0 && load.waitingByTier[tiers - 1] == 0)
        --tiers;
    for (std::size_t tier = 0; tier < tiers; ++tier)
        digest.add_waiting_by_tier(load.waitingByTier[tier]);
    return digest;
}

CellLoad toCellLoad(const proto::CellDigest &digest, const std::string &owner)
{
    CellLoad load{ .service = digest.service(),
                   .cell = digest.cell(),
                   .owner = owner,
                   .freeSlots = digest.free_slots(),
                   .totalSlots = digest.total_slots() };
    load.waitingByTier.assign(digest.waiting_by_tier().begin(), digest.waiting_by_tier().end());
    return load;
}

bool sameCells(const std::vector<proto::CellDigest> &left,
               const std::vector<proto::CellDigest> &right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](const proto::CellDigest &a, const proto::CellDigest &b) {
                          return a.SerializeAsString() == b.SerializeAsString();
                      });
}

} // namespace auburn
