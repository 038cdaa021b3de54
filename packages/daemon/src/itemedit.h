#pragma once

#include "auburn/config/configstate.h"
#include "auburn/ctl/command.h"

#include <variant>

namespace auburn {

// Applies the assignments of a set command to the item's current value and validates the result.
// Returns the new value or the first error. A new item starts from the defaults of its kind.
std::variant<ItemValue, CommandError> editItem(const SetCommand &command, const ConfigState &state);

// Returns why the item cannot be removed if another item refers to it, otherwise nullopt.
std::optional<std::string> removalBlockedReason(const ItemKey &key, const ConfigState &state);

} // namespace auburn
