// PeerExchange sends heartbeats and other short UDP messages between the daemons of one deployment.
//
// A heartbeat carries the positions up to which its sender has read the store, the requests that
// crashed servers, and the sender's load at the servers. A daemon that cannot read the store learns
// from a heartbeat that another daemon is ahead, and reads the documents from it over HTTP.
// Heartbeats may be lost; each one is complete by itself. UDP fits better than a message queue
// here: a lost heartbeat is replaced by the next one, and there is no connection that can stall.
#pragma once

#include "auburn.pb.h"
#include "auburn/peers/peertable.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace auburn::peers {

using proto::PeerBeat;

// The recipients of a heartbeat in a large fleet; in a small one every heartbeat goes to all
// daemons.
enum class HeartbeatScope {
    // A few daemons selected at random.
    Regular,
    FailureDomain,
    Fleet,
};

// Selects the content of an outgoing heartbeat.
struct HeartbeatContent
{
    HeartbeatScope scope = HeartbeatScope::Regular;
    // Include the load of each server; only in fleets in which every heartbeat reaches all daemons.
    bool includeLoads = false;
};

class PeerExchange
{
public:
    using Clock = std::chrono::steady_clock;

    struct Options
    {
        std::string vm;
        // IP:PORT that datagrams are sent from and received on.
        std::string udpAddress;
        // IP:PORT at which other daemons read documents over HTTP; empty if there is none.
        std::string readAddress;
        std::string failureDomain;
        // Maps each failure domain to its region.
        std::map<std::string, std::string> regions;
        // This daemon's CPU share in thousandths of a core.
        unsigned cpuMillis = 0;
        // UDP addresses of the first peers to contact; they may be stale.
        std::vector<std::string> seeds;
        std::chrono::milliseconds interval{ 100 };
        // Heartbeat interval in a large fleet, after the startup period.
        std::chrono::milliseconds largeFleetInterval{ 250 };
        // Adds store positions, crash counts and other content to an outgoing heartbeat.
        std::function<void(PeerBeat &beat, HeartbeatContent content)> fillHeartbeat;
        std::function<void(const PeerBeat &beat)> onHeartbeat;
        // Called for every datagram other than heartbeats.
        std::function<void(const proto::PeerDatagram &datagram, const std::string &sender)>
                onDatagram;
    };

    // Returns null and sets lastError() if the address cannot be used.
    static std::unique_ptr<PeerExchange> make(boost::asio::io_context &io, Options options);
    virtual ~PeerExchange() = default;

    // Adds a daemon by its UDP address; known addresses are ignored.
    virtual void addPeer(const std::string &udpAddress) = 0;
    // Sends a heartbeat shortly, in addition to the regular ones. Calls in quick succession share
    // one heartbeat with the widest scope among them.
    virtual void scheduleHeartbeat(HeartbeatScope scope) = 0;
    // Returns the number of live peers: other daemons of which a recent heartbeat arrived, directly
    // or relayed.
    virtual unsigned livePeerCount() const = 0;
    virtual std::vector<PeerInfo> livePeers() const = 0;
    // Returns the live peers of a failure domain.
    virtual std::vector<PeerInfo> livePeersIn(const std::string &failureDomain) const = 0;
    // Returns the live peers of this failure domain that recently announced that they read the
    // store.
    virtual std::vector<PeerInfo> storeReaders() const = 0;
    virtual unsigned ownCpuMillis() const = 0;
    // Distinguishes processes with the same name; heartbeats state it.
    virtual std::uint64_t incarnation() const = 0;
    // Returns true if the fleet is too large to send the load of each server to every daemon.
    virtual bool isLargeFleet() const = 0;
    // Sends one datagram; it may be lost.
    virtual void send(const std::string &udpAddress, const proto::PeerDatagram &datagram) = 0;
};

} // namespace auburn::peers
