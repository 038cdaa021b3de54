// Applies the assignments of a set command to an item and checks the result.
#pragma once

#include "auburn/config/configstate.h"
#include "auburn/ctl/command.h"

#include <variant>

namespace auburn {

// The item that a set command produces from the current state, or the first mistake. A new item
// starts from the defaults of its kind.
std::variant<ItemValue, CommandError> editItem(const SetCommand &command, const ConfigState &state);

// Why the item cannot be removed, if other items refer to it.
std::optional<std::string> removalBlockedReason(const ItemKey &key, const ConfigState &state);

} // namespace auburn
