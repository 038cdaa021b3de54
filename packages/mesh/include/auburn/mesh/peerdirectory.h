// PeerDirectory: where Membership reports the endpoints of the daemons it learns of.
#pragma once

#include <string>

namespace auburn {

class PeerDirectory
{
public:
    virtual ~PeerDirectory() = default;

    // Sets or changes the endpoint of a daemon; callable from any thread.
    virtual void setPeer(const std::string &daemonId, const std::string &endpoint) = 0;
    // Forgets a daemon's endpoint and closes its connection; callable from any thread.
    virtual void removePeer(const std::string &daemonId) = 0;
};

} // namespace auburn
