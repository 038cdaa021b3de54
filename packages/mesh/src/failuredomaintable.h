#pragma once

#include "auburn.pb.h"
#include "auburn/mesh/memberview.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace auburn {

// FailureDomainTable holds the newest known digest of each other failure domain.
class FailureDomainTable
{
public:
    struct Entry
    {
        proto::FailureDomainDigest digest;
        // Monotonic time at which the last newer digest was merged.
        std::chrono::milliseconds lastDigestAt{ 0 };
        bool reachable = true;
    };

    // A failure domain is unreachable if no newer digest arrives within intraRegionTimeout (for the
    // own region) or interRegionTimeout, and is removed after the retention time.
    FailureDomainTable(std::string ownFailureDomain, std::string ownRegion,
                       std::chrono::milliseconds intraRegionTimeout,
                       std::chrono::milliseconds interRegionTimeout,
                       std::chrono::milliseconds retention);

    static std::uint32_t keyOf(const std::string &failureDomain);
    static std::uint32_t hashContacts(
            const google::protobuf::RepeatedPtrField<proto::MemberEntry> &contacts);
    // Return the version of the failure domain, or the hash of its contacts, that the peer knows; 0
    // if it knows none.
    static std::uint64_t findVersion(const proto::FailureDomainVersions &peer,
                                     const std::string &failureDomain);
    static std::uint32_t findContactsHash(const proto::FailureDomainVersions &peer,
                                          const std::string &failureDomain);
    // Appends the digest, without its contacts if the peer already knows them.
    static void appendDigest(
            const proto::FailureDomainVersions &peer, const proto::FailureDomainDigest &digest,
            google::protobuf::RepeatedPtrField<proto::FailureDomainDigest> &failureDomains);

    // Stores the digest of another failure domain if it is newer than the known one. Returns true
    // if it was stored.
    bool merge(const proto::FailureDomainDigest &digest, std::chrono::milliseconds now);
    // Records that another failure domain knows this version of the own digest.
    void observeOwnVersion(std::uint64_t version);
    // Returns the next version of the own digest. The relays of a failure domain need no common
    // clock, because each continues from the highest version that it has observed.
    std::uint64_t nextOwnVersion(std::chrono::milliseconds wall);
    // Updates the reachability of the failure domains and removes expired ones.
    void expire(std::chrono::milliseconds now);
    // Excludes a time during which this process did not run from all timeouts.
    void excludePause(std::chrono::milliseconds gap);

    const std::map<std::string, Entry> &entries() const { return entries_; }
    const Entry *find(const std::string &failureDomain) const;
    // Returns the versions of all other known failure domains. The base version also covers the own
    // digest.
    proto::FailureDomainVersions versions() const;
    // Returns the digests of which the peer has an older version or none. If wanted is not null,
    // the keys of the digests of which the peer has a newer version are appended to it.
    std::vector<const proto::FailureDomainDigest *> findNewerDigests(
            const proto::FailureDomainVersions &peer, std::vector<std::uint32_t> *wanted) const;
    const proto::FailureDomainDigest *findByKey(std::uint32_t key) const;
    std::vector<FailureDomainView> views() const;
    // Incremented by every change that is visible in views().
    std::uint64_t version() const { return version_; }

private:
    std::chrono::milliseconds reachabilityTimeout(const std::string &region) const;

    const std::string ownFailureDomain_;
    const std::string ownRegion_;
    const std::chrono::milliseconds intraRegionTimeout_;
    const std::chrono::milliseconds interRegionTimeout_;
    const std::chrono::milliseconds retention_;
    std::map<std::string, Entry> entries_;
    std::uint64_t ownVersion_ = 0;
    std::uint64_t version_ = 0;
};

} // namespace auburn
