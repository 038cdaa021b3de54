// Limits of the callers' side and timeouts of the backend servers' side of the relay.
#pragma once

#include <chrono>
#include <cstddef>

namespace auburn {

struct RelayLimits
{
    std::size_t headerBytes = std::size_t{ 16 } * 1024;
    // From the first byte of a request to the end of its header.
    std::chrono::milliseconds headerTime{ 5000 };
    std::size_t bodyBytes = std::size_t{ 4 } * 1024 * 1024;
    std::chrono::milliseconds bodyTime{ 30000 };
    std::size_t keyCharacters = 64;
    // A caller that takes no byte for this long is disconnected.
    std::chrono::milliseconds writeTimeout{ 30000 };
    // Unsent bytes for one caller above which reading from its backend server stops.
    std::size_t relayBufferBytes = std::size_t{ 256 } * 1024;
    // A connection without a request is closed after this time.
    std::chrono::milliseconds keepAliveTime{ 60000 };
    // During a drain, idle connections stay open this long, so that a request that is on its way
    // is still answered.
    std::chrono::milliseconds drainIdleTime{ 1000 };
    // Over this number, a new connection displaces the one that has been idle longest.
    std::size_t connections = 8192;
    // Memory of all connections together: buffers, headers, bodies and unsent output.
    std::size_t memoryBytes = std::size_t{ 1024 } * 1024 * 1024;
};

struct BackendServerLimits
{
    std::chrono::milliseconds connectTimeout{ 1000 };
    // A pooled connection is closed after this time without use. Shorter than the 5 s that common
    // engine servers keep an idle connection.
    std::chrono::milliseconds poolTime{ 4000 };
    // Idle connections for each backend server and worker thread.
    std::size_t poolSize = 64;
    // A plain answer that is larger ends the attempt.
    std::size_t answerBytes = std::size_t{ 32 } * 1024 * 1024;
    // Attempts of one request, the first included.
    unsigned attempts = 4;
    // Retries as a share of requests, and the number that may be made at once.
    double retryShare = 0.1;
    double retryBurst = 10;
};

} // namespace auburn
