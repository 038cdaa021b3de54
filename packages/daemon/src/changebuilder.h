// Builds the ConfigChange of a command from the current configuration.
#pragma once

#include "auburn/config/configstate.h"
#include "auburn/ctl/command.h"

#include "auburn.pb.h"

#include <variant>

namespace auburn {

// Why a command cannot become a change.
struct ChangeError
{
    proto::OperatorStatus status = proto::OPERATOR_STATUS_INVALID;
    std::string message;
    // Column of the mistake in the command; 0 if none.
    unsigned column = 0;
};

using BuiltChange = std::variant<proto::ConfigChange, ChangeError>;

// The change without id, operator and time. The base revision is the item's current one.
BuiltChange buildChange(const SetCommand &command, const ConfigState &state);
BuiltChange buildChange(const UnsetCommand &command, const ConfigState &state);
BuiltChange buildChange(const DrainCommand &command, const ConfigState &state);

} // namespace auburn
