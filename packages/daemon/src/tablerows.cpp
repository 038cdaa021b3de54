#include "tablerows.h"

#include "auburn/core/lasterror.h"
#include "auburn/ctl/duration.h"

#include <QDateTime>

#include <numeric>

namespace auburn {

namespace {

using std::chrono::microseconds;
using Rows = std::vector<TableRow>;

std::int64_t toInteger(std::uint64_t value)
{
    return static_cast<std::int64_t>(value);
}

std::string booleanText(bool value)
{
    return value ? "true" : "false";
}

std::string kindText(ServiceKind kind)
{
    return kind == ServiceKind::Engine ? "engine" : "plain";
}

// Number of leading hexadecimal digits shown of a token hash; enough to identify it without showing
// it whole.
constexpr std::size_t kDisplayedHashDigits = 12;

std::string statusText(MemberStatus status)
{
    switch (status) {
    case MemberStatus::Starting:
        return "starting";
    case MemberStatus::Ready:
        return "ready";
    case MemberStatus::Draining:
        return "draining";
    case MemberStatus::Left:
        return "left";
    case MemberStatus::Dead:
        return "dead";
    }
    return "unknown";
}

// Visitor that formats the fields of an item as "field=value ...".
struct ItemFormatter
{
    std::string operator()(const Service &value) const
    {
        return "kind=" + kindText(value.kind)
               + " non_idempotent=" + booleanText(value.nonIdempotent)
               + " checks_fencing=" + booleanText(value.checksFencing)
               + " idle_timeout=" + formatDuration(value.idleTimeout)
               + " request_timeout=" + formatDuration(value.requestTimeout);
    }
    std::string operator()(const RequestClass &value) const
    {
        return "tier=" + std::to_string(value.tier)
               + " first_token=" + formatDuration(value.targetFirstToken)
               + " token_gap=" + formatDuration(value.targetTokenGap);
    }
    std::string operator()(const Organisation &value) const
    {
        return "max_concurrent=" + std::to_string(value.maxConcurrent)
               + " suspended=" + booleanText(value.suspended);
    }
    std::string operator()(const Caller &value) const
    {
        return "organisation=" + value.organisation + " class=" + value.className
               + " token_sha256=" + value.tokenSha256.substr(0, kDisplayedHashDigits)
               + "... revoked=" + booleanText(value.revoked);
    }
    std::string operator()(const BackendServer &value) const
    {
        return "service=" + value.service + " failure_domain=" + value.failureDomain
               + " address=" + value.address + " slots=" + std::to_string(value.slots)
               + " draining=" + booleanText(value.draining);
    }
};

// Visitor that builds the row of an item in the table of its kind.
class ItemRow
{
public:
    ItemRow(std::uint64_t revision, const MemberView *view)
        : revision_(toInteger(revision))
        , view_(view)
    {}

