// PeerExchange: short UDP messages between the daemons of one deployment.
//
// A beat carries how far its sender has read the store, which requests crashed servers and where
// the sender's requests are. A daemon that the store does not serve sees in a beat that another one
// is ahead and reads the documents from it over HTTP. Beats may be lost; each one is complete by
// itself. UDP fits better than a message queue here: a lost beat is replaced by the next one, and
// no connection can go silent.
#pragma once

#include "auburn.pb.h"
#include "auburn/peers/peertable.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace auburn::peers {

using proto::PeerBeat;

// Who gets a beat of a large fleet; in a small one every beat goes to all.
enum class HeartbeatScope {
    // A few daemons at random.
    Regular,
    FailureDomain,
    Fleet,
};

struct HeartbeatContent
{
    HeartbeatScope scope = HeartbeatScope::Regular;
    // The load of each server; for fleets in which every beat reaches all daemons.
    bool includeLoads = false;
};

class PeerExchange
{
public:
    using Clock = std::chrono::steady_clock;

    struct Options
    {
        std::string vm;
        // IP:PORT that beats are sent from and to.
        std::string udpAddress;
        std::string readAddress;
        std::string failureDomain;
        // Region of each failure domain.
        std::map<std::string, std::string> regions;
        // Share of a core that this daemon has, in thousandths.
        unsigned cpuMillis = 0;
        // Beat addresses to begin with; they may be stale.
        std::vector<std::string> seeds;
        std::chrono::milliseconds interval{ 100 };
        // In a large fleet, once it has found itself.
        std::chrono::milliseconds largeFleetInterval{ 250 };
        // Fills in positions, crashes and what else the beat is to carry.
        std::function<void(PeerBeat &beat, HeartbeatContent content)> fillHeartbeat;
        std::function<void(const PeerBeat &beat)> onHeartbeat;
        // Everything but beats.
        std::function<void(const proto::PeerDatagram &datagram, const std::string &sender)>
                onDatagram;
    };

    // Null with lastError() set if the address cannot be used.
    static std::unique_ptr<PeerExchange> make(boost::asio::io_context &io, Options options);
    virtual ~PeerExchange() = default;

    // Adds a daemon's beat address; known ones are ignored.
    virtual void addPeer(const std::string &beatAddress) = 0;
    // Sends a beat in a moment, in addition to the regular ones. Several calls share one beat, to
    // the widest scope among them.
    virtual void scheduleHeartbeat(HeartbeatScope scope) = 0;
    // Other daemons heard from in the last seconds.
    virtual unsigned livePeerCount() const = 0;
    // The live peers of a failure domain.
    virtual std::vector<PeerInfo> livePeersIn(const std::string &failureDomain) const = 0;
    // Those of this failure domain that have just said that the store answers their reads.
    virtual std::vector<PeerInfo> storeReaders() const = 0;
    virtual unsigned ownCpuMillis() const = 0;
    // Too many daemons to tell each of them every load.
    virtual bool isLargeFleet() const = 0;
    // Sends one datagram; it may be lost.
    virtual void send(const std::string &beatAddress, const proto::PeerDatagram &datagram) = 0;
};

} // namespace auburn::peers
