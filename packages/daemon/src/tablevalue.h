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

// One typed value of a table that operators query.
//
// The alternatives are in the order of ColumnType.
using TableValue = std::variant<std::string, std::int64_t, bool, std::chrono::microseconds>;
using TableRow = std::vector<TableValue>;

// Returns the value as text, as it appears in a reply.
std::string valueText(const TableValue &value);

// Parses the text as a value of the given type. Returns nullopt if it is not one.
std::optional<TableValue> parseTableValue(ColumnType type, const std::string &text);

// Returns whether the comparison holds between two values of one type.
bool compareTableValues(const TableValue &left, Comparison comparison, const TableValue &right);

// Describes values of the type in error messages, for example "an integer".
std::string_view columnTypeName(ColumnType type);

} // namespace auburn
