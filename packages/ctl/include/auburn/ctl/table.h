// Tables that operators can query, with the type of each column.
//
// The daemon uses the types to compare values in "where" and "sort"; auburnctl uses them to write
// JSON.
#pragma once

#include <optional>
#include <string_view>
#include <vector>

namespace auburn {

enum class TableId {
    Classes,
    Services,
    BackendServers,
    Organisations,
    Callers,
    Load,
    Daemons,
    FailureDomains,
    Config,
    History,
};

enum class ColumnType { Text, Integer, Boolean, Duration };

struct Column
{
    std::string_view name;
    ColumnType type = ColumnType::Text;
};

// Name in the command language, for example "classes".
std::string_view tableName(TableId table);
std::optional<TableId> tableFromName(std::string_view name);

// All names separated by ", ", for messages.
std::string_view tableNames();

const std::vector<Column> &tableColumns(TableId table);

} // namespace auburn
