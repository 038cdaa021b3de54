#pragma once

#include <string>

namespace auburn {

// PeerDirectory receives the endpoints of the daemons that Membership discovers.
class PeerDirectory
{
public:
    virtual ~PeerDirectory() = default;

    // Sets or changes the endpoint of a daemon. Callable from any thread.
    virtual void setPeer(const std::string &daemonId, const std::string &endpoint) = 0;
    // Removes a daemon's endpoint and closes the connection to it. Callable from any thread.
    virtual void removePeer(const std::string &daemonId) = 0;
};

} // namespace auburn
