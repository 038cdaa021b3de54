// GossipSim: many gossip cores in one thread, over a simulated network with loss, cuts and freezes.
//
// Used by the tests and the bench. Time is simulated, so runs with equal seeds are identical.
#pragma once

#include "auburn/mesh/gossipcore.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace auburn {

struct SimTraffic
{
    std::uint64_t messagesIn = 0;
    std::uint64_t messagesOut = 0;
    std::uint64_t bytesIn = 0;
    std::uint64_t bytesOut = 0;
};

class GossipSim
{
public:
    using Milliseconds = std::chrono::milliseconds;

    struct Node
    {
        std::string id;
        std::string endpoint;
        std::unique_ptr<GossipCore> core;
        GossipOptions options;
        // Offset of the node's own wall clock.
        Milliseconds clockSkew{ 0 };
        bool running = true;
        bool paused = false;
        SimTraffic traffic;
        // Bytes in and out of messages between failure domains.
        std::uint64_t failureDomainBytes = 0;
        Milliseconds busy{ 0 };
        std::vector<std::pair<std::string, proto::Envelope>> backlog;
    };

    explicit GossipSim(std::uint64_t seed);

    // Adds a running node; options need id, failure domain, region and seeds only. Returns its
    // index.
    std::size_t add(GossipOptions options, Milliseconds clockSkew = Milliseconds(0));
    // Ends the node without notice, or starts it again with a new incarnation.
    void kill(std::size_t index);
    void restart(std::size_t index);
    // A paused node does nothing; up to 100 messages wait for it.
    void pause(std::size_t index);
    void resume(std::size_t index);

    // Runs for the given simulated time.
    void run(Milliseconds duration);
    // Runs until the condition holds, checked every 50 ms; false if it does not within the limit.
    bool runUntil(const std::function<bool()> &condition, Milliseconds limit);

    // Applies a change to a running node and sends what comes of it.
    void apply(std::size_t index, const std::function<void(GossipCore &, GossipTime)> &change);

    Node &node(std::size_t index) { return *nodes_[index]; }
    std::size_t size() const { return nodes_.size(); }
    std::shared_ptr<const MemberView> view(std::size_t index) { return node(index).core->view(); }
    Milliseconds now() const { return now_; }
    GossipTime timeOf(const Node &node) const;
    void resetTraffic();

    // Share of messages that are lost.
    double loss = 0;
    // True if messages from the first node to the second do not arrive.
    std::function<bool(std::size_t, std::size_t)> isLinkDown;
    // One-way delay.
    Milliseconds latency{ 1 };
    Milliseconds interFailureDomainLatency{ 20 };
    // Nodes pull configuration when told of a higher revision, and have it after this time.
    bool pullsConfiguration = true;
    Milliseconds pullDelay{ 10 };
    std::function<void(std::size_t, const proto::Envelope &)> onSend;

private:
    enum class EventKind { Tick, Message, Pull };

    struct Event
    {
        Milliseconds time{ 0 };
        std::uint64_t order = 0;
        EventKind kind = EventKind::Tick;
        std::size_t node = 0;
        std::size_t peer = 0;
        std::shared_ptr<const proto::Envelope> envelope;
        std::uint64_t epoch = 0;

        bool operator>(const Event &other) const
        {
            return std::tie(time, order) > std::tie(other.time, other.order);
        }
    };

    void schedule(Event event);
    void scheduleTick(std::size_t index);
    void handle(const Event &event);
    void deliver(std::size_t to, std::size_t from, const proto::Envelope &envelope);
    void flush(std::size_t index);
    void transmit(std::size_t from, GossipMessage message);
    bool isDelivered(std::size_t from, std::size_t to);

    std::mt19937_64 random_;
    std::vector<std::unique_ptr<Node>> nodes_;
    std::vector<std::uint64_t> epochs_;
    std::unordered_map<std::string, std::size_t> byId_;
    std::unordered_map<std::string, std::size_t> byEndpoint_;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
    std::uint64_t order_ = 0;
    Milliseconds now_{ 0 };
};

} // namespace auburn
