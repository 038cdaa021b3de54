// The view that GossipCore gives of its tables.
#include "auburn/mesh/gossipcore.h"

#include "celldigest.h"
#include "failuredomaintable.h"
#include "marktables.h"
#include "membertable.h"

#include <algorithm>
#include <utility>

namespace auburn {

namespace {

using std::chrono::milliseconds;

} // namespace

std::shared_ptr<const MemberView> GossipCore::view()
{
    const std::uint64_t version = members_->version() + failureDomains_->version();
    if (!view_ || viewVersion_ != version) {
        view_ = makeView();
        viewVersion_ = version;
    }
    return view_;
}

std::shared_ptr<const MemberView> GossipCore::makeView() const
{
    auto result = std::make_shared<MemberView>();
    result->selfId = options_.selfId;
    result->failureDomain = options_.failureDomain;
    result->region = options_.region;
    // If two members publish the same cell, its ownership is changing and the newer load is used.
    std::map<std::pair<std::string, unsigned>, std::pair<milliseconds, CellLoad>> cells;
    for (const auto &entry : members_->records()) {
        const MemberRecord &record = entry.second;
        result->members.push_back(
                Member{ .id = record.id,
                        .endpoint = record.endpoint,
                        .status = record.dead ? MemberStatus::Dead : record.status,
                        .incarnation = record.incarnation,
                        .configRevision = record.configRevision });
        if (record.dead || record.status == MemberStatus::Left)
            continue;
        const bool isSelf = record.id == options_.selfId;
        const milliseconds received = isSelf ? now_.monotonic : record.loadReceivedAt;
        for (const proto::CellDigest &cell : record.cells) {
            auto &newest = cells[{ cell.service(), cell.cell() }];
            if (newest.second.owner.empty() || newest.first < received)
                newest = { received, toCellLoad(cell, record.id) };
        }
    }
    std::sort(result->members.begin(), result->members.end(),
              [](const Member &left, const Member &right) { return left.id < right.id; });
    for (auto &entry : cells)
        result->cells.push_back(std::move(entry.second.second));
    result->failureDomains = failureDomains_->views();
    result->leavingBackendServers = leavingMarks_->leavingBackendServers();
    return result;
}

} // namespace auburn
