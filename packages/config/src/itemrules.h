// Rules that a change must meet regardless of the other items. They are part of the log's format,
// see configfold.h.
#pragma once

#include "auburn/config/configstate.h"

#include <cstddef>
#include <optional>
#include <string>

namespace auburn {

constexpr std::size_t kMaxNameLength = 64;
constexpr std::size_t kMaxOperatorLength = 128;
// Far above the size of any valid change; keeps a hostile record out of the held changes.
constexpr std::size_t kMaxChangeBytes = 16UL * 1024;

// Kind and name of the item of a change; nothing if it has no value.
std::optional<ItemKey> keyOfChange(const proto::ConfigChange &change);

// True if the change can be counted under its id: a valid id, and not oversized.
bool isCountable(const proto::ConfigChange &change);

// Why the change is invalid in itself; nothing if it is valid.
std::optional<std::string> shapeFault(const proto::ConfigChange &change);

} // namespace auburn
