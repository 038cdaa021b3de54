#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace auburn::gateway {

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

} // namespace auburn::gateway
