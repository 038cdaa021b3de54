// Candidate is the state of one server at the moment of one placement decision.
#pragma once

#include "auburn/routing/serverdirectory.h"
#include "auburn/routing/serverview.h"

#include <optional>

namespace auburn::routing {

// What the reports of a server say about the request to be placed.
struct LearnedState
{
    // Estimated requests of all daemons in progress; only used for plain services, since the other
    // daemons' sessions at an engine do not change as those of this daemon do.
    double running = 0;
    // Number of them beyond which no more work is completed.
    double usefulConcurrency = 1;
    // The server was slow when last seen and is assumed to be as fast as usual for this request.
    bool isProbed = false;
};

struct Candidate
{
    const BackendServer *server = nullptr;
    const ServerView *view = nullptr;
    // Total of all daemons.
    PeerLoad load;
    // Expected work time as a multiple of the usual one.
    double slowness = 1;
    // Set if the server reports its work time.
    std::optional<LearnedState> learned;
};

} // namespace auburn::routing
