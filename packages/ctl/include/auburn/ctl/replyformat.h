// Text of an operator's reply: an aligned table or JSON.
#pragma once

#include "auburn/ctl/table.h"

#include "auburn.pb.h"

#include <optional>
#include <string>

namespace auburn {

// The rows under a line of column names, columns padded to equal width. Control characters are
// replaced, so that a value cannot change the terminal.
std::string formatTable(const proto::OperatorReply &reply);

// A JSON array with one object per row. Integer and boolean columns of the table become JSON
// numbers and booleans; everything else is a string.
std::string formatJson(const proto::OperatorReply &reply, std::optional<TableId> table);

// The command with a caret under the column (counted from 1 in bytes), as two lines.
std::string formatCaret(const std::string &command, unsigned column);

} // namespace auburn
