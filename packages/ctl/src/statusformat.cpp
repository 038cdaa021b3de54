#include "auburn/ctl/statusformat.h"

#include "auburn/ctl/duration.h"
#include "auburn/ctl/replyformat.h"

#include <QByteArray>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QString>

#include <chrono>
#include <cmath>
#include <utility>
#include <vector>

namespace auburn {

namespace {

using Row = std::vector<std::string>;

QJsonValue member(const QJsonObject &object, const char *name)
{
    return object.value(QLatin1String(name));
}

// The text of a value; empty for one that is missing.
std::string text(const QJsonValue &value)
{
    if (value.isString())
        return value.toString().toStdString();
    if (value.isBool())
        return value.toBool() ? "yes" : "no";
    if (!value.isDouble())
        return {};
    const double number = value.toDouble();
    constexpr double kMaxInteger = 9223372036854775807.0;
    if (std::abs(number) >= kMaxInteger)
        return QString::number(number, 'f', 0).toStdString();
    if (number == std::floor(number))
        return std::to_string(value.toInteger());
    return QString::number(number, 'f', 2).toStdString();
}

std::string text(const QJsonObject &object, const char *name)
{
    return text(member(object, name));
}

// The text of a time in milliseconds.
std::string duration(const QJsonValue &value)
{
    // Longer times are shown as numbers.
    constexpr double kMaxMs = 1e9;
    const double milliseconds = value.toDouble(-1);
    if (milliseconds < 0 || milliseconds > kMaxMs)
        return text(value);
    const std::chrono::duration<double, std::milli> time(milliseconds);
    return formatDuration(std::chrono::round<std::chrono::microseconds>(time));
}

std::string duration(const QJsonObject &object, const char *name)
{
    return duration(member(object, name));
}

std::string table(const Row &columns, const std::vector<Row> &rows)
{
    proto::OperatorReply reply;
    for (const std::string &column : columns)
        reply.add_columns(column);
    for (const Row &row : rows) {
        proto::OperatorRow *line = reply.add_rows();
        for (const std::string &cell : row)
            line->add_cells()->set_text(cell);
    }
    return formatTable(reply);
}

// A table with one row for each object of the array.
template<typename MakeRow>
std::string table(const Row &columns, const QJsonValue &array, const MakeRow &makeRow)
{
    std::vector<Row> rows;
    const QJsonArray entries = array.toArray();
    for (const auto &entry : entries)
        rows.push_back(makeRow(entry.toObject()));
    return table(columns, rows);
}

Row orderRow(const QJsonObject &group)
{
    return { text(group, "service"), text(group, "failure_domain"), text(group, "kind"),
             text(group, "listed"),  text(group, "ordered"),        text(group, "reason"),
             text(group, "result"),  duration(group, "age_ms") };
}

std::string formatDuties(const QJsonObject &duties)
{
    const QJsonObject holder = member(duties, "holder").toObject();
    std::string out = table(
            { "vm", "is_holder", "holder", "token", "renewal", "released", "renewal_age" },
            { { text(duties, "vm"), text(duties, "is_holder"), text(holder, "address"),
                text(holder, "token"), text(holder, "renewal"), text(holder, "released"),
                duration(holder, "renewal_age_ms") } });
    if (member(duties, "usage").isObject()) {
        const QJsonObject usage = member(duties, "usage").toObject();
        const QJsonObject newest = member(usage, "newest").toObject();
        out += '\n'
               + table({ "newest_window", "age", "failures", "waiting_windows",
                         "waiting_failures" },
                       { { text(newest, "window"), duration(newest, "age_ms"),
                           text(newest, "failures"), text(usage, "waiting_windows"),
                           text(usage, "waiting_failures") } });
    }
    if (member(duties, "servers").isArray())
        out += '\n'
               + table({ "service", "failure_domain", "kind", "listed", "ordered", "reason",
                         "result", "order_age" },
                       member(duties, "servers"), orderRow);
    return out;
}

std::string urgencyText(const QJsonObject &urgency)
{
    return text(urgency, "on_time") + "/" + text(urgency, "late");
}

std::string retryAfterText(const QJsonValue &range)
{
    const QJsonArray bounds = range.toArray();
    if (bounds.size() != 2)
        return {};
    const std::string shortest = duration(bounds[0]);
    const std::string longest = duration(bounds[1]);
    return shortest == longest ? shortest : shortest + "-" + longest;
}

// What a server is noted for: why it is excluded, or what makes it expensive.
std::string remarks(const QJsonObject &server)
{
    std::string result = text(server, "excluded");
    if (member(server, "returns_in_ms").isDouble())
        result += "(" + duration(server, "returns_in_ms") + ")";
    for (const char *name : { "avoided", "full" }) {
        if (member(server, name).toBool())
            result += (result.empty() ? "" : ",") + std::string(name);
    }
    return result;
}

Row serverRow(const QJsonObject &server)
{
    const QJsonObject cost = member(server, "cost_ms").toObject();
    return { text(server, "server"),          remarks(server),
             text(server, "slots"),           text(server, "own_requests"),
             text(server, "known_requests"),  duration(server, "report_age_ms"),
             duration(cost, "sum"),           duration(cost, "predicted"),
             text(server, "uncached_tokens"), text(server, "slowness") };
}

std::string formatExplanation(const QJsonObject &explanation)
{
    const QJsonObject outcome = member(explanation, "outcome").toObject();
    std::string out = table(
            { "service", "config_version", "urgency", "decision", "reason", "retry_after",
              "longest_wait", "blocked_part", "chosen", "predicted" },
            { { text(explanation, "service"), text(explanation, "config_version"),
                urgencyText(member(explanation, "urgency").toObject()), text(outcome, "decision"),
                text(outcome, "reason"), retryAfterText(member(outcome, "retry_after_ms")),
                duration(outcome, "longest_wait_ms"), text(outcome, "blocked_part"),
                text(explanation, "chosen"), duration(explanation, "predicted_ms") } });
    const QJsonObject organisation = member(explanation, "organisation").toObject();
    if (!organisation.isEmpty())
        out += '\n'
               + table({ "organisation", "route", "urgency" }, member(organisation, "urgencies"),
                       [&organisation](const QJsonObject &entry) {
                           return Row{ text(organisation, "name"), text(entry, "route"),
                                       urgencyText(entry) };
                       });
    return out + '\n'
           + table({ "server", "remarks", "slots", "own", "known", "report_age", "cost",
                     "predicted", "uncached_tokens", "slowness" },
                   member(explanation, "servers"), serverRow);
}

std::optional<QJsonObject> parse(StatusView view, const std::string &document)
{
    const QJsonDocument parsed = QJsonDocument::fromJson(QByteArray::fromStdString(document));
    if (!parsed.isObject())
        return std::nullopt;
    QJsonObject object = parsed.object();
    const bool isReadable = view == StatusView::Duties
                                    ? member(object, "is_holder").isBool()
                                    : member(object, "outcome").isObject()
                                              && member(object, "servers").isArray();
    return isReadable ? std::optional(std::move(object)) : std::nullopt;
}

} // namespace

std::optional<std::string> formatStatusTable(StatusView view, const std::string &document)
{
    const auto object = parse(view, document);
    if (!object)
        return std::nullopt;
    return view == StatusView::Duties ? formatDuties(*object) : formatExplanation(*object);
}

std::optional<std::string> formatStatusJson(StatusView view, const std::string &document)
{
    const auto object = parse(view, document);
    if (!object)
        return std::nullopt;
    return QJsonDocument(*object).toJson(QJsonDocument::Indented).toStdString();
}

} // namespace auburn
