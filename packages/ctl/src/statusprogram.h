// Runs the commands that ask the metrics port of a daemon.
#pragma once

#include "auburn/ctl/ctlprogram.h"

#include <chrono>
#include <string>
#include <vector>

namespace auburn {

struct StatusOptions
{
    // IP:PORT
    std::string address;
    std::chrono::milliseconds timeout{ 30000 };
    bool json = false;
    std::vector<std::string> words;
};

CtlExit runStatusCommand(const CtlEnvironment &environment, const StatusOptions &options);

} // namespace auburn
