// Rows of the tables that operators query, from the daemon's current state.
#pragma once

#include "auburn/ctl/table.h"
#include "auburn/daemon/operatorbackend.h"
#include "tablevalue.h"

#include <optional>
#include <vector>

namespace auburn {

// All rows of the table, with the columns of tableColumns(). Nothing, with lastError() set, while
// the daemon lacks the state for it.
std::optional<std::vector<TableRow>> tableRows(TableId table, const OperatorBackend &backend);

// "field=value ..." of an item, in the form that a set command takes.
std::string itemText(const ItemValue &value);

} // namespace auburn
