#pragma once

#include "auburn/ctl/table.h"
#include "auburn/daemon/operatorbackend.h"
#include "tablevalue.h"

#include <optional>
#include <vector>

namespace auburn {

// Returns all rows of the table from the daemon's current state, with the columns of
// tableColumns(). Returns nullopt with lastError() set while the daemon has no configuration or
// member table to read them from.
std::optional<std::vector<TableRow>> tableRows(TableId table, const OperatorBackend &backend);

// Formats the fields of an item as "field=value ...". The syntax is that of a set command; a token
// hash is shortened.
std::string itemText(const ItemValue &value);

} // namespace auburn
