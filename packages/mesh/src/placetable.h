// PlaceTable: the newest known digest of each other place.
#pragma once

#include "auburn.pb.h"
#include "auburn/mesh/memberview.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace auburn {

class PlaceTable
{
public:
    struct Entry
    {
        proto::PlaceDigest digest;
        std::chrono::milliseconds lastProgress{ 0 };
        bool reachable = true;
    };

    // A place is unreachable after the timeout of its region kind without a newer digest.
    PlaceTable(std::string ownPlace, std::string ownRegion, std::chrono::milliseconds regionTimeout,
               std::chrono::milliseconds interRegionTimeout, std::chrono::milliseconds forgetAfter);

    static std::uint32_t keyOf(const std::string &place);
    static std::uint32_t hashOf(
            const google::protobuf::RepeatedPtrField<proto::MemberEntry> &contacts);
    // The version of the place, or the hash of its contacts, that the peer knows; 0 if none.
    static std::uint64_t versionIn(const proto::PlaceVersions &peer, const std::string &place);
    static std::uint32_t contactsHashIn(const proto::PlaceVersions &peer, const std::string &place);
    // Adds the digest, without the contacts if the peer knows them.
    static void addFor(const proto::PlaceVersions &peer, const proto::PlaceDigest &digest,
                       google::protobuf::RepeatedPtrField<proto::PlaceDigest> &places);

    // Takes over a newer digest of another place; true if it is newer.
    bool merge(const proto::PlaceDigest &digest, std::chrono::milliseconds now);
    // Notes that another place knows our own digest in this version.
    void noteOwnVersion(std::uint64_t version);
    // Next version of our own digest. Versions of two relays need no common clock: each continues
    // from the highest version it has heard of.
    std::uint64_t nextOwnVersion(std::chrono::milliseconds wall);
    void expire(std::chrono::milliseconds now);
    void skipTime(std::chrono::milliseconds gap);

    const std::map<std::string, Entry> &entries() const { return entries_; }
    const Entry *find(const std::string &place) const;
    // Versions of all known places, our own included.
    proto::PlaceVersions versions() const;
    // Digests of which the peer has an older version or none; wanted collects the keys of those
    // that the peer has newer.
    std::vector<const proto::PlaceDigest *> newerThan(const proto::PlaceVersions &peer,
                                                      std::vector<std::uint32_t> *wanted) const;
    const proto::PlaceDigest *findKey(std::uint32_t key) const;
    std::vector<PlaceView> views() const;
    std::uint64_t version() const { return version_; }

private:
    std::chrono::milliseconds timeoutOf(const std::string &region) const;

    const std::string ownPlace_;
    const std::string ownRegion_;
    const std::chrono::milliseconds regionTimeout_;
    const std::chrono::milliseconds interRegionTimeout_;
    const std::chrono::milliseconds forgetAfter_;
    std::map<std::string, Entry> entries_;
    std::uint64_t ownVersion_ = 0;
    std::uint64_t version_ = 0;
};

} // namespace auburn
