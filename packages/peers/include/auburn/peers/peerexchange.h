// PeerExchange: short UDP messages between the daemons of one deployment.
//
// A beat carries how far its sender has read the store, which requests crashed servers and where
// the sender's requests are. A daemon that the store does not serve sees in a beat that another one
// is ahead and reads the documents from it over HTTP. Beats may be lost; each one is complete by
// itself. UDP fits better than a message queue here: a lost beat is replaced by the next one, and
// no connection can go silent.
#pragma once

#include "auburn.pb.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace auburn::peers {

using proto::PeerBeat;

struct BeatContent
{
    // The load of each server; for fleets in which every beat reaches all daemons.
    bool loads = false;
    // The recent changes of servers; for the own failure domain.
    bool changes = false;
};

// Another daemon that was heard from in the last seconds.
struct LivePeer
{
    std::string vm;
    std::string beatAddress;
    std::string failureDomain;
    unsigned cpuMillis = 0;
    bool serving = false;
};

class PeerExchange
{
public:
    using Clock = std::chrono::steady_clock;

    struct Options
    {
        std::string vm;
        // IP:PORT that beats are sent from and to.
        std::string beatAddress;
        std::string readAddress;
        std::string failureDomain;
        // Share of a core that this daemon has, in thousandths.
        unsigned cpuMillis = 0;
        // Beat addresses to begin with; they may be stale.
        std::vector<std::string> seeds;
        std::chrono::milliseconds interval{ 100 };
        // Fills in positions, crashes and what else the beat is to carry.
        std::function<void(PeerBeat &beat, BeatContent content)> fill;
        std::function<void(const PeerBeat &beat)> received;
        // Everything but beats.
        std::function<void(const proto::PeerDatagram &datagram, const std::string &sender)>
                datagramReceived;
    };

    // Null with lastError() set if the address cannot be used.
    static std::unique_ptr<PeerExchange> make(boost::asio::io_context &io, Options options);
    virtual ~PeerExchange() = default;

    // Adds a daemon's beat address; known ones are ignored.
    virtual void addPeer(const std::string &beatAddress) = 0;
    // Sends a beat now, in addition to the regular ones.
    virtual void sendSoon() = 0;
    // The same, to all daemons of this failure domain at least.
    virtual void sendToDomainSoon() = 0;
    // Other daemons heard from in the last seconds.
    virtual unsigned livePeers() const = 0;
    // The live peers of a failure domain.
    virtual std::vector<LivePeer> livePeersIn(const std::string &failureDomain) const = 0;
    virtual unsigned ownCpuMillis() const = 0;
    // Too many daemons to tell each of them every load.
    virtual bool isLargeFleet() const = 0;
    // Sends one datagram; it may be lost.
    virtual void send(const std::string &beatAddress, const proto::PeerDatagram &datagram) = 0;
};

} // namespace auburn::peers
