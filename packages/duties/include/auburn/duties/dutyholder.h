#pragma once

#include <cstdint>
#include <string>

namespace auburn::duties {

// The daemon that performs the duties of the deployment, as far as this daemon knows.
struct DutyHolder
{
    // Fencing token; rises with each change of the holder. 0 if no holder is known.
    std::uint64_t token = 0;
    // Number of renewals under this token.
    std::uint64_t renewal = 0;
    // IP:PORT for datagrams.
    std::string udpAddress;
    bool released = false;
};

} // namespace auburn::duties
