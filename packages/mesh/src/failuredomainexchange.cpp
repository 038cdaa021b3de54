// Messages of GossipCore between failure domains.
#include "auburn/mesh/gossipcore.h"

#include "failuredomaintable.h"
#include "gossipkeys.h"
#include "membertable.h"

#include <algorithm>
#include <utility>

namespace auburn {

namespace {

using std::chrono::milliseconds;

// Number of members that a failure domain's digest lists as contacts.
constexpr std::size_t kContactCount = 3;

void addWaiting(std::vector<unsigned> &sum, const std::vector<unsigned> &waiting)
{
    if (sum.size() < waiting.size())
        sum.resize(waiting.size());
    for (std::size_t tier = 0; tier < waiting.size(); ++tier)
        sum[tier] += waiting[tier];
}

// Returns true if the peer's version of the failure domain is missing or so old that the direct
// link between the two must have failed. Versions increase at least once per second.
bool isOutdated(const proto::FailureDomainDigest &digest, const proto::FailureDomainVersions &peer)
{
    constexpr std::uint64_t kDirectLinkLag = 20;
    return FailureDomainTable::findVersion(peer, digest.failure_domain()) + kDirectLinkLag
           < digest.version();
}

} // namespace

void GossipCore::exchangeWithFailureDomains()
{
    std::map<std::string, std::string> regions;
    for (const Seed &seed : listSeeds_)
        regions.emplace(seed.failureDomain, seed.region);
    for (const auto &[failureDomain, entry] : failureDomains_->entries())
        regions[failureDomain] = entry.digest.region();
    regions.erase(options_.failureDomain);
    // The relays divide the exchanges among themselves, so each waits proportionally longer.
    const auto relayCount = static_cast<int>(std::max<std::size_t>(relays().size(), 1));
    for (const auto &[failureDomain, region] : regions) {
        milliseconds &due = nextExchange_[failureDomain];
        if (now_.monotonic < due)
            continue;
        const milliseconds period = region == options_.region ? options_.intraRegionInterval
                                                              : options_.interRegionInterval;
        // An exchange carries the digests of both failure domains, so the one with the lower name
        // starts it. The other one starts it only if no newer digest has arrived for two periods.
        const FailureDomainTable::Entry *entry = failureDomains_->find(failureDomain);
        const bool isStale = entry == nullptr || now_.monotonic - entry->lastDigestAt > 2 * period;
        if (options_.failureDomain > failureDomain && !isStale)
            continue;
        // Half a round earlier, because this function runs only once per round.
        due = now_.monotonic + period * relayCount - options_.roundInterval / 2;
        pushToFailureDomain(failureDomain);
    }
}

void GossipCore::pushToFailureDomain(const std::string &failureDomain)
{
    std::vector<std::pair<std::string, std::string>> targets;
    if (const FailureDomainTable::Entry *entry = failureDomains_->find(failureDomain)) {
        for (const proto::MemberEntry &contact : entry->digest.contacts())
            targets.emplace_back(contact.id(), contact.endpoint());
        // The first contacts are the relays; the others are used only if the relays do not respond.
        if (entry->reachable && targets.size() > options_.relayCount)
            targets.resize(options_.relayCount);
    }
    const bool isReachable = !targets.empty() && failureDomains_->find(failureDomain)->reachable;
    for (const Seed &seed : listSeeds_) {
        if (seed.failureDomain == failureDomain && !isReachable)
            targets.emplace_back(std::string(kSeedPrefix) + seed.endpoint, seed.endpoint);
    }
    if (targets.empty())
        return;
    const auto &[peerId, endpoint] = targets[randomBelow(targets.size())];
    proto::FailureDomainDigests digests;
    proto::FailureDomainDigest own = ownDigest();
    // The reply to a failure domain includes the contacts if it lacks them. A push includes them
    // only until that failure domain has replied.
    const bool contactsKnown = acknowledgedContactsHash_[failureDomain] == own.contacts_hash();
    if (contactsKnown && isReachable)
        own.clear_contacts();
    *digests.add_failure_domains() = std::move(own);
    enqueueMessage(peerId, endpoint, std::move(digests));
}

void GossipCore::receiveFailureDomainDigests(const std::string &sender,
                                             const proto::FailureDomainDigests &digests)
{
    for (const proto::FailureDomainDigest &digest : digests.failure_domains())
        failureDomains_->merge(digest, now_.monotonic);
    failureDomains_->observeOwnVersion(
            FailureDomainTable::findVersion(digests.known(), options_.failureDomain));
    if (digests.failure_domains_size() > 0) {
        const std::string &senderFailureDomain =
                digests.failure_domains(digests.failure_domains_size() - 1).failure_domain();
        if (failureDomains_->find(senderFailureDomain) != nullptr)
            acknowledgedContactsHash_[senderFailureDomain] = FailureDomainTable::findContactsHash(
                    digests.known(), options_.failureDomain);
    }
    if (!digests.endpoint().empty() && digests.failure_domains_size() > 0
        && std::find(options_.seeds.begin(), options_.seeds.end(), digests.endpoint())
                   != options_.seeds.end())
        remoteSeeds_[digests.endpoint()] =
                digests.failure_domains(digests.failure_domains_size() - 1).failure_domain();
    findHigherRevision(sender);
    if (digests.reply())
        return;
    proto::FailureDomainDigests reply;
    reply.set_reply(true);
    for (const proto::FailureDomainDigest *digest :
         failureDomains_->findNewerDigests(digests.known(), nullptr)) {
        // Up-to-date digests are omitted: the sender receives them directly from their failure
        // domain.
        if (isOutdated(*digest, digests.known()))
            FailureDomainTable::appendDigest(digests.known(), *digest,
                                             *reply.mutable_failure_domains());
    }
    FailureDomainTable::appendDigest(digests.known(), ownDigest(),
                                     *reply.mutable_failure_domains());
    enqueueMessage(sender, endpointOf(sender), std::move(reply));
}

void GossipCore::replyToRemotePush(const std::string &sender)
{
    proto::FailureDomainDigests reply;
    reply.set_reply(true);
    reply.set_endpoint(options_.endpoint);
    *reply.add_failure_domains() = ownDigest();
    enqueueMessage(sender, endpointOf(sender), std::move(reply));
}

// Returns the digest of the own failure domain. It is rebuilt at most about once per
// intraRegionInterval, because every new version is propagated to all daemons of the other failure
// domains.
const proto::FailureDomainDigest &GossipCore::ownDigest()
{
    if (now_.monotonic - ownDigestBuiltAt_ >= options_.intraRegionInterval * 9 / 10) {
        ownDigest_ = buildOwnDigest();
        ownDigestBuiltAt_ = now_.monotonic;
    }
    return ownDigest_;
}

proto::FailureDomainDigest GossipCore::buildOwnDigest()
{
    const std::shared_ptr<const MemberView> current = view();
    proto::FailureDomainDigest digest;
    digest.set_failure_domain(options_.failureDomain);
    digest.set_region(options_.region);
    digest.set_version(failureDomains_->nextOwnVersion(now_.wall));
    std::map<std::string, FailureDomainServiceLoad> services;
    for (const CellLoad &cell : current->cells) {
        FailureDomainServiceLoad &sum = services[cell.service];
        sum.freeSlots += cell.freeSlots;
        sum.totalSlots += cell.totalSlots;
        addWaiting(sum.waitingByTier, cell.waitingByTier);
    }
    for (const auto &[name, sum] : services) {
        proto::ServiceDigest &service = *digest.add_services();
        service.set_service(name);
        service.set_free_slots(sum.freeSlots);
        service.set_total_slots(sum.totalSlots);
        service.mutable_waiting_by_tier()->Add(sum.waitingByTier.begin(), sum.waitingByTier.end());
    }
    std::optional<std::uint64_t> lowest;
    for (const Member &member : current->members) {
        if (member.status != MemberStatus::Ready)
            continue;
        lowest = std::min(lowest.value_or(member.configRevision), member.configRevision);
        digest.set_max_config_revision(
                std::max<std::uint64_t>(digest.max_config_revision(), member.configRevision));
        digest.set_live_daemons(digest.live_daemons() + 1);
    }
    digest.set_min_config_revision(lowest.value_or(0));
    std::vector<std::string> contacts = current->rankedOwners(kRelayKey);
    contacts.resize(std::min(contacts.size(), kContactCount));
    for (const std::string &id : contacts) {
        proto::MemberEntry &contact = *digest.add_contacts();
        contact.set_id(id);
        contact.set_endpoint(endpointOf(id));
    }
    digest.set_contacts_hash(FailureDomainTable::hashContacts(digest.contacts()));
    return digest;
}

} // namespace auburn
