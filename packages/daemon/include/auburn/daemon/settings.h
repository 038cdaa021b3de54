// Settings: everything that one daemon is told at start, from flags and environment variables.
//
// VMs are diskless, so there is no settings file. All settings are checked together, so that one
// start shows every mistake. Messages never contain the value of a secret.
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

struct ListenAddress
{
    // Numeric IPv4 or IPv6 address, without brackets.
    std::string host;
    std::uint16_t port = 0;
};

// An operator who may connect to the operators' endpoint.
struct OperatorKey
{
    std::string name;
    // Z85, 40 characters.
    std::string publicKey;
};

struct Settings
{
    std::string id;
    std::string failureDomain;
    std::string region;
    // Port 0 lets the system choose a free port.
    ListenAddress callerListen;
    ListenAddress statusListen;
    // tcp://IP:PORT
    std::string peerBind;
    std::string peerAdvertised;
    std::string operatorBind;
    // CURVE keys in Z85, 40 characters each.
    std::string fleetPublicKey;
    std::string fleetSecretKey;
    // Public keys of daemons that may connect; holds at least the daemon's own.
    std::vector<std::string> acceptedFleetKeys;
    std::vector<OperatorKey> operators;
    // http://HOST:PORT
    std::string logUrl;
    std::string listUrl;
    // Peer endpoints to contact before the membership list is known.
    std::vector<std::string> seeds;
    // Worker threads for callers and backend servers.
    unsigned threads = 2;
    LogLevel logLevel = LogLevel::Info;
    // Empty: traces are not exported. Otherwise see SpanSink::make.
    std::string traceTarget;
    double traceSampling = 0.01;
    std::size_t bodyLimit = 0;
    std::chrono::milliseconds balancerDelay{ 0 };
};

// One row of the table of settings.
struct SettingInfo
{
    // Flag without dashes, for example "caller-listen".
    std::string name;
    // Environment variable, for example "AUBURN_CALLER_LISTEN".
    std::string environmentName;
    // Form of the value, for example "IP:PORT".
    std::string type;
    // Empty: the setting is required or off.
    std::string defaultValue;
    std::string help;
    bool required = false;
    bool secret = false;
    // A comma-separated list; the flag can also be repeated.
    bool list = false;
};

// All settings, in the order of the help text.
const std::vector<SettingInfo> &settingTable();

// What the program does instead of starting: print text and exit.
struct SettingsExit
{
    // 0 for --help and --version (text belongs to standard output), 2 for mistakes (standard
    // error, one line each).
    int code = 2;
    std::string text;
};

using EnvironmentLookup = std::function<std::optional<std::string>(const std::string &name)>;

// Reads flags (the program name excluded) and environment variables; a flag wins over its variable.
std::variant<Settings, SettingsExit> readSettings(const std::vector<std::string> &arguments,
                                                  const EnvironmentLookup &environment);

// Environment of the process.
std::optional<std::string> processEnvironment(const std::string &name);

} // namespace auburn
