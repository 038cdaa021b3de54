#include "failuredomaintable.h"

#include "auburn/core/hash.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace auburn {

namespace {

// Limits the memory that a faulty peer can make this daemon use.
constexpr std::size_t kMaxFailureDomains = 64;
constexpr std::size_t kMaxDigestBytes = 16UL * 1024;

FailureDomainView toView(const FailureDomainTable::Entry &entry)
{
    const proto::FailureDomainDigest &digest = entry.digest;
    FailureDomainView view{ .failureDomain = digest.failure_domain(), .region = digest.region() };
    for (const proto::ServiceDigest &service : digest.services()) {
        FailureDomainServiceLoad load{ .service = service.service(),
                                       .freeSlots = service.free_slots(),
                                       .totalSlots = service.total_slots() };
        load.waitingByTier.assign(service.waiting_by_tier().begin(),
                                  service.waiting_by_tier().end());
        view.services.push_back(std::move(load));
    }
    for (const proto::MemberEntry &contact : digest.contacts()) {
        view.contacts.push_back(Member{ .id = contact.id(),
                                        .endpoint = contact.endpoint(),
                                        .status = MemberStatus::Ready });
    }
    view.minConfigRevision = digest.min_config_revision();
    view.maxConfigRevision = digest.max_config_revision();
    view.liveDaemons = digest.live_daemons();
    view.reachable = entry.reachable;
    return view;
}

} // namespace

FailureDomainTable::FailureDomainTable(std::string ownFailureDomain, std::string ownRegion,
                                       std::chrono::milliseconds intraRegionTimeout,
                                       std::chrono::milliseconds interRegionTimeout,
                                       std::chrono::milliseconds retention)
    : ownFailureDomain_(std::move(ownFailureDomain))
    , ownRegion_(std::move(ownRegion))
    , intraRegionTimeout_(intraRegionTimeout)
    , interRegionTimeout_(interRegionTimeout)
    , retention_(retention)
{}

std::uint32_t FailureDomainTable::keyOf(const std::string &failureDomain)
{
    return static_cast<std::uint32_t>(stableHash(failureDomain));
}

std::chrono::milliseconds FailureDomainTable::reachabilityTimeout(const std::string &region) const
{
    return region == ownRegion_ ? intraRegionTimeout_ : interRegionTimeout_;
}

bool FailureDomainTable::merge(const proto::FailureDomainDigest &digest,
                               std::chrono::milliseconds now)
{
    if (digest.failure_domain() == ownFailureDomain_) {
        observeOwnVersion(digest.version());
        return false;
    }
    const auto found = entries_.find(digest.failure_domain());
    if (digest.failure_domain().empty() || digest.ByteSizeLong() > kMaxDigestBytes)
        return false;
    if (found == entries_.end() && entries_.size() >= kMaxFailureDomains)
        return false;
    if (found != entries_.end() && found->second.digest.version() >= digest.version())
        return false;
    Entry entry{ .digest = digest, .lastDigestAt = now };
    if (digest.contacts().empty() && found != entries_.end()) {
        *entry.digest.mutable_contacts() = found->second.digest.contacts();
        entry.digest.set_contacts_hash(found->second.digest.contacts_hash());
    } else {
        entry.digest.set_contacts_hash(hashContacts(digest.contacts()));
    }
    entries_[digest.failure_domain()] = std::move(entry);
    ++version_;
    return true;
}

void FailureDomainTable::observeOwnVersion(std::uint64_t version)
{
    ownVersion_ = std::max(ownVersion_, version);
}

std::uint64_t FailureDomainTable::nextOwnVersion(std::chrono::milliseconds wall)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(wall).count();
    ownVersion_ = std::max(ownVersion_ + 1, static_cast<std::uint64_t>(seconds));
    return ownVersion_;
}

void FailureDomainTable::expire(std::chrono::milliseconds now)
{
    std::erase_if(entries_, [this, now](const auto &entry) {
        return now - entry.second.lastDigestAt > retention_;
    });
    for (auto &[failureDomain, entry] : entries_) {
        const bool reachable = now - entry.lastDigestAt
                               <= reachabilityTimeout(entry.digest.region());
        if (reachable != entry.reachable)
            ++version_;
        entry.reachable = reachable;
    }
}

