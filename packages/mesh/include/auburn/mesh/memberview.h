// MemberView: what a daemon believes about the other daemons and about leaving backend servers at
// one moment.
#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace auburn {

enum class MemberStatus { Starting, Ready, Draining, Left, Dead };

struct Member
{
    std::string id;
    std::string endpoint;
    MemberStatus status = MemberStatus::Starting;
    std::uint64_t incarnation = 0;
    std::uint64_t configRevision = 0;
};

struct CellLoad
{
    std::string service;
    unsigned cell = 0;
    std::string owner;
    unsigned freeSlots = 0;
    unsigned totalSlots = 0;
    std::vector<unsigned> waitingByTier;
};

struct FailureDomainServiceLoad
{
    std::string service;
    unsigned freeSlots = 0;
    unsigned totalSlots = 0;
    std::vector<unsigned> waitingByTier;
};

// What is known of another failure domain, at most a few seconds old while the link is up.
struct FailureDomainView
{
    std::string failureDomain;
    std::string region;
    std::vector<FailureDomainServiceLoad> services;
    std::vector<Member> contacts;
    std::uint64_t minConfigRevision = 0;
    std::uint64_t maxConfigRevision = 0;
    unsigned liveDaemons = 0;
    // False once the failure domain has not been heard of for the failure timeout.
    bool reachable = true;
};

struct MemberView
{
    std::string selfId;
    std::string failureDomain;
    std::string region;
    // All known members of this failure domain, this daemon included, sorted by id.
    std::vector<Member> members;
    std::vector<CellLoad> cells;
    // Other failure domains, this one excluded.
    std::vector<FailureDomainView> failureDomains;
    // Backend servers that are marked as leaving by the platform list.
    std::set<std::string> leavingBackendServers;

    // Ready members' ids for a key in rendezvous order, the owner first; a draining member is never
    // listed.
    std::vector<std::string> rankedOwners(std::string_view key) const;
    // The first of rankedOwners; empty if no member is ready.
    std::string ownerOf(std::string_view key) const;
};

// Source of the current view; views are immutable.
class MemberViewSource
{
public:
    virtual ~MemberViewSource() = default;
    virtual std::shared_ptr<const MemberView> view() const = 0;
};

} // namespace auburn
