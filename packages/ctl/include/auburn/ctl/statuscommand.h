// StatusCommand: a command that asks the metrics port of a daemon, which needs no keys.
#pragma once

#include <string>
#include <variant>
#include <vector>

namespace auburn {

enum class StatusView { Duties, Explanation };

struct StatusCommand
{
    StatusView view = StatusView::Duties;
    // Path and query of the request.
    std::string target;
};

struct StatusCommandError
{
    std::string message;
};

// Returns true if the first word is that of a status command.
bool isStatusCommand(const std::vector<std::string> &words);

// Parses "duties" and "explain SERVICE [prompt ID:TOKENS,...] [urgency N] [stream] [deadline MS]
// [organisation NAME]", of which the options may be in any order.
std::variant<StatusCommand, StatusCommandError> parseStatusCommand(
        const std::vector<std::string> &words);

} // namespace auburn
