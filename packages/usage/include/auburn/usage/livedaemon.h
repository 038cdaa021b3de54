#pragma once

#include <string>

namespace auburn::usage {

// A daemon that is live according to its heartbeats, or this one.
struct LiveDaemon
{
    std::string vm;
    // IP:PORT for datagrams.
    std::string udpAddress;
    std::string failureDomain;
};

} // namespace auburn::usage
