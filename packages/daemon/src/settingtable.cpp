#include "auburn/daemon/settings.h"

#include <algorithm>

namespace auburn {

namespace {

// Compile-time form of SettingInfo.
struct SettingRow
{
    const char *name;
    const char *type;
    const char *defaultValue;
    const char *help;
    bool required = false;
    bool secret = false;
    bool list = false;
};

// Named values for the boolean members of the rows below.
constexpr bool kRequired = true;
constexpr bool kSecret = true;
constexpr bool kList = true;

// The defaults of body-limit and balancer-delay come from docs/design.md, sections 4 and 2.7.
constexpr SettingRow kSettingRows[] = {
    { "id", "NAME", "", "Name of this daemon, unique in the fleet.", kRequired },
    { "failure-domain", "NAME", "", "Failure domain (zone) of this VM.", kRequired },
    { "region", "NAME", "", "Region of the failure domain.", kRequired },
    { "caller-listen", "IP:PORT", "0.0.0.0:8080", "Address for callers' HTTP requests." },
    { "status-listen", "IP:PORT", "127.0.0.1:8081", "Address of /healthz, /readyz and /metrics." },
    { "peer-bind", "tcp://IP:PORT", "tcp://0.0.0.0:8082", "Endpoint for other daemons." },
    { "peer-advertised", "tcp://IP:PORT", "",
      "Endpoint that other daemons connect to; the value of peer-bind if that is a specific "
      "address." },
    { "operator-bind", "tcp://IP:PORT", "tcp://127.0.0.1:8083", "Endpoint for auburnctl." },
    { "fleet-public-key", "Z85", "", "Public CURVE key that all daemons share.", kRequired },
    { "fleet-secret-key", "Z85", "",
      "Secret CURVE key that all daemons share; prefer the environment variable, which other users "
      "cannot see.",
      kRequired, kSecret },
    { "accepted-fleet-keys", "Z85,...", "",
      "Further public keys that peers may use, for key rotation.", false, false, kList },
    { "operators", "NAME=Z85,...", "",
      "Operators and their public keys; nobody can connect if empty.", false, false, kList },
    { "log-url", "http://HOST:PORT", "", "Platform log.", kRequired },
    { "list-url", "http://HOST:PORT", "", "Platform membership list.", kRequired },
    { "seeds", "tcp://IP:PORT,...", "",
      "Peer endpoints to contact first; the membership list adds more.", false, false, kList },
    { "threads", "COUNT", "2", "Worker threads for callers and backend servers, 1 to 64." },
    { "log-level", "debug|info|warning|error", "info", "Least severe level that is logged." },
    { "trace-target", "file:PATH|http://HOST:PORT/PATH", "",
      "Destination of exported spans (OTLP JSON); nothing is exported if empty." },
    { "trace-sampling", "SHARE", "0.01",
      "Share of new traces that are recorded, 0 to 1; a caller's traceparent takes precedence." },
    { "body-limit", "BYTES", "4194304", "Largest request body, 1 KiB to 64 MiB." },
    { "memory-limit", "BYTES", "0",
      "Memory of all callers' connections and requests, 16 MiB to 1 TiB and at least 12 times the "
      "body limit; 0 selects 40% of the VM's memory." },
    { "connection-limit", "COUNT", "8192",
      "Connections of callers, 16 to 1048576; at most one for each 16 KiB of the memory limit." },
    { "balancer-delay", "DURATION", "3s",
      "Time for which a stopping daemon still accepts connections, up to 5m." },
};

std::string environmentVariableName(std::string name)
{
    std::replace(name.begin(), name.end(), '-', '_');
    std::transform(name.begin(), name.end(), name.begin(),
                   [](char c) { return c >= 'a' && c <= 'z' ? static_cast<char>(c - 32) : c; });
    return "AUBURN_" + name;
}

SettingInfo makeSettingInfo(const SettingRow &row)
{
    return SettingInfo{ .name = row.name,
                        .environmentName = environmentVariableName(row.name),
                        .type = row.type,
                        .defaultValue = row.defaultValue,
                        .help = row.help,
                        .required = row.required,
                        .secret = row.secret,
                        .list = row.list };
}

std::vector<SettingInfo> makeTable()
{
    std::vector<SettingInfo> table;
    for (const SettingRow &row : kSettingRows)
        table.push_back(makeSettingInfo(row));
    return table;
}

} // namespace

const std::vector<SettingInfo> &settingTable()
{
    static const std::vector<SettingInfo> table = makeTable();
    return table;
}

} // namespace auburn
