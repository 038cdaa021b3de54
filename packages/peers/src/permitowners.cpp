#include "auburn/peers/permitowners.h"

#include "auburn/core/hash.h"

#include <algorithm>
#include <utility>

namespace auburn::peers {

PermitOwners::PermitOwners(Options options, TimePoint startedAt)
    : options_(std::move(options))
    , startedAt_(startedAt)
{}

void PermitOwners::update(const std::vector<PeerInfo> &livePeers, bool isServing, TimePoint now)
{
    Members members;
    for (const PeerInfo &peer : livePeers) {
        if (peer.serving)
            members[peer.failureDomain].push_back({ .vm = peer.vm, .udpAddress = peer.udpAddress });
    }
    if (isServing)
        members[options_.failureDomain].push_back({ .vm = options_.vm });
    for (auto &[domain, candidates] : members)
        std::sort(candidates.begin(), candidates.end(),
                  [](const Candidate &left, const Candidate &right) { return left.vm < right.vm; });
    if (snapshots_.empty())
        snapshots_.push_back({ .since = startedAt_, .members = std::move(members) });
    else if (snapshots_.back().members != members)
        snapshots_.push_back({ .since = now, .members = std::move(members) });
    // The first snapshot must cover the begin of the takeover delay.
    while (snapshots_.size() > 1 && snapshots_[1].since <= now - kPermitTakeoverDelay)
        snapshots_.pop_front();
}

const PermitOwners::Candidate *PermitOwners::select(const Members &members,
                                                    const routing::BackendServer &server)
{
    const std::uint64_t seed = stableHash(server.id);
    const Candidate *best = nullptr;
    std::uint64_t highest = 0;
    const auto consider = [&](const std::vector<Candidate> &candidates) {
        for (const Candidate &candidate : candidates) {
            const std::uint64_t score = stableHash(candidate.vm, seed);
            if (best && score <= highest)
                continue;
            best = &candidate;
            highest = score;
        }
    };
    const auto own = members.find(server.failureDomain);
    if (own != members.end()) {
        consider(own->second);
        return best;
    }
    for (const auto &[domain, candidates] : members)
        consider(candidates);
    return best;
}

std::optional<PermitOwners::Owner> PermitOwners::ownerOf(const routing::BackendServer &server) const
{
    if (snapshots_.empty())
        return std::nullopt;
    const Candidate *owner = select(snapshots_.back().members, server);
    return owner ? std::optional(Owner{ .udpAddress = owner->udpAddress }) : std::nullopt;
}

bool PermitOwners::mayGrant(const routing::BackendServer &server, TimePoint now) const
{
    if (snapshots_.empty() || now - startedAt_ < kPermitTakeoverDelay)
        return false;
    return std::all_of(snapshots_.begin(), snapshots_.end(), [&](const Snapshot &snapshot) {
        const Candidate *owner = select(snapshot.members, server);
        return owner && owner->vm == options_.vm;
    });
}

} // namespace auburn::peers
