#include "tablevalue.h"

#include "auburn/ctl/duration.h"

#include <charconv>

namespace auburn {

namespace {

struct ToText
{
    std::string operator()(const std::string &value) const { return value; }
    std::string operator()(std::int64_t value) const { return std::to_string(value); }
    std::string operator()(bool value) const { return value ? "true" : "false"; }
    std::string operator()(std::chrono::microseconds value) const { return formatDuration(value); }
};

std::optional<TableValue> parseInteger(const std::string &text)
{
    std::int64_t number = 0;
    const char *const end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, number);
    if (result.ec != std::errc() || result.ptr != end)
        return std::nullopt;
    return TableValue(number);
}

std::optional<TableValue> parseBoolean(const std::string &text)
{
    if (text != "true" && text != "false")
        return std::nullopt;
    return TableValue(text == "true");
}

bool contains(const TableValue &left, const TableValue &right)
{
    return valueText(left).find(valueText(right)) != std::string::npos;
}

} // namespace

std::string valueText(const TableValue &value)
{
    return std::visit(ToText{}, value);
}

std::optional<TableValue> parseTableValue(ColumnType type, const std::string &text)
{
    switch (type) {
    case ColumnType::Text:
        return TableValue(text);
    case ColumnType::Integer:
        return parseInteger(text);
    case ColumnType::Boolean:
        return parseBoolean(text);
    case ColumnType::Duration:
        if (const auto duration = parseDuration(text))
            return TableValue(*duration);
        return std::nullopt;
    }
    return std::nullopt;
}

bool compareTableValues(const TableValue &left, Comparison comparison, const TableValue &right)
{
    switch (comparison) {
    case Comparison::Equal:
        return left == right;
    case Comparison::NotEqual:
        return left != right;
    case Comparison::Less:
        return left < right;
    case Comparison::LessOrEqual:
        return left <= right;
    case Comparison::Greater:
        return left > right;
    case Comparison::GreaterOrEqual:
        return left >= right;
    case Comparison::Contains:
        return contains(left, right);
    }
    return false;
}

std::string_view columnTypeName(ColumnType type)
{
    switch (type) {
    case ColumnType::Text:
        return "text";
    case ColumnType::Integer:
        return "an integer";
    case ColumnType::Boolean:
        return "true or false";
    case ColumnType::Duration:
        return "a duration such as 26ms or 1.8s";
    }
    return "a value";
}

} // namespace auburn