void FailureDomainTable::excludePause(std::chrono::milliseconds gap)
{
    for (auto &entry : entries_)
        entry.second.lastDigestAt += gap;
}

const FailureDomainTable::Entry *FailureDomainTable::find(const std::string &failureDomain) const
{
    const auto found = entries_.find(failureDomain);
    return found == entries_.end() ? nullptr : &found->second;
}

proto::FailureDomainVersions FailureDomainTable::versions() const
{
    std::uint64_t base = ownVersion_;
    for (const auto &entry : entries_)
        base = std::max<std::uint64_t>(base, entry.second.digest.version());
    proto::FailureDomainVersions result;
    result.set_base_version(base);
    for (const auto &[failureDomain, entry] : entries_) {
        result.add_keys(keyOf(failureDomain));
        result.add_distances(base - entry.digest.version());
        result.add_contact_hashes(entry.digest.contacts_hash());
    }
    return result;
}

std::vector<const proto::FailureDomainDigest *> FailureDomainTable::findNewerDigests(
        const proto::FailureDomainVersions &peer, std::vector<std::uint32_t> *wanted) const
{
    std::unordered_map<std::uint32_t, std::uint64_t> known;
    const int count = std::min(peer.keys_size(), peer.distances_size());
    for (int i = 0; i < count; ++i)
        known[peer.keys(i)] = peer.base_version()
                              - std::min<std::uint64_t>(peer.distances(i), peer.base_version());
    std::vector<const proto::FailureDomainDigest *> newer;
    for (const auto &[failureDomain, entry] : entries_) {
        const auto found = known.find(keyOf(failureDomain));
        const std::uint64_t peerVersion = found == known.end() ? 0 : found->second;
        if (entry.digest.version() > peerVersion)
            newer.push_back(&entry.digest);
        if (entry.digest.version() >= peerVersion)
            known.erase(keyOf(failureDomain));
    }
    if (wanted != nullptr) {
        known.erase(keyOf(ownFailureDomain_));
        for (const auto &entry : known)
            wanted->push_back(entry.first);
    }
    return newer;
}

std::uint32_t FailureDomainTable::hashContacts(
        const google::protobuf::RepeatedPtrField<proto::MemberEntry> &contacts)
{
    std::uint64_t hash = 0;
    for (const proto::MemberEntry &contact : contacts)
        hash = stableHash(contact.endpoint(), stableHash(contact.id(), hash));
    return static_cast<std::uint32_t>(hash);
}

std::uint64_t FailureDomainTable::findVersion(const proto::FailureDomainVersions &peer,
                                              const std::string &failureDomain)
{
    const std::uint32_t key = keyOf(failureDomain);
    const int count = std::min(peer.keys_size(), peer.distances_size());
    for (int i = 0; i < count; ++i) {
        if (peer.keys(i) == key)
            return peer.base_version()
                   - std::min<std::uint64_t>(peer.distances(i), peer.base_version());
    }
    return 0;
}

std::uint32_t FailureDomainTable::findContactsHash(const proto::FailureDomainVersions &peer,
                                                   const std::string &failureDomain)
{
    const std::uint32_t key = keyOf(failureDomain);
    const int count = std::min(peer.keys_size(), peer.contact_hashes_size());
    for (int i = 0; i < count; ++i) {
        if (peer.keys(i) == key)
            return peer.contact_hashes(i);
    }
    return 0;
}

void FailureDomainTable::appendDigest(
        const proto::FailureDomainVersions &peer, const proto::FailureDomainDigest &digest,
        google::protobuf::RepeatedPtrField<proto::FailureDomainDigest> &failureDomains)
{
    proto::FailureDomainDigest &added = *failureDomains.Add();
    added = digest;
    if (findContactsHash(peer, digest.failure_domain()) == digest.contacts_hash())
        added.clear_contacts();
}

const proto::FailureDomainDigest *FailureDomainTable::findByKey(std::uint32_t key) const
{
    for (const auto &[failureDomain, entry] : entries_) {
        if (keyOf(failureDomain) == key)
            return &entry.digest;
    }
    return nullptr;
}

std::vector<FailureDomainView> FailureDomainTable::views() const
{
    std::vector<FailureDomainView> views;
    for (const auto &entry : entries_)
        views.push_back(toView(entry.second));
    return views;
}

} // namespace auburn
