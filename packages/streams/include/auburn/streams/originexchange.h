// OriginExchange connects the OriginRegistry of this daemon with those of the other daemons.
#pragma once

#include "auburn.pb.h"
#include "auburn/core/bootclock.h"
#include "auburn/streams/originpeers.h"
#include "auburn/streams/originregistry.h"
#include "auburn/streams/serverview.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace auburn::streams {

class OriginExchange : public OriginPeers
{
public:
    using TimePoint = BootClock::time_point;

    // All values are required. The functions are not called before the first message.
    struct Options
    {
        OriginRegistry *registry = nullptr;
        ServerView *view = nullptr;
        std::function<DaemonProcess()> self;
        // The addresses (IP:PORT) of all live daemons; empty if the fleet is too large to ask all
        // of them.
        std::function<std::vector<std::string>()> addresses;
        // Returns true if heartbeats of every live daemon arrive, and the others can be asked.
        std::function<bool()> hearsAll;
        // Returns true if most daemons of the fleet are live.
        std::function<bool()> isInMajority;
        // Sends a datagram to another daemon; it may be lost.
        std::function<void(const std::string &address, const proto::PeerDatagram &datagram)> send;
    };

    explicit OriginExchange(Options options);

    void ask(const OriginQuestion &question) override;
    // Handles questions and replies; other datagrams are ignored. The sender is IP:PORT.
    void handleDatagram(const proto::PeerDatagram &datagram, const std::string &sender);
    void fillHeartbeat(proto::PeerBeat &heartbeat, TimePoint now) const;
    // hasSameServers is true if this daemon knows the servers that the sender knows.
    void handleHeartbeat(const proto::PeerBeat &heartbeat, bool hasSameServers, TimePoint now);

    // The time at which this daemon's list of servers was complete; empty if that is unknown.
    std::optional<TimePoint> viewConfirmedAt(TimePoint now) const;

private:
    void reply(const proto::StreamQuestion &question, const std::string &sender) const;

    const Options options_;
};

} // namespace auburn::streams
