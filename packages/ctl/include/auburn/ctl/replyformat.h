// Text of an operator's reply: an aligned table or JSON.
#pragma once

#include "auburn/ctl/table.h"

#include "auburn.pb.h"

#include <optional>
#include <string>

namespace auburn {

// The rows under a line of column names, columns padded to equal width; control characters
// are replaced.
std::string formatTable(const proto::OperatorReply &reply);

// A JSON array with one object per row. Integer and boolean columns of the table become JSON
// numbers and booleans; everything else is a string.
std::string formatJson(const proto::OperatorReply &reply, std::optional<TableId> table);

// A JSON array with one object for an accepted change: its revision, and whether it is in force
// everywhere as far as the operator asked.
std::string formatChangeJson(const proto::OperatorReply &reply);

// The text with control characters replaced, so that it cannot change the terminal.
std::string printableText(const std::string &text);

// The command with a caret under the column (counted from 1 in bytes), as two lines.
std::string formatCaret(const std::string &command, unsigned column);

} // namespace auburn
