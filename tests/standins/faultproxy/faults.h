// Faults that the fault proxy applies to the connections of a route.
#pragma once

#include <chrono>
#include <cstdint>

namespace auburn::standins {

struct Faults
{
    // Added to every chunk of bytes, in both directions.
    std::chrono::milliseconds delay{ 0 };
    // Bytes per second of each direction of each connection; 0 means no limit.
    std::uint64_t bandwidth = 0;
    // Bytes of a cut direction are held back and delivered after the cut, as TCP would do after a
    // partition. New connections are accepted, but get no answer while the way to the target is
    // cut.
    bool cutToTarget = false;
    bool cutToClient = false;
    // New connections are closed at once.
    bool refuse = false;
    // The next answers of the target are discarded; the target has then handled the request.
    unsigned dropAnswers = 0;
    // After a dropped answer the connection is silent for good instead of closed.
    bool dropThenSilent = false;
};

} // namespace auburn::standins
