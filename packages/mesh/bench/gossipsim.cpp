#include "gossipsim.h"

#include <tuple>
#include <utility>

namespace auburn {

namespace {

// Wall-clock time at the start of the simulation, since the epoch.
constexpr GossipSim::Milliseconds kInitialWallClock{ 1790000000000 };
// Maximum number of messages queued for a paused node.
constexpr std::size_t kBacklogLimit = 100;

} // namespace

GossipSim::GossipSim(std::uint64_t seed)
    : random_(seed)
{}

GossipTime GossipSim::timeOf(const Node &node) const
{
    return GossipTime{ .monotonic = now_, .wall = kInitialWallClock + now_ + node.clockSkew };
}

std::size_t GossipSim::add(GossipOptions options, Milliseconds clockSkew)
{
    const std::size_t index = nodes_.size();
    auto node = std::make_unique<Node>();
    if (options.endpoint.empty())
        options.endpoint = "tcp://10.20." + std::to_string(index / 250) + "."
                           + std::to_string(index % 250 + 1) + ":7700";
    options.randomSeed = random_();
    node->id = options.selfId;
    node->endpoint = options.endpoint;
    node->clockSkew = clockSkew;
    node->options = std::move(options);
    byId_[node->id] = index;
    byEndpoint_[node->endpoint] = index;
    nodes_.push_back(std::move(node));
    epochs_.push_back(0);
    nodes_[index]->running = false;
    restart(index);
    return index;
}

void GossipSim::kill(std::size_t index)
{
    Node &node = *nodes_[index];
    node.running = false;
    node.paused = false;
    node.backlog.clear();
    ++epochs_[index];
}

void GossipSim::restart(std::size_t index)
{
    Node &node = *nodes_[index];
    ++epochs_[index];
    node.running = true;
    GossipOptions options = node.options;
    options.incarnation = static_cast<std::uint64_t>(
            std::chrono::microseconds(timeOf(node).wall).count());
    options.randomSeed = random_();
    node.core = std::make_unique<GossipCore>(std::move(options), timeOf(node));
    scheduleTick(index);
}

void GossipSim::pause(std::size_t index)
{
    nodes_[index]->paused = true;
}

void GossipSim::resume(std::size_t index)
{
    Node &node = *nodes_[index];
    node.paused = false;
    for (const auto &[sender, envelope] : std::exchange(node.backlog, {}))
        node.core->receive(sender, envelope, timeOf(node));
    flush(index);
    scheduleTick(index);
}

void GossipSim::schedule(Event event)
{
    event.order = order_++;
    events_.push(std::move(event));
}

void GossipSim::scheduleTick(std::size_t index)
{
    Node &node = *nodes_[index];
    schedule(Event{ .time = std::max(node.core->nextTick(), now_),
                    .kind = EventKind::Tick,
                    .node = index,
                    .epoch = epochs_[index] });
}

void GossipSim::run(Milliseconds duration)
{
    const Milliseconds end = now_ + duration;
    while (!events_.empty() && events_.top().time <= end) {
        const Event event = events_.top();
        events_.pop();
        now_ = std::max(now_, event.time);
        handle(event);
    }
    now_ = end;
}

bool GossipSim::runUntil(const std::function<bool()> &condition, Milliseconds limit)
{
    const Milliseconds end = now_ + limit;
    while (!condition()) {
        if (now_ >= end)
            return false;
        run(Milliseconds(50));
    }
    return true;
}

void GossipSim::handle(const Event &event)
{
    Node &node = *nodes_[event.node];
    if (event.kind == EventKind::Message) {
        deliver(event.node, event.peer, *event.envelope);
        return;
    }
    if (!node.running || node.paused || event.epoch != epochs_[event.node])
        return;
    if (event.kind == EventKind::Tick) {
        if (now_ >= node.core->nextTick())
            node.core->tick(timeOf(node));
        flush(event.node);
        scheduleTick(event.node);
        return;
    }
    const Node &source = *nodes_[event.peer];
    if (!source.running || source.paused)
        return;
    std::uint64_t revision = 0;
    for (const Member &member : source.core->view()->members) {
        if (member.id == source.id)
            revision = member.configRevision;
    }
    node.core->setConfigRevision(revision, timeOf(node));
    flush(event.node);
}

void GossipSim::apply(std::size_t index,
                      const std::function<void(GossipCore &, GossipTime)> &change)
{
    Node &node = *nodes_[index];
    change(*node.core, timeOf(node));
    flush(index);
}

void GossipSim::flush(std::size_t index)
{
    Node &node = *nodes_[index];
    for (GossipMessage &message : node.core->takeMessages())
        transmit(index, std::move(message));
    const std::optional<HigherRevision> higher = node.core->takeHigherRevision();
    if (!higher || !pullsConfiguration)
        return;
    const auto peer = byId_.find(higher->peer);
    if (peer == byId_.end() || !isDelivered(index, peer->second)
        || !isDelivered(peer->second, index))
        return;
    schedule(Event{ .time = now_ + pullDelay,
                    .kind = EventKind::Pull,
                    .node = index,
                    .peer = peer->second,
                    .epoch = epochs_[index] });
}

bool GossipSim::isDelivered(std::size_t from, std::size_t to)
{
    if (isLinkDown && isLinkDown(from, to))
        return false;
    return loss == 0 || std::uniform_real_distribution<double>(0, 1)(random_) >= loss;
}

void GossipSim::transmit(std::size_t from, GossipMessage message)
{
    Node &sender = *nodes_[from];
    message.envelope.set_sender(sender.id);
    if (onSend)
        onSend(from, message.envelope);
    const std::size_t bytes = message.envelope.ByteSizeLong();
    ++sender.traffic.messagesOut;
    sender.traffic.bytesOut += bytes;
    if (message.envelope.has_failure_domain_digests())
        sender.failureDomainBytes += bytes;
    const auto byId = byId_.find(message.peer);
    const auto byEndpoint = byEndpoint_.find(message.endpoint);
    std::size_t to = nodes_.size();
    if (byEndpoint != byEndpoint_.end())
        to = byEndpoint->second;
    else if (message.endpoint.empty() && byId != byId_.end())
        to = byId->second;
    if (to == nodes_.size() || !isDelivered(from, to))
        return;
    const bool sameFailureDomain = sender.options.failureDomain
                                   == nodes_[to]->options.failureDomain;
    schedule(Event{ .time = now_ + (sameFailureDomain ? latency : interFailureDomainLatency),
                    .kind = EventKind::Message,
                    .node = to,
                    .peer = from,
                    .envelope = std::make_shared<proto::Envelope>(std::move(message.envelope)) });
}

void GossipSim::deliver(std::size_t to, std::size_t from, const proto::Envelope &envelope)
{
    Node &node = *nodes_[to];
    if (!node.running)
        return;
    if (node.paused) {
        if (node.backlog.size() < kBacklogLimit)
            node.backlog.emplace_back(nodes_[from]->id, envelope);
        return;
    }
    const std::size_t bytes = envelope.ByteSizeLong();
    ++node.traffic.messagesIn;
    node.traffic.bytesIn += bytes;
    if (envelope.has_failure_domain_digests())
        node.failureDomainBytes += bytes;
    const Milliseconds tickBefore = node.core->nextTick();
    node.core->receive(envelope.sender(), envelope, timeOf(node));
    flush(to);
    if (node.core->nextTick() < tickBefore)
        scheduleTick(to);
}

void GossipSim::resetTraffic()
{
    for (auto &node : nodes_) {
        node->traffic = SimTraffic();
        node->failureDomainBytes = 0;
    }
}

} // namespace auburn
