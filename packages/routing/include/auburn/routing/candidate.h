// Candidate is the state of one server at the moment of one placement decision.
#pragma once

#include "auburn/routing/serverdirectory.h"
#include "auburn/routing/serverview.h"

namespace auburn::routing {

struct Candidate
{
    const BackendServer *server = nullptr;
    const ServerView *view = nullptr;
    // Total of all daemons.
    PeerLoad load;
    double slowness = 1;
};

} // namespace auburn::routing
