// Members and endpoints to which GossipCore sends, and the relays of the failure domain.
#include "auburn/mesh/gossipcore.h"

#include "failuredomaintable.h"
#include "gossipkeys.h"
#include "membertable.h"

#include <algorithm>
#include <cmath>
#include <unordered_set>

namespace auburn {

// Selects the active peers at fixed distances on the ring of all live members in key order. Every
// member then has the same number of incoming and outgoing neighbours, whereas a random choice
// gives some members twice the average load. Distances that grow by a constant factor keep the
// number of hops low.
void GossipCore::refreshActivePeers()
{
    std::vector<const MemberRecord *> ring;
    std::size_t ownIndex = 0;
    for (const auto &entry : members_->records()) {
        const bool isSelf = &entry.second == &members_->self();
        if (isSelf)
            ownIndex = ring.size();
        if (isSelf || members_->isPeer(entry.second))
            ring.push_back(&entry.second);
    }
    activePeers_.clear();
    const double factor = std::pow(static_cast<double>(ring.size()),
                                   1.0 / std::max(options_.activePeerCount, 1U));
    double nextDistance = 1;
    std::size_t distance = 0;
    while (activePeers_.size() < options_.activePeerCount && distance + 1 < ring.size()) {
        distance = std::max(distance + 1, static_cast<std::size_t>(nextDistance));
        nextDistance *= factor;
        activePeers_.push_back(ring[(ownIndex + distance) % ring.size()]->id);
    }
}

// Pushes to a random member, which bypasses the ring when its links fail.
void GossipCore::pushToRandomPeer()
{
    nextRandomPeer_ = now_.monotonic + options_.randomPeerInterval;
    std::vector<std::string> candidates;
    for (const auto &entry : members_->records()) {
        if (members_->isPeer(entry.second))
            candidates.push_back(entry.second.id);
    }
    if (!candidates.empty())
        push(*members_->findById(candidates[randomBelow(candidates.size())]));
}

// Returns the endpoints from the settings, from the platform list and of dead members that do not
// belong to a live member. Probing them lets the daemon join, and merges partitions after they
// heal.
std::vector<std::string> GossipCore::unknownEndpoints(bool relay) const
{
    std::unordered_set<std::string> known{ options_.endpoint };
    std::vector<std::string> candidates = options_.seeds;
    for (const Seed &seed : listSeeds_) {
        if (seed.failureDomain == options_.failureDomain)
            candidates.push_back(seed.endpoint);
    }
    for (const auto &entry : members_->records()) {
        const MemberRecord &record = entry.second;
        if (members_->isPeer(record))
            known.insert(record.endpoint);
        else if (record.status != MemberStatus::Left)
            candidates.push_back(record.endpoint);
    }
    for (const auto &entry : failureDomains_->entries()) {
        for (const proto::MemberEntry &contact : entry.second.digest.contacts())
            known.insert(contact.endpoint());
    }
    // Only relays probe seeds of other failure domains, and only while that domain is unreachable.
    // A seed listed in all settings would otherwise be probed by the daemons of all failure
    // domains.
    for (const auto &[endpoint, failureDomain] : remoteSeeds_) {
        const FailureDomainTable::Entry *entry = failureDomains_->find(failureDomain);
        if (!relay || (entry != nullptr && entry->reachable))
            known.insert(endpoint);
    }
    std::erase_if(candidates,
                  [&known](const std::string &endpoint) { return known.contains(endpoint); });
    return candidates;
}

void GossipCore::probeUnknownEndpoint()
{
    nextSeedProbe_ = now_.monotonic + options_.seedProbeInterval;
    const std::vector<std::string> candidates = unknownEndpoints(isRelay());
    if (!candidates.empty())
        probeEndpoint(candidates[randomBelow(candidates.size())]);
}

std::vector<std::string> GossipCore::relays()
{
    const std::uint64_t version = members_->version();
    if (relaysVersion_ == version)
        return relays_;
    relaysVersion_ = version;
    MemberView candidates;
    for (const auto &entry : members_->records()) {
        const MemberRecord &record = entry.second;
        if (!record.dead)
            candidates.members.push_back(Member{ .id = record.id, .status = record.status });
    }
    relays_ = candidates.rankedOwners(kRelayKey);
    if (relays_.empty()) {
        // Until a member is ready, starting members act as relays: the configuration has to be read
        // before any member can become ready.
        for (Member &member : candidates.members) {
            if (member.status == MemberStatus::Starting)
                member.status = MemberStatus::Ready;
        }
        relays_ = candidates.rankedOwners(kRelayKey);
    }
    relays_.resize(std::min<std::size_t>(relays_.size(), options_.relayCount));
    return relays_;
}

bool GossipCore::isRelay()
{
    const std::vector<std::string> current = relays();
    return std::find(current.begin(), current.end(), options_.selfId) != current.end();
}

} // namespace auburn
