#include "auburn/ctl/table.h"

#include <array>

namespace auburn {

namespace {

struct Table
{
    std::string_view name;
    std::vector<Column> columns;
};

constexpr auto kText = ColumnType::Text;
constexpr auto kInteger = ColumnType::Integer;
constexpr auto kBoolean = ColumnType::Boolean;
constexpr auto kDuration = ColumnType::Duration;

// In the order of TableId.
const std::array<Table, 10> &tables()
{
    static const std::array<Table, 10> all{
        Table{ "classes",
               { { "name", kText },
                 { "tier", kInteger },
                 { "first_token", kDuration },
                 { "token_gap", kDuration },
                 { "revision", kInteger } } },
        Table{ "services",
               { { "name", kText },
                 { "kind", kText },
                 { "non_idempotent", kBoolean },
                 { "checks_fencing", kBoolean },
                 { "idle_timeout", kDuration },
                 { "request_timeout", kDuration },
                 { "revision", kInteger } } },
        Table{ "backend_servers",
               { { "name", kText },
                 { "service", kText },
                 { "failure_domain", kText },
                 { "address", kText },
                 { "slots", kInteger },
                 { "draining", kBoolean },
                 { "leaving", kBoolean },
                 { "revision", kInteger } } },
        Table{ "organisations",
               { { "name", kText },
                 { "max_concurrent", kInteger },
                 { "suspended", kBoolean },
                 { "revision", kInteger } } },
        Table{ "callers",
               { { "name", kText },
                 { "organisation", kText },
                 { "class", kText },
                 { "token_sha256", kText },
                 { "revoked", kBoolean },
                 { "revision", kInteger } } },
        Table{ "load",
               { { "failure_domain", kText },
                 { "service", kText },
                 { "cell", kText },
                 { "owner", kText },
                 { "free", kInteger },
                 { "slots", kInteger },
                 { "waiting", kInteger },
                 { "waiting_by_tier", kText } } },
        Table{ "daemons",
               { { "id", kText },
                 { "failure_domain", kText },
                 { "status", kText },
                 { "endpoint", kText },
                 { "incarnation", kInteger },
                 { "config_revision", kInteger } } },
        Table{ "failure_domains",
               { { "failure_domain", kText },
                 { "region", kText },
                 { "reachable", kBoolean },
                 { "daemons", kInteger },
                 { "min_revision", kInteger },
                 { "max_revision", kInteger } } },
        Table{ "config",
               { { "kind", kText },
                 { "name", kText },
                 { "value", kText },
                 { "revision", kInteger } } },
        Table{ "history",
               { { "revision", kInteger },
                 { "time", kText },
                 { "operator", kText },
                 { "action", kText },
                 { "kind", kText },
                 { "name", kText },
                 { "value", kText },
                 { "base", kInteger },
                 { "result", kText } } },
    };
    return all;
}

} // namespace

std::string_view tableName(TableId table)
{
    return tables()[static_cast<std::size_t>(table)].name;
}

std::optional<TableId> tableFromName(std::string_view name)
{
    for (std::size_t i = 0; i < tables().size(); ++i) {
        if (tables()[i].name == name)
            return static_cast<TableId>(i);
    }
    return std::nullopt;
}

std::string_view tableNames()
{
    return "classes, services, backend_servers, organisations, callers, load, daemons, "
           "failure_domains, config, "
           "history";
}

const std::vector<Column> &tableColumns(TableId table)
{
    return tables()[static_cast<std::size_t>(table)].columns;
}

} // namespace auburn
