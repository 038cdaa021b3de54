// ListedMember: one VM of the platform's membership list, as far as gossip needs it.
#pragma once

#include <string>

namespace auburn {

enum class ListedKind { Daemon, BackendServer };

struct ListedMember
{
    std::string name;
    ListedKind kind = ListedKind::Daemon;
    // Empty for a daemon.
    std::string service;
    std::string failureDomain;
    std::string region;
    // For a daemon its peer endpoint (tcp://IP:PORT), otherwise host:port of the backend server.
    std::string endpoint;
    bool leaving = false;
};

} // namespace auburn
