#pragma once

#include "auburn/core/log.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace auburn {

// Address of a TCP listener.
struct ListenAddress
{
    // Numeric IPv4 or IPv6 address, without brackets.
    std::string host;
    std::uint16_t port = 0;
};

// Name and key of an operator who may connect to the operator endpoint.
struct OperatorKey
{
    std::string name;
    // CURVE key in Z85, 40 characters.
    std::string publicKey;
};

// Startup settings of one daemon, read from command line flags and environment variables.
//
// VMs are diskless, so there is no settings file. All settings are validated together, so that a
// single start reports every error. Error messages never contain the value of a secret. The initial
// values of the fields are placeholders; readSettings() sets every field from settingTable().
struct Settings
{
    std::string id;
    std::string failureDomain;
    std::string region;
    // Port 0 lets the operating system choose a free port.
    ListenAddress callerListen;
    ListenAddress statusListen;
    // Endpoints of the form tcp://IP:PORT.
    std::string peerBind;
    std::string peerAdvertised;
    std::string operatorBind;
    // CURVE key pair of the fleet in Z85, 40 characters each.
    std::string fleetPublicKey;
    std::string fleetSecretKey;
    // Public keys of daemons that may connect; includes the daemon's own key.
    std::vector<std::string> acceptedFleetKeys;
    std::vector<OperatorKey> operators;
    // Platform log and membership list, of the form http://HOST:PORT.
    std::string logUrl;
    std::string listUrl;
    // Peer endpoints to contact before the membership list has been read.
    std::vector<std::string> seeds;
    // Number of worker threads that serve callers and backend servers.
    unsigned threads = 2;
    LogLevel logLevel = LogLevel::Info;
    // Destination of exported spans, see SpanSink::make; empty if spans are not exported.
    std::string traceTarget;
    // Fraction of new traces that are recorded, 0 to 1.
    double traceSampling = 0.01;
    // Maximum size of a request body, in bytes.
    std::size_t bodyLimit = 0;
    // Bytes that all connections and requests of callers may hold together; 0 for a share of the
    // memory of the VM.
    std::size_t memoryLimit = 0;
    // Maximum number of callers' connections.
    std::size_t connectionLimit = 0;
    // Time for which a stopping daemon still accepts connections, until the load balancer has
    // removed it.
    std::chrono::milliseconds balancerDelay{ 0 };
};

// Describes one setting: its flag, environment variable, default value and help text.
struct SettingInfo
{
    // Name of the flag without dashes, for example "caller-listen".
    std::string name;
    // Environment variable, for example "AUBURN_CALLER_LISTEN".
    std::string environmentName;
    // Placeholder for the value in the help text, for example "IP:PORT".
    std::string type;
    // Empty if the setting is required or is off by default.
    std::string defaultValue;
    std::string help;
    bool required = false;
    bool secret = false;
    // The value is a comma-separated list; the flag may also be repeated.
    bool list = false;
};

// Returns all settings in the order of the help text.
const std::vector<SettingInfo> &settingTable();

// Output and exit code of a program that does not start the daemon.
struct SettingsExit
{
    // 0 for --help and --version, whose text goes to standard output; 2 for invalid settings, whose
    // text goes to standard error with one line per error.
    int code = 2;
    std::string text;
};

// Returns the value of an environment variable, or nullopt if it is not set.
using EnvironmentLookup = std::function<std::optional<std::string>(const std::string &name)>;

// Reads and validates the settings. The arguments exclude the program name. A flag takes precedence
// over its environment variable.
std::variant<Settings, SettingsExit> readSettings(const std::vector<std::string> &arguments,
                                                  const EnvironmentLookup &environment);

// Looks up a variable in the environment of the process.
std::optional<std::string> processEnvironment(const std::string &name);

} // namespace auburn
