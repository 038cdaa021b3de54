#include "query.h"

#include <algorithm>
#include <optional>

namespace auburn {

namespace {

// Thrown and caught within this file only: carries the first error up to evaluateQuery().
struct QueryError
{
    CommandError error;
};

// A condition with its column index and its value parsed as the type of the column.
struct ResolvedCondition
{
    std::size_t column = 0;
    Comparison comparison = Comparison::Equal;
    TableValue value;

    bool matches(const TableRow &row) const
    {
        return compareTableValues(row[column], comparison, value);
    }
};

std::size_t columnIndex(TableId table, const Term &field)
{
    const std::vector<Column> &columns = tableColumns(table);
    for (std::size_t i = 0; i < columns.size(); ++i) {
        if (columns[i].name == field.text)
            return i;
    }
    std::string names;
    for (const Column &column : columns)
        names += (names.empty() ? "" : ", ") + std::string(column.name);
    throw QueryError{ { field.column,
                        "there is no field '" + field.text + "'; expected one of " + names } };
}

bool isOrdering(Comparison comparison)
{
    return comparison != Comparison::Equal && comparison != Comparison::NotEqual
           && comparison != Comparison::Contains;
}

ResolvedCondition resolveCondition(TableId table, const Condition &condition)
{
    const std::size_t index = columnIndex(table, condition.field);
    const ColumnType type = tableColumns(table)[index].type;
    if (type == ColumnType::Boolean && isOrdering(condition.comparison))
        throw QueryError{ { condition.field.column,
                            "a true/false field can only be compared with = and !=" } };
    if (type != ColumnType::Text && condition.comparison == Comparison::Contains)
        throw QueryError{ { condition.field.column, "'~' applies only to text fields" } };
    auto value = parseTableValue(type, condition.value.text);
    if (!value)
        throw QueryError{ { condition.value.column,
                            "expected " + std::string(columnTypeName(type)) } };
    return ResolvedCondition{ index, condition.comparison, std::move(*value) };
}

void sortRows(const ShowCommand &command, std::vector<TableRow> &rows)
{
    const std::size_t index = columnIndex(command.table, command.sort->field);
    const bool descending = command.sort->descending;
    std::stable_sort(rows.begin(), rows.end(), [=](const TableRow &left, const TableRow &right) {
        return descending ? right[index] < left[index] : left[index] < right[index];
    });
}

std::vector<TableRow> evaluate(const ShowCommand &command, std::vector<TableRow> rows)
{
    std::vector<ResolvedCondition> conditions;
    for (const Condition &condition : command.conditions)
        conditions.push_back(resolveCondition(command.table, condition));
    std::erase_if(rows, [&](const TableRow &row) {
        return !std::all_of(conditions.begin(), conditions.end(),
                            [&](const ResolvedCondition &item) { return item.matches(row); });
    });
    if (command.sort)
        sortRows(command, rows);
    if (command.limit && rows.size() > *command.limit)
        rows.resize(static_cast<std::size_t>(*command.limit));
    return rows;
}

} // namespace

std::variant<std::vector<TableRow>, CommandError> evaluateQuery(const ShowCommand &command,
                                                                std::vector<TableRow> rows)
{
    try {
        return evaluate(command, std::move(rows));
    } catch (const QueryError &failure) {
        return failure.error;
    }
}

} // namespace auburn
