#include "auburn/daemon/operatorbackend.h"

#include <algorithm>
#include <limits>

namespace auburn {

namespace {

bool isLive(const Member &member)
{
    return member.status != MemberStatus::Dead && member.status != MemberStatus::Left;
}

FailureDomainProgress ownProgress(const MemberView &view)
{
    FailureDomainProgress progress{ .failureDomain = view.failureDomain, .region = view.region };
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

std::vector<FailureDomainProgress> failureDomainProgress(const MemberView &view)
{
    std::vector<FailureDomainProgress> result{ ownProgress(view) };
    for (const FailureDomainView &failureDomain : view.failureDomains) {
        result.push_back(FailureDomainProgress{ .failureDomain = failureDomain.failureDomain,
                                                .region = failureDomain.region,
                                                .reachable = failureDomain.reachable,
                                                .daemons = failureDomain.liveDaemons,
                                                .minRevision = failureDomain.minConfigRevision,
                                                .maxRevision = failureDomain.maxConfigRevision });
    }
    return result;
}

std::vector<FailureDomainProgress> OperatorBackend::progress() const
{
    const auto view = memberView();
    return view ? failureDomainProgress(*view) : std::vector<FailureDomainProgress>();
}

} // namespace auburn