    TableRow operator()(const Service &value) const
    {
        return { value.name,
                 kindText(value.kind),
                 value.nonIdempotent,
                 value.checksFencing,
                 microseconds(value.idleTimeout),
                 microseconds(value.requestTimeout),
                 revision_ };
    }
    TableRow operator()(const RequestClass &value) const
    {
        return { value.name, toInteger(value.tier), microseconds(value.targetFirstToken),
                 microseconds(value.targetTokenGap), revision_ };
    }
    TableRow operator()(const Organisation &value) const
    {
        return { value.name, toInteger(value.maxConcurrent), value.suspended, revision_ };
    }
    TableRow operator()(const Caller &value) const
    {
        return { value.name,      value.organisation,
                 value.className, value.tokenSha256.substr(0, kDisplayedHashDigits),
                 value.revoked,   revision_ };
    }
    TableRow operator()(const BackendServer &value) const
    {
        const bool leaving = view_ && view_->leavingBackendServers.contains(value.name);
        return { value.name,
                 value.service,
                 value.failureDomain,
                 value.address,
                 toInteger(value.slots),
                 value.draining,
                 leaving,
                 revision_ };
    }

private:
    std::int64_t revision_;
    const MemberView *view_;
};

Rows itemRows(ItemKind kind, const ConfigState &state, const MemberView *view)
{
    Rows rows;
    for (const auto &[key, item] : state.items()) {
        if (key.kind == kind)
            rows.push_back(std::visit(ItemRow(item->revision, view), item->value));
    }
    return rows;
}

Rows configRows(const ConfigState &state)
{
    Rows rows;
    for (const auto &[key, item] : state.items())
        rows.push_back({ std::string(itemKindName(key.kind)), key.name, itemText(item->value),
                         toInteger(item->revision) });
    return rows;
}

std::int64_t totalWaiting(const std::vector<unsigned> &waiting)
{
    return std::accumulate(waiting.begin(), waiting.end(), std::int64_t{ 0 });
}

std::string waitingByTierText(const std::vector<unsigned> &waiting)
{
    std::string text;
    for (const unsigned count : waiting)
        text += (text.empty() ? "" : "/") + std::to_string(count);
    return text;
}

Rows loadRows(const MemberView &view)
{
    Rows rows;
    for (const CellLoad &cell : view.cells)
        rows.push_back({ view.failureDomain, cell.service, std::to_string(cell.cell), cell.owner,
                         toInteger(cell.freeSlots), toInteger(cell.totalSlots),
                         totalWaiting(cell.waitingByTier), waitingByTierText(cell.waitingByTier) });
    for (const FailureDomainView &failureDomain : view.failureDomains) {
        for (const FailureDomainServiceLoad &load : failureDomain.services)
            rows.push_back({ failureDomain.failureDomain, load.service, std::string(),
                             std::string(), toInteger(load.freeSlots), toInteger(load.totalSlots),
                             totalWaiting(load.waitingByTier),
                             waitingByTierText(load.waitingByTier) });
    }
    return rows;
}

TableRow daemonRow(const Member &member, const std::string &failureDomain)
{
    return { member.id,
             failureDomain,
             statusText(member.status),
             member.endpoint,
             toInteger(member.incarnation),
             toInteger(member.configRevision) };
}

Rows daemonRows(const MemberView &view)
{
    Rows rows;
    for (const Member &member : view.members)
        rows.push_back(daemonRow(member, view.failureDomain));
    for (const FailureDomainView &failureDomain : view.failureDomains) {
        for (const Member &contact : failureDomain.contacts)
            rows.push_back(daemonRow(contact, failureDomain.failureDomain));
    }
    return rows;
}

Rows failureDomainRows(const OperatorBackend &backend)
{
    Rows rows;
    for (const FailureDomainProgress &failureDomain : backend.progress())
        rows.push_back({ failureDomain.failureDomain, failureDomain.region, failureDomain.reachable,
                         toInteger(failureDomain.daemons), toInteger(failureDomain.minRevision),
                         toInteger(failureDomain.maxRevision) });
    return rows;
}

std::string timeText(std::uint64_t milliseconds)
{
    return QDateTime::fromMSecsSinceEpoch(static_cast<qint64>(milliseconds), Qt::UTC)
            .toString(Qt::ISODateWithMs)
            .toStdString();
}

TableRow historyRow(const ChangeHistoryEntry &entry)
{
    const proto::ConfigChange &change = entry.change;
    const auto item = itemFromProto(change.item());
    const std::string kind = item ? std::string(itemKindName(keyOf(item->value).kind)) : "unknown";
    const std::string value = item && !change.remove() ? itemText(item->value) : std::string();
    return { toInteger(entry.offset),
             timeText(change.time_ms()),
             change.operator_name(),
             std::string(change.remove() ? "unset" : "set"),
             kind,
             change.item().name(),
             value,
             toInteger(change.base_revision()),
             std::string(entry.accepted ? "accepted" : "rejected") };
}

Rows historyRows(const OperatorBackend &backend)
{
    Rows rows;
    for (const ChangeHistoryEntry &entry : backend.history())
        rows.push_back(historyRow(entry));
    return rows;
}

std::optional<ItemKind> itemKindOf(TableId table)
{
    switch (table) {
    case TableId::Classes:
        return ItemKind::RequestClass;
    case TableId::Services:
        return ItemKind::Service;
    case TableId::BackendServers:
        return ItemKind::BackendServer;
    case TableId::Organisations:
        return ItemKind::Organisation;
    case TableId::Callers:
        return ItemKind::Caller;
    default:
        return std::nullopt;
    }
}

} // namespace

std::string itemText(const ItemValue &value)
{
    return std::visit(ItemFormatter{}, value);
}

std::optional<std::vector<TableRow>> tableRows(TableId table, const OperatorBackend &backend)
{
    const auto state = backend.configState();
    const auto view = backend.memberView();
    const auto kind = itemKindOf(table);
    if ((kind || table == TableId::Config) && !state) {
        setLastError("this daemon has no configuration yet");
        return std::nullopt;
    }
    if (kind)
        return itemRows(*kind, *state, view.get());
    if (table == TableId::Config)
        return configRows(*state);
    if (table == TableId::FailureDomains)
        return failureDomainRows(backend);
    if (table == TableId::History)
        return historyRows(backend);
    if (!view) {
        setLastError("this daemon has no member table yet");
        return std::nullopt;
    }
    return table == TableId::Load ? loadRows(*view) : daemonRows(*view);
}

} // namespace auburn
