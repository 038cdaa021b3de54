#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace auburn {

enum class MemberStatus { Starting, Ready, Draining, Left, Dead };

// Member is the state of one daemon as seen by the owner of the view.
struct Member
{
    std::string id;
    std::string endpoint;
    MemberStatus status = MemberStatus::Starting;
    std::uint64_t incarnation = 0;
    std::uint64_t configRevision = 0;
};

// CellLoad is the load of one cell as its owner published it.
struct CellLoad
{
    std::string service;
    unsigned cell = 0;
    std::string owner;
    unsigned freeSlots = 0;
    unsigned totalSlots = 0;
    std::vector<unsigned> waitingByTier;
};

// FailureDomainServiceLoad is the load of one service, summed over the cells of a failure domain.
struct FailureDomainServiceLoad
{
    std::string service;
    unsigned freeSlots = 0;
    unsigned totalSlots = 0;
    std::vector<unsigned> waitingByTier;
};

// FailureDomainView is the state of another failure domain. It is at most a few seconds old while
// the link is up.
struct FailureDomainView
{
    std::string failureDomain;
    std::string region;
    std::vector<FailureDomainServiceLoad> services;
    std::vector<Member> contacts;
    // Lowest and highest configuration revision of the ready daemons; 0 if there are none.
    std::uint64_t minConfigRevision = 0;
    std::uint64_t maxConfigRevision = 0;
    // Number of ready daemons. Starting and draining ones are not counted.
    unsigned liveDaemons = 0;
    // False if no newer digest of the failure domain has arrived within its timeout.
    bool reachable = true;
};

// MemberView is a snapshot of the daemons, loads and leaving backend servers that a daemon knows.
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
    // Backend servers that the platform list has marked as leaving.
    std::set<std::string> leavingBackendServers;

    // Returns the ids of the ready members in rendezvous-hash order for the key, the owner first.
    // Draining members are never listed.
    std::vector<std::string> rankedOwners(std::string_view key) const;
    // Returns the first of rankedOwners(), or an empty string if no member is ready.
    std::string ownerOf(std::string_view key) const;
};

// MemberViewSource provides the current view. Views are immutable.
class MemberViewSource
{
public:
    virtual ~MemberViewSource() = default;
    virtual std::shared_ptr<const MemberView> view() const = 0;
};

} // namespace auburn
