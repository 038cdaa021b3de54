#include "auburn/daemon/operatorbackend.h"

#include <algorithm>
#include <limits>

namespace auburn {

namespace {

bool isLive(const Member &member)
{
    return member.status != MemberStatus::Dead && member.status != MemberStatus::Left;
}

PlaceProgress ownProgress(const MemberView &view)
{
    PlaceProgress progress{ .place = view.place, .region = view.region };
    progress.minRevision = std::numeric_limits<std::uint64_t>::max();
    for (const Member &member : view.members) {
        if (!isLive(member))
            continue;
        ++progress.daemons;
        progress.minRevision = std::min(progress.minRevision, member.configRevision);
        progress.maxRevision = std::max(progress.maxRevision, member.configRevision);
    }
    if (progress.daemons == 0)
        progress.minRevision = 0;
    return progress;
}

} // namespace

std::vector<PlaceProgress> progressOf(const MemberView &view)
{
    std::vector<PlaceProgress> result{ ownProgress(view) };
    for (const PlaceView &place : view.places) {
        result.push_back(PlaceProgress{ .place = place.place,
                                        .region = place.region,
                                        .reachable = place.reachable,
                                        .daemons = place.liveDaemons,
                                        .minRevision = place.minConfigRevision,
                                        .maxRevision = place.maxConfigRevision });
    }
    return result;
}

std::vector<PlaceProgress> OperatorBackend::progress() const
{
    const auto view = memberView();
    return view ? progressOf(*view) : std::vector<PlaceProgress>();
}

} // namespace auburn
