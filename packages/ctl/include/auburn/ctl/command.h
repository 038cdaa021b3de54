// Command: typed syntax tree of one command of the operators' language.
//
//   show TABLE [where FIELD OP VALUE [and ...]] [sort FIELD [desc]] [limit N]
//   set KIND NAME FIELD=VALUE ... [if revision N]
//   unset KIND NAME [if revision N]
//   drain backend server NAME [if revision N]
//   undrain backend server NAME [if revision N]
//
// OP is one of = != < <= > >= ~ (contains). Columns are positions in the command in bytes, counted
// from 1.
#pragma once

#include "auburn/config/configstate.h"
#include "auburn/ctl/table.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace auburn {

// A field name or a value with its position. Values get their type from the field that they are
// compared with or assigned to.
struct Term
{
    std::string text;
    unsigned column = 0;
};

enum class Comparison { Equal, NotEqual, Less, LessOrEqual, Greater, GreaterOrEqual, Contains };

struct Condition
{
    Term field;
    Comparison comparison = Comparison::Equal;
    Term value;
};

struct SortOrder
{
    Term field;
    bool descending = false;
};

struct ShowCommand
{
    TableId table = TableId::Classes;
    // All of them must hold.
    std::vector<Condition> conditions;
    std::optional<SortOrder> sort;
    std::optional<std::uint64_t> limit;
};

struct Assignment
{
    Term field;
    Term value;
};

struct SetCommand
{
    ItemKind kind = ItemKind::Service;
    Term name;
    std::vector<Assignment> assignments;
    // Only if the item has this revision; 0: only if it does not exist.
    std::optional<std::uint64_t> ifRevision;
};

struct UnsetCommand
{
    ItemKind kind = ItemKind::Service;
    Term name;
    std::optional<std::uint64_t> ifRevision;
};

struct DrainCommand
{
    Term backendServer;
    // False for undrain.
    bool draining = true;
    std::optional<std::uint64_t> ifRevision;
};

using Command = std::variant<ShowCommand, SetCommand, UnsetCommand, DrainCommand>;

// A mistake in a command.
struct CommandError
{
    // From 1 to one past the last byte of the command.
    unsigned column = 1;
    std::string message;
};

using ParsedCommand = std::variant<Command, CommandError>;

// True for a command that only reads.
bool isQuery(const Command &command);

// Longest command that is parsed, in bytes.
constexpr std::size_t kMaxCommandLength = 16384;

} // namespace auburn
