// HeaderNames: the names of the headers that carry routing data between callers, the daemon and
// backend servers in one deployment.
#pragma once

#include <string>
#include <vector>

namespace auburn::gateway {

struct HeaderNames
{
    // Unique for each request of a caller; answers repeat it.
    std::string requestId;
    // Milliseconds that are left for the request.
    std::string deadline;
    std::string apiKey;
    // Set by the daemon: the organisation that holds the key.
    std::string organisation;
    // Set by the daemon: the server that must answer; any other rejects the request.
    std::string expectedServer;
    // Set by the daemon: urgency at an engine, 0 to 9.
    std::string urgency;
    std::string promptParts;
    std::string lastEventId;
    // Present in every answer that a server's work produced.
    std::string responseSeal;
    // Present if the server did not run the request.
    std::string notExecuted;
    // Running, waiting and slots of the server that answered.
    std::string serverLoad;
    // Headers that callers must not set; they are removed from requests.
    std::vector<std::string> reserved;
};

} // namespace auburn::gateway
