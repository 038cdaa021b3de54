// The choice of the caller connections that are closed when memory or connections are short.
#pragma once

#include "auburn/core/memorybudget.h"
#include "auburn/core/metrics.h"

#include <boost/asio/ip/address.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace auburn {

// What a caller connection holds and moves, for the choice of those that are closed when memory is
// short.
struct ConnectionLoad
{
    std::size_t heldBytes = 0;
    // Identifies the address of the caller.
    std::uint64_t source = 0;
    // Number of consecutive rounds of the shedding timer in which the connection moved almost no
    // bytes.
    unsigned stalledRounds = 0;
    // True if the request may be rejected because it is incomplete, so that it has not run, or the
    // connection closed because its caller does not read the response.
    bool isDispensable = false;
};

// How much is to be freed, and from which connections.
struct SheddingGoal
{
    std::size_t excessBytes = 0;
    std::size_t excessConnections = 0;
    // Connections that have been stalled for fewer rounds are kept.
    unsigned minStalledRounds = 0;
};

// Returns the indexes of the connections to close, until the excess is freed or no other connection
// qualifies. Those that hold the most and move the least come first, and among equal ones those
// whose source address holds the most. An address has no limit of its own: many callers may share
// one, behind a proxy.
std::vector<std::size_t> selectConnectionsToShed(const std::vector<ConnectionLoad> &loads,
                                                 const SheddingGoal &goal);

// Identifies the source of a connection. A caller with an IPv6 address has a whole /64 network.
std::uint64_t connectionSource(const boost::asio::ip::address &address);

// Counts the bytes that a connection moves, and the rounds without enough of them. Rounds are
// counted instead of time: a process that was suspended, or that gets no CPU, must not mistake its
// own delay for a stalled caller.
class ConnectionProgress
{
public:
    void addBytes(std::size_t bytes) { movedBytes_ += bytes; }
    // Starts a round and returns the number of consecutive stalled ones. A connection that waits
    // for a request or for a server cannot stall.
    unsigned nextRound(bool canStall);
    // True if enough has been moved in the current round for the connection not to be stalled.
    bool hasMoved() const;

private:
    std::size_t movedBytes_ = 0;
    unsigned stalledRounds_ = 0;
};

// SheddingPolicy decides when connections are closed and how many, and records it.
//
// While the connections hold more than kPressurePercent of the memory budget, or are more than
// kCrowdedPercent of their limit, a timer looks at them in rounds and closes those that hold the
// most and move the least.
class SheddingPolicy
{
public:
    static constexpr std::chrono::milliseconds kRoundInterval{ 250 };
    // Shares of the memory limit in percent. Above the first, connections that are stalled are
    // closed until the second is reached. The first lies below the share that large requests may
    // use, so that stalled ones make room for others.
    static constexpr unsigned kPressurePercent = 60;
    static constexpr unsigned kRelievedPercent = 50;
    // Above this share, incomplete requests are rejected even if they make progress.
    static constexpr unsigned kEmergencyPercent = 90;
    // Shares of the connection limit in percent: above the first, stalled connections are closed
    // until the second is reached.
    static constexpr unsigned kCrowdedPercent = 90;
    static constexpr unsigned kUncrowdedPercent = 80;

    // The metrics may be null.
    SheddingPolicy(std::shared_ptr<MemoryBudget> memory, std::size_t maxConnections,
                   Metrics *metrics);

    bool isUnderPressure() const;
    bool isCrowded(std::size_t connections) const;
    SheddingGoal goal(std::size_t connections) const;
    // Logs and counts connections that were chosen to be closed. The caller limits the number of
    // calls to one for each round, so that the log stays bounded whatever the number of
    // connections. The reason is "memory", "descriptors" or "refused".
    void record(const char *reason, std::size_t closed, std::size_t connections) const;

private:
    const std::shared_ptr<MemoryBudget> memory_;
    const std::size_t maxConnections_;
    Metrics *const metrics_;
};

} // namespace auburn
