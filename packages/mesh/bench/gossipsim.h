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

// SimTraffic counts the messages of one node and their bytes.
struct SimTraffic
{
    std::uint64_t messagesIn = 0;
    std::uint64_t messagesOut = 0;
    std::uint64_t bytesIn = 0;
    std::uint64_t bytesOut = 0;
};

// GossipSim runs many gossip cores in one thread over a simulated network with message loss, link
// failures and paused nodes.
//
// The tests and the benchmark use it. Time is simulated, so runs with equal seeds are identical.
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
        // Offset of the node's wall clock from simulated time.
        Milliseconds clockSkew{ 0 };
        bool running = true;
        bool paused = false;
        SimTraffic traffic;
        // Bytes received and sent in messages between failure domains.
        std::uint64_t failureDomainBytes = 0;
        Milliseconds busy{ 0 };
        std::vector<std::pair<std::string, proto::Envelope>> backlog;
    };

    explicit GossipSim(std::uint64_t seed);

    // Adds a running node and returns its index. The options need only the id, the failure domain,
    // the region and the seeds.
    std::size_t add(GossipOptions options, Milliseconds clockSkew = Milliseconds(0));
    // Stops the node without a Left message, or starts it again with a new incarnation.
    void kill(std::size_t index);
    void restart(std::size_t index);
    // Pauses or resumes the node. A paused node does nothing, and up to 100 messages are queued for
    // it.
    void pause(std::size_t index);
    void resume(std::size_t index);

    // Runs the simulation for the given time.
    void run(Milliseconds duration);
    // Runs until the condition holds, which is checked every 50 ms. Returns false if it does not
    // hold within the time limit.
    bool runUntil(const std::function<bool()> &condition, Milliseconds limit);

    // Applies a change to a running node and sends the resulting messages.
    void apply(std::size_t index, const std::function<void(GossipCore &, GossipTime)> &change);

    Node &node(std::size_t index) { return *nodes_[index]; }
    std::size_t size() const { return nodes_.size(); }
    std::shared_ptr<const MemberView> view(std::size_t index) { return node(index).core->view(); }
    Milliseconds now() const { return now_; }
    GossipTime timeOf(const Node &node) const;
    void resetTraffic();

    // Fraction of messages that are lost, from 0 to 1.
    double loss = 0;
    // Returns true if the link from the first node to the second drops all messages.
    std::function<bool(std::size_t, std::size_t)> isLinkDown;
    // One-way delay within a failure domain and between failure domains.
    Milliseconds latency{ 1 };
    Milliseconds interFailureDomainLatency{ 20 };
    // If true, a node whose core finds a peer with a higher revision pulls that revision, which
    // takes pullDelay.
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
        // Value of the node's epoch at scheduling time. A stop or restart of the node makes the
        // event stale.
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
