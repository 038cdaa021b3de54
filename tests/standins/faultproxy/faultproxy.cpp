#include "faultproxy.h"

#include "auburn/core/lasterror.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>

namespace auburn::standins {

namespace {

using Routes = std::vector<std::shared_ptr<Route>>;

struct BadRequest
{
    std::string reason;
};

// What one control request asks for.
struct ControlOrder
{
    Faults faults;
    bool close = false;
    bool reset = false;
    bool silence = false;
};

ControlReply failure(unsigned status, const std::string &reason)
{
    const QJsonObject object{ { "error", QString::fromStdString(reason) } };
    return { status, QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString() };
}

QString cutText(const Faults &faults)
{
    if (faults.cutToTarget && faults.cutToClient)
        return QStringLiteral("both");
    if (faults.cutToTarget)
        return QStringLiteral("to_target");
    return faults.cutToClient ? QStringLiteral("to_client") : QStringLiteral("none");
}

qint64 number(std::uint64_t value)
{
    return static_cast<qint64>(value);
}

QJsonObject describe(Route &route)
{
    const RouteState &state = route.state();
    return {
        { "name", QString::fromStdString(route.name()) },
        { "listen", QString::fromStdString(endpointText(route.listenEndpoint())) },
        { "target", QString::fromStdString(endpointText(state.target)) },
        { "connections", number(route.openConnections()) },
        { "silent", number(route.silentConnections()) },
        { "accepted", number(state.accepted) },
        { "bytes_to_target", number(state.toTargetBytes) },
        { "bytes_to_client", number(state.toClientBytes) },
        { "dropped_answers", number(state.droppedAnswers) },
        { "delay_ms", static_cast<qint64>(state.faults.delay.count()) },
        { "bandwidth", number(state.faults.bandwidth) },
        { "cut", cutText(state.faults) },
        { "refuse", state.faults.refuse },
        { "drop_answers", static_cast<qint64>(state.faults.dropAnswers) },
    };
}

ControlReply describeAll(const Routes &routes)
{
    QJsonArray array;
    for (const auto &route : routes)
        array.append(describe(*route));
    const QJsonObject object{ { "routes", array } };
    return { 200, QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString() };
}

QJsonObject parseObject(const std::string &body)
{
    const QJsonDocument document = QJsonDocument::fromJson(QByteArray::fromStdString(body));
    if (!document.isObject())
        throw BadRequest{ "expected a JSON object" };
    return document.object();
}

bool boolean(const QString &key, const QJsonValue &value)
{
    if (!value.isBool())
        throw BadRequest{ key.toStdString() + ": expected true or false" };
    return value.toBool();
}

std::uint64_t count(const QString &key, const QJsonValue &value)
{
    const double given = value.toDouble(-1);
    // Far above any useful delay, rate or count, and exact in a double.
    constexpr double kLargest = 1e12;
    if (given < 0 || given > kLargest)
        throw BadRequest{ key.toStdString() + ": expected a number from 0" };
    return static_cast<std::uint64_t>(given);
}

void setCut(Faults &faults, const QString &value)
{
    const bool both = value == QStringLiteral("both");
    const bool toTarget = value == QStringLiteral("to_target");
    const bool toClient = value == QStringLiteral("to_client");
    if (!both && !toTarget && !toClient && value != QStringLiteral("none"))
        throw BadRequest{ "cut: expected none, both, to_target or to_client" };
    faults.cutToTarget = both || toTarget;
    faults.cutToClient = both || toClient;
}

void setDropThen(Faults &faults, const QString &value)
{
    if (value != QStringLiteral("close") && value != QStringLiteral("silent"))
        throw BadRequest{ "drop_then: expected close or silent" };
    faults.dropThenSilent = value == QStringLiteral("silent");
}

void applyMember(ControlOrder &order, const QString &key, const QJsonValue &value)
{
    if (key == QStringLiteral("delay_ms"))
        order.faults.delay = std::chrono::milliseconds(count(key, value));
    else if (key == QStringLiteral("bandwidth"))
        order.faults.bandwidth = count(key, value);
    else if (key == QStringLiteral("cut"))
        setCut(order.faults, value.toString());
    else if (key == QStringLiteral("refuse"))
        order.faults.refuse = boolean(key, value);
    else if (key == QStringLiteral("drop_answers"))
        order.faults.dropAnswers = static_cast<unsigned>(count(key, value));
    else if (key == QStringLiteral("drop_then"))
        setDropThen(order.faults, value.toString());
    else if (key == QStringLiteral("close"))
        order.close = boolean(key, value);
    else if (key == QStringLiteral("reset"))
        order.reset = boolean(key, value);
    else if (key == QStringLiteral("silence"))
        order.silence = boolean(key, value);
    else if (key != QStringLiteral("match") && key != QStringLiteral("reset_faults"))
        throw BadRequest{ "unknown member '" + key.toStdString() + "'" };
}

ControlOrder orderFor(const QJsonObject &object, const Faults &current)
{
    ControlOrder order;
    const QJsonValue resetFaults = object["reset_faults"];
    if (resetFaults.isUndefined() || !boolean(QStringLiteral("reset_faults"), resetFaults))
        order.faults = current;
    for (auto member = object.begin(); member != object.end(); ++member)
        applyMember(order, member.key(), member.value());
    return order;
}

void applyOrder(const ControlOrder &order, Route &route)
{
    if (order.silence)
        route.silenceConnections();
    if (order.close || order.reset)
        route.closeConnections(order.reset);
    route.setFaults(order.faults);
}

} // namespace

std::shared_ptr<Route> FaultProxy::addRoute(const std::string &text)
{
    auto options = parseRoute(text, routes_.size());
    if (!options)
        return nullptr;
    const bool taken = std::any_of(routes_.begin(), routes_.end(), [&](const auto &route) {
        return route->name() == options->name;
    });
    if (taken) {
        setLastError("there is already a route '" + options->name + "'");
        return nullptr;
    }
    auto route = Route::make(context_, std::move(*options));
    if (route)
        routes_.push_back(route);
    return route;
}

ControlReply FaultProxy::handle(const std::string &method, const std::string &path,
                                const std::string &body)
{
    try {
        if (method == "GET" && path == "/routes")
            return describeAll(routes_);
        if (method == "POST" && path == "/routes")
            return add(body);
        if (method == "POST" && path == "/control")
            return control(body);
    } catch (const BadRequest &error) {
        return failure(400, error.reason);
    }
    return failure(404, "no such resource");
}

ControlReply FaultProxy::control(const std::string &body)
{
    const QJsonObject object = parseObject(body);
    const std::string selector = object["match"].toString().toStdString();
    Routes matched;
    std::copy_if(routes_.begin(), routes_.end(), std::back_inserter(matched),
                 [&](const auto &route) { return route->matches(selector); });
    std::vector<ControlOrder> orders;
    for (const auto &route : matched)
        orders.push_back(orderFor(object, route->state().faults));
    if (matched.empty())
        return failure(404, "no route matches '" + selector + "'");
    for (std::size_t i = 0; i < matched.size(); ++i)
        applyOrder(orders[i], *matched[i]);
    return describeAll(matched);
}

ControlReply FaultProxy::add(const std::string &body)
{
    const QJsonObject object = parseObject(body);
    const auto route = addRoute(object["route"].toString().toStdString());
    return route ? describeAll({ route }) : failure(400, lastError());
}

} // namespace auburn::standins
