#include "placetable.h"

#include "auburn/core/hash.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace auburn {

namespace {

// Bounds what a faulty peer can make this daemon store.
constexpr std::size_t kMaxPlaces = 64;
constexpr std::size_t kMaxDigestBytes = 16UL * 1024;

PlaceView viewOf(const PlaceTable::Entry &entry)
{
    const proto::PlaceDigest &digest = entry.digest;
    PlaceView view{ .place = digest.place(), .region = digest.region() };
    for (const proto::ServiceDigest &service : digest.services()) {
        PlaceServiceLoad load{ .service = service.service(),
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

PlaceTable::PlaceTable(std::string ownPlace, std::string ownRegion,
                       std::chrono::milliseconds regionTimeout,
                       std::chrono::milliseconds interRegionTimeout,
                       std::chrono::milliseconds forgetAfter)
    : ownPlace_(std::move(ownPlace))
    , ownRegion_(std::move(ownRegion))
    , regionTimeout_(regionTimeout)
    , interRegionTimeout_(interRegionTimeout)
    , forgetAfter_(forgetAfter)
{}

std::uint32_t PlaceTable::keyOf(const std::string &place)
{
    return static_cast<std::uint32_t>(stableHash(place));
}

std::chrono::milliseconds PlaceTable::timeoutOf(const std::string &region) const
{
    return region == ownRegion_ ? regionTimeout_ : interRegionTimeout_;
}

bool PlaceTable::merge(const proto::PlaceDigest &digest, std::chrono::milliseconds now)
{
    if (digest.place() == ownPlace_) {
        noteOwnVersion(digest.version());
        return false;
    }
    const auto found = entries_.find(digest.place());
    if (digest.place().empty() || digest.ByteSizeLong() > kMaxDigestBytes)
        return false;
    if (found == entries_.end() && entries_.size() >= kMaxPlaces)
        return false;
    if (found != entries_.end() && found->second.digest.version() >= digest.version())
        return false;
    Entry entry{ .digest = digest, .lastProgress = now };
    if (digest.contacts().empty() && found != entries_.end()) {
        *entry.digest.mutable_contacts() = found->second.digest.contacts();
        entry.digest.set_contacts_hash(found->second.digest.contacts_hash());
    } else {
        entry.digest.set_contacts_hash(hashOf(digest.contacts()));
    }
    entries_[digest.place()] = std::move(entry);
    ++version_;
    return true;
}

void PlaceTable::noteOwnVersion(std::uint64_t version)
{
    ownVersion_ = std::max(ownVersion_, version);
}

std::uint64_t PlaceTable::nextOwnVersion(std::chrono::milliseconds wall)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(wall).count();
    ownVersion_ = std::max(ownVersion_ + 1, static_cast<std::uint64_t>(seconds));
    return ownVersion_;
}

void PlaceTable::expire(std::chrono::milliseconds now)
{
    std::erase_if(entries_, [this, now](const auto &entry) {
        return now - entry.second.lastProgress > forgetAfter_;
    });
    for (auto &[place, entry] : entries_) {
        const bool reachable = now - entry.lastProgress <= timeoutOf(entry.digest.region());
        if (reachable != entry.reachable)
            ++version_;
        entry.reachable = reachable;
    }
}

void PlaceTable::skipTime(std::chrono::milliseconds gap)
{
    for (auto &entry : entries_)
        entry.second.lastProgress += gap;
}

const PlaceTable::Entry *PlaceTable::find(const std::string &place) const
{
    const auto found = entries_.find(place);
    return found == entries_.end() ? nullptr : &found->second;
}

proto::PlaceVersions PlaceTable::versions() const
{
    std::uint64_t base = ownVersion_;
    for (const auto &entry : entries_)
        base = std::max<std::uint64_t>(base, entry.second.digest.version());
    proto::PlaceVersions result;
    result.set_base_version(base);
    for (const auto &[place, entry] : entries_) {
        result.add_keys(keyOf(place));
        result.add_distances(base - entry.digest.version());
        result.add_contact_hashes(entry.digest.contacts_hash());
    }
    return result;
}

std::vector<const proto::PlaceDigest *> PlaceTable::newerThan(
        const proto::PlaceVersions &peer, std::vector<std::uint32_t> *wanted) const
{
    std::unordered_map<std::uint32_t, std::uint64_t> known;
    const int count = std::min(peer.keys_size(), peer.distances_size());
    for (int i = 0; i < count; ++i)
        known[peer.keys(i)] = peer.base_version()
                              - std::min<std::uint64_t>(peer.distances(i), peer.base_version());
    std::vector<const proto::PlaceDigest *> newer;
    for (const auto &[place, entry] : entries_) {
        const auto found = known.find(keyOf(place));
        const std::uint64_t peerVersion = found == known.end() ? 0 : found->second;
        if (entry.digest.version() > peerVersion)
            newer.push_back(&entry.digest);
        if (entry.digest.version() >= peerVersion)
            known.erase(keyOf(place));
    }
    if (wanted != nullptr) {
        known.erase(keyOf(ownPlace_));
        for (const auto &entry : known)
            wanted->push_back(entry.first);
    }
    return newer;
}

std::uint32_t PlaceTable::hashOf(
        const google::protobuf::RepeatedPtrField<proto::MemberEntry> &contacts)
{
    std::uint64_t hash = 0;
    for (const proto::MemberEntry &contact : contacts)
        hash = stableHash(contact.endpoint(), stableHash(contact.id(), hash));
    return static_cast<std::uint32_t>(hash);
}

std::uint64_t PlaceTable::versionIn(const proto::PlaceVersions &peer, const std::string &place)
{
    const std::uint32_t key = keyOf(place);
    const int count = std::min(peer.keys_size(), peer.distances_size());
    for (int i = 0; i < count; ++i) {
        if (peer.keys(i) == key)
            return peer.base_version()
                   - std::min<std::uint64_t>(peer.distances(i), peer.base_version());
    }
    return 0;
}

std::uint32_t PlaceTable::contactsHashIn(const proto::PlaceVersions &peer, const std::string &place)
{
    const std::uint32_t key = keyOf(place);
    const int count = std::min(peer.keys_size(), peer.contact_hashes_size());
    for (int i = 0; i < count; ++i) {
        if (peer.keys(i) == key)
            return peer.contact_hashes(i);
    }
    return 0;
}

void PlaceTable::addFor(const proto::PlaceVersions &peer, const proto::PlaceDigest &digest,
                        google::protobuf::RepeatedPtrField<proto::PlaceDigest> &places)
{
    proto::PlaceDigest &added = *places.Add();
    added = digest;
    if (contactsHashIn(peer, digest.place()) == digest.contacts_hash())
        added.clear_contacts();
}

const proto::PlaceDigest *PlaceTable::findKey(std::uint32_t key) const
{
    for (const auto &[place, entry] : entries_) {
        if (keyOf(place) == key)
            return &entry.digest;
    }
    return nullptr;
}

std::vector<PlaceView> PlaceTable::views() const
{
    std::vector<PlaceView> views;
    for (const auto &entry : entries_)
        views.push_back(viewOf(entry.second));
    return views;
}

} // namespace auburn
