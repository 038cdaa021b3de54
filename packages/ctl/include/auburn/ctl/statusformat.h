// Text of a daemon's status document: aligned tables or JSON.
#pragma once

#include "auburn/ctl/statuscommand.h"

#include <optional>
#include <string>

namespace auburn {

// Formats the JSON document that a daemon returned; nullopt if it is no document of this view.
std::optional<std::string> formatStatusTable(StatusView view, const std::string &document);
std::optional<std::string> formatStatusJson(StatusView view, const std::string &document);

} // namespace auburn
