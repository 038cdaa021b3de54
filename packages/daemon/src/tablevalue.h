// CellValue: one typed value of a table that operators query.
#pragma once

#include "auburn/ctl/command.h"
#include "auburn/ctl/table.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace auburn {

// The alternatives are in the order of ColumnType.
using TableValue = std::variant<std::string, std::int64_t, bool, std::chrono::microseconds>;
using TableRow = std::vector<TableValue>;

// Text in a reply.
std::string valueText(const TableValue &value);

// The text as a value of the given type; nothing if it is not one.
std::optional<TableValue> parseTableValue(ColumnType type, const std::string &text);

// Whether the comparison holds between two values of one type.
bool compareTableValues(const TableValue &left, Comparison comparison, const TableValue &right);

// Form of a value of the type, for messages.
std::string_view columnTypeName(ColumnType type);

} // namespace auburn
