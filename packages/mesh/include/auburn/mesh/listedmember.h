#pragma once

#include <string>

namespace auburn {

enum class ListedKind { Daemon, BackendServer };

// ListedMember holds the fields of one VM in the platform's membership list that gossip uses.
struct ListedMember
{
    std::string name;
    ListedKind kind = ListedKind::Daemon;
    // Empty for a daemon.
    std::string service;
    std::string failureDomain;
    std::string region;
    // Peer endpoint (tcp://IP:PORT) of a daemon, or host:port of a backend server.
    std::string endpoint;
    bool leaving = false;
};

} // namespace auburn
