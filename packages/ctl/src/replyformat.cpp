#include "auburn/ctl/replyformat.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>
#include <vector>

namespace auburn {

namespace {

using Lines = std::vector<std::vector<std::string>>;

bool isContinuationByte(char c)
{
    return (static_cast<unsigned char>(c) & 0xC0U) == 0x80U;
}

// Number of UTF-8 code points.
std::size_t width(const std::string &text)
{
    return static_cast<std::size_t>(
            std::count_if(text.begin(), text.end(), [](char c) { return !isContinuationByte(c); }));
}

Lines linesOf(const proto::OperatorReply &reply)
{
    Lines lines;
    lines.emplace_back(reply.columns().begin(), reply.columns().end());
    for (const proto::OperatorRow &row : reply.rows()) {
        std::vector<std::string> line;
        for (const proto::OperatorCell &cell : row.cells())
            line.push_back(cell.text().empty() ? "-" : printableText(cell.text()));
        line.resize(lines.front().size());
        lines.push_back(std::move(line));
    }
    return lines;
}

QJsonValue jsonValue(const std::string &text, ColumnType type)
{
    if (type == ColumnType::Integer)
        return static_cast<qint64>(std::strtoll(text.c_str(), nullptr, 10));
    if (type == ColumnType::Boolean)
        return text == "true";
    return QString::fromStdString(text);
}

ColumnType columnType(std::optional<TableId> table, const std::string &name)
{
    if (!table)
        return ColumnType::Text;
    for (const Column &column : tableColumns(*table)) {
        if (column.name == name)
            return column.type;
    }
    return ColumnType::Text;
}

} // namespace

std::string formatChangeJson(const proto::OperatorReply &reply)
{
    const bool inForce = reply.status() == proto::OPERATOR_STATUS_OK;
    const QJsonObject object{
        { "revision", static_cast<qint64>(reply.revision()) },
        { "status", inForce ? "ok" : "not_in_force" },
        { "message", QString::fromStdString(reply.message()) },
    };
    return QJsonDocument(QJsonArray{ object }).toJson(QJsonDocument::Indented).toStdString();
}

std::string printableText(const std::string &text)
{
    std::string result = text;
    for (char &c : result) {
        if (static_cast<unsigned char>(c) < 0x20 || c == 0x7f)
            c = '?';
    }
    return result;
}

std::string formatTable(const proto::OperatorReply &reply)
{
    const Lines lines = linesOf(reply);
    std::vector<std::size_t> widths(lines.front().size(), 0);
    for (const auto &line : lines) {
        for (std::size_t i = 0; i < line.size(); ++i)
            widths[i] = std::max(widths[i], width(line[i]));
    }
    std::string out;
    for (const auto &line : lines) {
        std::string text;
        for (std::size_t i = 0; i < line.size(); ++i) {
            text += line[i];
            if (i + 1 < line.size())
                text.append(widths[i] - width(line[i]) + 2, ' ');
        }
        out += text + '\n';
    }
    return out;
}

std::string formatJson(const proto::OperatorReply &reply, std::optional<TableId> table)
{
    QJsonArray array;
    for (const proto::OperatorRow &row : reply.rows()) {
        QJsonObject object;
        const int cells = std::min(row.cells_size(), reply.columns_size());
        for (int i = 0; i < cells; ++i) {
            const std::string &name = reply.columns(i);
            object[QString::fromStdString(name)] = jsonValue(row.cells(i).text(),
                                                             columnType(table, name));
        }
        array.append(object);
    }
    return QJsonDocument(array).toJson(QJsonDocument::Indented).toStdString();
}

std::string formatCaret(const std::string &command, unsigned column)
{
    const std::size_t bytes = std::min<std::size_t>(column > 0 ? column - 1 : 0, command.size());
    const std::string indent(width(command.substr(0, bytes)), ' ');
    return printableText(command) + '\n' + indent + "^\n";
}

} // namespace auburn
