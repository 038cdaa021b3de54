#pragma once

#include "auburn/config/configstate.h"
#include "auburn/ctl/command.h"

#include "auburn.pb.h"

#include <variant>

namespace auburn {

// Reason why no change can be built from a command.
struct ChangeError
{
    proto::OperatorStatus status = proto::OPERATOR_STATUS_INVALID;
    std::string message;
    // Column of the error in the command, counted from 1; 0 if the error has no position.
    unsigned column = 0;
};

using BuiltChange = std::variant<proto::ConfigChange, ChangeError>;

// Builds the ConfigChange of a command from the current configuration. The change id, the operator
// and the time are left empty; the base revision is the item's current revision.
BuiltChange buildChange(const SetCommand &command, const ConfigState &state);
BuiltChange buildChange(const UnsetCommand &command, const ConfigState &state);
BuiltChange buildChange(const DrainCommand &command, const ConfigState &state);

} // namespace auburn
