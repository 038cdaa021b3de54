// PermitOwners selects the daemon that grants the permits of a backend server with a limit on
// requests.
//
// It is a daemon of the server's failure domain, which all daemons select alike as long as they see
// the same daemons there. After a change some of them know the new owner earlier than others, so an
// owner grants nothing until it has been the owner, by its own view, for longer than a change takes
// to reach all daemons. The rest of the fleet then asks no other owner.
#pragma once

#include "auburn/peers/peertable.h"
#include "auburn/routing/serverdirectory.h"

#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace auburn::peers {

// Time for which a daemon must have been the owner before it grants permits.
inline constexpr std::chrono::milliseconds kPermitTakeoverDelay{ 2000 };

class PermitOwners
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    struct Options
    {
        // Name of the VM that this daemon runs on.
        std::string vm;
        std::string failureDomain;
    };

    PermitOwners(Options options, TimePoint startedAt);

    // Records the other daemons that are live and serving, and whether this one is serving.
    void update(const std::vector<PeerInfo> &livePeers, bool isServing, TimePoint now);

    // The daemon that grants the permits of a server.
    struct Owner
    {
        // IP:PORT for datagrams; empty if this daemon is the owner.
        std::string udpAddress;
    };
    // Returns nullopt if no daemon can be the owner.
    std::optional<Owner> ownerOf(const routing::BackendServer &server) const;
    // True if this daemon is the owner and has been for kPermitTakeoverDelay.
    bool mayGrant(const routing::BackendServer &server, TimePoint now) const;

private:
    struct Candidate
    {
        std::string vm;
        std::string udpAddress;
        bool operator==(const Candidate &) const = default;
    };
    // The daemons that can be owners, by failure domain.
    using Members = std::map<std::string, std::vector<Candidate>>;
    struct Snapshot
    {
        TimePoint since;
        Members members;
    };

    static const Candidate *select(const Members &members, const routing::BackendServer &server);

    const Options options_;
    const TimePoint startedAt_;
    // The newest last; each holds until the next one.
    std::deque<Snapshot> snapshots_;
};

} // namespace auburn::peers
