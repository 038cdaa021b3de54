#pragma once

#include "auburn/ctl/command.h"
#include "tablevalue.h"

#include <variant>
#include <vector>

namespace auburn {

// Evaluates "where", "sort" and "limit" of a show command. Returns the selected rows in the
// requested order, or the first error in the command's fields and values.
std::variant<std::vector<TableRow>, CommandError> evaluateQuery(const ShowCommand &command,
                                                                std::vector<TableRow> rows);

} // namespace auburn
