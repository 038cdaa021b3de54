// What the programs of the backend server stand-ins have in common: several servers in one process,
// and errors of the command line.
#pragma once

#include "listenflag.h"

#include "auburn/core/lasterror.h"

#include <tclap/ArgException.h>

#include <cstdint>
#include <iostream>
#include <memory>
#include <vector>

namespace auburn::standin {

// Starts servers on consecutive ports, or on selected ones if the port is 0, and prints where they
// listen. Each runs in the context that the function returns for its index. Prints the error and
// returns no servers on failure.
template<typename Server, typename Options, typename ContextOf>
std::vector<std::unique_ptr<Server>> startServers(const Options &first, unsigned count,
                                                  ContextOf contextOf)
{
    std::vector<std::unique_ptr<Server>> servers;
    for (unsigned i = 0; i < count; ++i) {
        Options options = first;
        if (options.port != 0)
            options.port = static_cast<std::uint16_t>(options.port + i);
        servers.push_back(Server::make(contextOf(i), options));
        if (!servers.back()) {
            std::cerr << lastError() << '\n';
            return {};
        }
        printListening(options.address, servers.back()->port());
    }
    return servers;
}

// Returns the exit code of a program.
template<typename ParseSettings, typename Run>
int runProgram(ParseSettings parseSettings, Run run, int argc, char **argv)
{
    try {
        return run(parseSettings(argc, argv));
    } catch (const TCLAP::ArgException &error) {
        std::cerr << error.argId() << ": " << error.error() << '\n';
        return 2;
    }
}

} // namespace auburn::standin
