// FailureDomainTable: the newest known digest of each other failure domain.
#pragma once

#include "auburn.pb.h"
#include "auburn/mesh/memberview.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace auburn {

class FailureDomainTable
{
public:
    struct Entry
    {
        proto::FailureDomainDigest digest;
        std::chrono::milliseconds lastDigestAt{ 0 };
        bool reachable = true;
    };

    // A failure domain is unreachable after the timeout of its region kind without a newer digest.
    FailureDomainTable(std::string ownFailureDomain, std::string ownRegion,
                       std::chrono::milliseconds intraRegionTimeout,
                       std::chrono::milliseconds interRegionTimeout,
                       std::chrono::milliseconds retention);

    static std::uint32_t keyOf(const std::string &failureDomain);
    static std::uint32_t hashContacts(
            const google::protobuf::RepeatedPtrField<proto::MemberEntry> &contacts);
    // The version of the failure domain, or the hash of its contacts, that the peer knows; 0 if
    // none.
    static std::uint64_t findVersion(const proto::FailureDomainVersions &peer,
                                     const std::string &failureDomain);
    static std::uint32_t findContactsHash(const proto::FailureDomainVersions &peer,
                                          const std::string &failureDomain);
    // Adds the digest, without the contacts if the peer knows them.
    static void appendDigest(
            const proto::FailureDomainVersions &peer, const proto::FailureDomainDigest &digest,
            google::protobuf::RepeatedPtrField<proto::FailureDomainDigest> &failureDomains);

    // Takes over a newer digest of another failure domain; true if it is newer.
    bool merge(const proto::FailureDomainDigest &digest, std::chrono::milliseconds now);
    // Notes that another failure domain knows our own digest in this version.
    void observeOwnVersion(std::uint64_t version);
    // Next version of our own digest. Versions of two relays need no common clock: each continues
    // from the highest version it has heard of.
    std::uint64_t nextOwnVersion(std::chrono::milliseconds wall);
    void expire(std::chrono::milliseconds now);
    void excludePause(std::chrono::milliseconds gap);

    const std::map<std::string, Entry> &entries() const { return entries_; }
    const Entry *find(const std::string &failureDomain) const;
    // Versions of all known failure domains, our own included.
    proto::FailureDomainVersions versions() const;
    // Digests of which the peer has an older version or none; wanted collects the keys of those
    // that the peer has newer.
    std::vector<const proto::FailureDomainDigest *> findNewerDigests(
            const proto::FailureDomainVersions &peer, std::vector<std::uint32_t> *wanted) const;
    const proto::FailureDomainDigest *findByKey(std::uint32_t key) const;
    std::vector<FailureDomainView> views() const;
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
