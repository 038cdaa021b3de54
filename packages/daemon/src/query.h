// Evaluates "where", "sort" and "limit" of a show command.
#pragma once

#include "auburn/ctl/command.h"
#include "tablevalue.h"

#include <variant>
#include <vector>

namespace auburn {

// The rows that the command selects, in its order, or the first mistake in its fields and values.
std::variant<std::vector<TableRow>, CommandError> evaluateQuery(const ShowCommand &command,
                                                                std::vector<TableRow> rows);

} // namespace auburn
