#include "cellvalue.h"

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

std::optional<CellValue> parseInteger(const std::string &text)
{
    std::int64_t number = 0;
    const char *const end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, number);
    if (result.ec != std::errc() || result.ptr != end)
        return std::nullopt;
    return CellValue(number);
}

std::optional<CellValue> parseBoolean(const std::string &text)
{
    if (text != "true" && text != "false")
        return std::nullopt;
    return CellValue(text == "true");
}

bool contains(const CellValue &left, const CellValue &right)
{
    return cellText(left).find(cellText(right)) != std::string::npos;
}

} // namespace

std::string cellText(const CellValue &value)
{
    return std::visit(ToText{}, value);
}

std::optional<CellValue> parseCell(ColumnType type, const std::string &text)
{
    switch (type) {
    case ColumnType::Text:
        return CellValue(text);
    case ColumnType::Integer:
        return parseInteger(text);
    case ColumnType::Boolean:
        return parseBoolean(text);
    case ColumnType::Duration:
        if (const auto duration = parseDuration(text))
            return CellValue(*duration);
        return std::nullopt;
    }
    return std::nullopt;
}

bool compareCells(const CellValue &left, Comparison comparison, const CellValue &right)
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
        return "a text";
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
