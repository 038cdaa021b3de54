#include "auburn/core/loadshedding.h"

#include "auburn/core/log.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace auburn {

namespace {

// Rounds below kProgressBytes after which a connection is stalled.
constexpr unsigned kStalledRounds = 4;
// A connection that moves fewer bytes in a round is stalled.
constexpr std::size_t kProgressBytes = 1024;

} // namespace

std::vector<std::size_t> selectConnectionsToShed(const std::vector<ConnectionLoad> &loads,
                                                 const SheddingGoal &goal)
{
    std::unordered_map<std::uint64_t, std::size_t> sourceBytes;
    std::vector<std::size_t> candidates;
    for (std::size_t i = 0; i < loads.size(); ++i) {
        const ConnectionLoad &load = loads[i];
        sourceBytes[load.source] += load.heldBytes;
        if (load.isDispensable && load.heldBytes > 0 && load.stalledRounds >= goal.minStalledRounds)
            candidates.push_back(i);
    }
    std::vector<double> weights(loads.size());
    for (const std::size_t index : candidates) {
        const ConnectionLoad &load = loads[index];
        weights[index] = static_cast<double>(load.heldBytes) * (1 + load.stalledRounds)
                         * static_cast<double>(sourceBytes[load.source]);
    }
    std::sort(candidates.begin(), candidates.end(), [&weights](std::size_t a, std::size_t b) {
        return weights[a] != weights[b] ? weights[a] > weights[b] : a < b;
    });
    std::size_t freed = 0;
    std::size_t count = 0;
    while (count < candidates.size()
           && (freed < goal.excessBytes || count < goal.excessConnections))
        freed += loads[candidates[count++]].heldBytes;
    candidates.resize(count);
    return candidates;
}

std::uint64_t connectionSource(const boost::asio::ip::address &address)
{
    if (address.is_v4())
        return address.to_v4().to_uint();
    if (address.to_v6().is_v4_mapped())
        return boost::asio::ip::make_address_v4(boost::asio::ip::v4_mapped, address.to_v6())
                .to_uint();
    std::uint64_t network = 0;
    const auto bytes = address.to_v6().to_bytes();
    for (std::size_t i = 0; i < sizeof(network); ++i)
        network = network << 8 | bytes[i];
    return network;
}

unsigned ConnectionProgress::nextRound(bool canStall)
{
    const bool moved = hasMoved();
    movedBytes_ = 0;
    stalledRounds_ = moved || !canStall ? 0 : stalledRounds_ + 1;
    return stalledRounds_;
}

bool ConnectionProgress::hasMoved() const
{
    return movedBytes_ >= kProgressBytes;
}

SheddingPolicy::SheddingPolicy(std::shared_ptr<MemoryBudget> memory, std::size_t maxConnections,
                               Metrics *metrics)
    : memory_(std::move(memory))
    , maxConnections_(maxConnections)
    , metrics_(metrics)
{}

bool SheddingPolicy::isUnderPressure() const
{
    return memory_->used() > memory_->percent(kPressurePercent);
}

bool SheddingPolicy::isCrowded(std::size_t connections) const
{
    return connections > maxConnections_ * kCrowdedPercent / 100;
}

SheddingGoal SheddingPolicy::goal(std::size_t connections) const
{
    const std::size_t used = memory_->used();
    const bool emergency = used > memory_->percent(kEmergencyPercent);
    SheddingGoal goal{ .minStalledRounds = emergency ? 0 : kStalledRounds };
    if (used > memory_->percent(kPressurePercent))
        goal.excessBytes = used - memory_->percent(kRelievedPercent);
    if (isCrowded(connections))
        goal.excessConnections = connections - maxConnections_ * kUncrowdedPercent / 100;
    return goal;
}

void SheddingPolicy::record(const char *reason, std::size_t closed, std::size_t connections) const
{
    logEvent(LogLevel::Warning, "connections_shed",
             { { "reason", reason },
               { "connections", static_cast<long long>(closed) },
               { "open", static_cast<long long>(connections) },
               { "held_bytes", static_cast<long long>(memory_->used()) },
               { "limit_bytes", static_cast<long long>(memory_->limit()) } });
    if (metrics_)
        metrics_->counter("auburn_connections_shed_total",
                          "Caller connections closed, or their requests rejected, because memory "
                          "or descriptors were short",
                          { { "reason", reason } })
                .add(closed);
}

} // namespace auburn
