#pragma once

#include <string>
#include <vector>

namespace auburn::gateway {

// HeaderNames holds the names of the HTTP headers that carry routing data between callers, the
// daemon and backend servers in one deployment.
struct HeaderNames
{
    // Unique for each request of a caller; responses repeat it.
    std::string requestId;
    // Milliseconds that are left for the request.
    std::string deadline;
    std::string apiKey;
    // Set by the daemon: the organisation that holds the key.
    std::string organisation;
    // Set by the daemon: the server that must respond; any other rejects the request.
    std::string expectedServer;
    // Set by the daemon: urgency at an engine, 0 to 9.
    std::string urgency;
    // Set by the daemon: IP:PORT of the engine from which the server copies the prompt parts that
    // it lacks.
    std::string copySource;
    // The ids and token counts of the parts of the prompt.
    std::string promptParts;
    // The id of the last event that the caller has received of a resumed stream.
    std::string lastEventId;
    // The id of the caller's attempt that brought the first event of a resumed stream.
    std::string resumedRequest;
    // Present in every response that a backend server produced by running the request.
    std::string responseSeal;
    // Present if the server did not run the request.
    std::string notExecuted;
    // The numbers of running requests, waiting requests and slots of the responding backend server.
    std::string serverLoad;
    // Present in every response of a backend server that is leaving.
    std::string serverLeaving;
    // The requests a second that the responding backend server takes from all daemons together.
    std::string serverLimit;
    // Headers that callers must not set; they are removed from requests.
    std::vector<std::string> reserved;
};

} // namespace auburn::gateway
