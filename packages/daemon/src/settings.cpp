#include "auburn/daemon/settings.h"

#include "auburn/core/lasterror.h"
#include "auburn/core/tracer.h"
#include "auburn/ctl/duration.h"
#include "settingvalues.h"

#include <QHostAddress>
#include <QUrl>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdlib>
#include <set>
#include <zmq.h>

namespace auburn {

namespace {

using std::chrono::milliseconds;

constexpr const char *kVersion = "0.1.0";
constexpr std::size_t kZ85KeyLength = 40;
constexpr std::size_t kCurveKeyBytes = 32;
constexpr std::size_t kMaxNameLength = 64;
// Smallest memory limit as a multiple of the body limit.
constexpr std::size_t kMemoryBodyRatio = 12;
constexpr std::string_view kEndpointPrefix = "tcp://";

bool isValidName(std::string_view text)
{
    return !text.empty() && text.size() <= kMaxNameLength
           && text.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                     "0123456789._-")
                      == std::string_view::npos;
}

bool isValidCurveKey(const std::string &text)
{
    std::array<std::uint8_t, kCurveKeyBytes> bytes{};
    return text.size() == kZ85KeyLength && zmq_z85_decode(bytes.data(), text.c_str()) != nullptr;
}

template<typename Number>
std::optional<Number> parseNumber(std::string_view text)
{
    Number number{};
    const auto result = std::from_chars(text.data(), text.data() + text.size(), number);
    if (result.ec != std::errc() || result.ptr != text.data() + text.size())
        return std::nullopt;
    return number;
}

// Parses IP:PORT; an IPv6 address must be enclosed in brackets.
std::optional<ListenAddress> parseAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    const auto port = parseNumber<std::uint16_t>(text.substr(colon + 1));
    std::string_view host = text.substr(0, colon);
    const bool isBracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (isBracketed)
        host = host.substr(1, host.size() - 2);
    const QHostAddress address(QString::fromUtf8(host.data(), static_cast<qsizetype>(host.size())));
    const bool isV6 = address.protocol() == QAbstractSocket::IPv6Protocol;
    if (!port || address.isNull() || isV6 != isBracketed)
        return std::nullopt;
    return ListenAddress{ .host = std::string(host), .port = *port };
}

std::optional<ListenAddress> parseEndpoint(std::string_view text)
{
    if (!text.starts_with(kEndpointPrefix))
        return std::nullopt;
    return parseAddress(text.substr(kEndpointPrefix.size()));
}

bool isWildcardAddress(const ListenAddress &address)
{
    return address.host == "0.0.0.0" || address.host == "::";
}

bool isHttpUrl(const std::string &text)
{
    const QUrl url(QString::fromStdString(text), QUrl::StrictMode);
    return url.isValid() && url.scheme() == QStringLiteral("http") && !url.host().isEmpty()
           && url.port() > 0 && url.userInfo().isEmpty() && !url.hasQuery();
}

std::vector<std::string> splitList(const std::string &text)
{
    std::vector<std::string> parts;
    std::size_t start = 0;
    while (start <= text.size()) {
        const std::size_t comma = std::min(text.find(',', start), text.size());
        if (comma > start)
            parts.push_back(text.substr(start, comma - start));
        start = comma + 1;
    }
    return parts;
}

// Parses and validates the raw values of all settings, and collects every error.
class SettingsParser
{
public:
    explicit SettingsParser(SettingValues values)
        : values_(std::move(values))
        , errors_(std::move(values_.errors))
    {}

    Settings parse()
    {
        checkRequired();
        Settings settings;
        settings.id = name("id");
        settings.failureDomain = name("failure-domain");
        settings.region = name("region");
        settings.callerListen = address("caller-listen");
        settings.statusListen = address("status-listen");
        settings.peerBind = endpoint("peer-bind");
        settings.peerAdvertised = advertised();
        settings.operatorBind = endpoint("operator-bind");
        readKeys(settings);
        settings.operators = operators();
        settings.logUrl = url("log-url");
        settings.listUrl = url("list-url");
        settings.seeds = seeds();
        settings.threads = number<unsigned>("threads", 1, 64);
        settings.logLevel = logLevel();
        settings.traceTarget = traceTarget();
        settings.traceSampling = number<double>("trace-sampling", 0, 1);
        settings.bodyLimit = number<std::size_t>("body-limit", 1024, std::size_t{ 64 } << 20U);
        settings.memoryLimit = memoryLimit(settings.bodyLimit);
        settings.connectionLimit = number<std::size_t>("connection-limit", 16, 1U << 20U);
        settings.balancerDelay = duration("balancer-delay", milliseconds(0),
                                          std::chrono::minutes(5));
        checkListenerConflicts(settings);
        return settings;
    }

    const std::vector<std::string> &errors() const { return errors_; }

private:
    const std::string &text(const std::string &setting) { return values_.rawValues[setting]; }

    static const SettingInfo *findSetting(const std::string &setting)
    {
        for (const SettingInfo &candidate : settingTable()) {
            if (candidate.name == setting)
                return &candidate;
        }
        return nullptr;
    }

    // Adds an error message that quotes the value. Callers pass an empty value for keys, including
    // public ones, because a secret key may have been given in place of a public key.
    void addError(const std::string &setting, const std::string &reason, const std::string &value)
    {
        const std::string quotedValue = value.empty() ? std::string() : " '" + value + '\'';
        errors_.push_back("--" + setting + quotedValue + ": " + reason);
    }

    void checkRequired()
    {
        for (const SettingInfo &setting : settingTable()) {
            if (setting.required && text(setting.name).empty())
                errors_.push_back("--" + setting.name + " (" + setting.environmentName
                                  + ") is required");
        }
    }

    std::string name(const std::string &setting)
    {
        const std::string &value = text(setting);
        if (!value.empty() && !isValidName(value))
            addError(setting, "expected up to 64 letters, digits, '.', '_' or '-'", value);
        return value;
    }

    ListenAddress address(const std::string &setting)
    {
        const auto parsed = parseAddress(text(setting));
        if (!parsed)
            addError(setting, "expected IP:PORT", text(setting));
        return parsed.value_or(ListenAddress{});
    }

    std::string endpoint(const std::string &setting)
    {
        if (!parseEndpoint(text(setting)))
            addError(setting, "expected tcp://IP:PORT", text(setting));
        return text(setting);
    }

    std::string advertised()
    {
        const std::string &value = text("peer-advertised");
        const auto bound = parseEndpoint(text("peer-bind"));
        if (value.empty()) {
            if (bound && (isWildcardAddress(*bound) || bound->port == 0))
                addError("peer-advertised",
                         "required, because --peer-bind does not name a specific address and port",
                         value);
            return text("peer-bind");
        }
        const auto parsed = parseEndpoint(value);
        if (!parsed || isWildcardAddress(*parsed) || parsed->port == 0)
            addError("peer-advertised", "expected tcp://IP:PORT with a specific address and port",
                     value);
        return value;
    }

    std::string key(const std::string &setting)
    {
        const std::string &value = text(setting);
        if (!value.empty() && !isValidCurveKey(value))
            addError(setting, "expected a Z85 key of 40 characters", {});
        return value;
    }

    void readKeys(Settings &settings)
    {
        settings.fleetPublicKey = key("fleet-public-key");
        settings.fleetSecretKey = key("fleet-secret-key");
        if (isValidCurveKey(settings.fleetPublicKey) && isValidCurveKey(settings.fleetSecretKey)) {
            std::array<char, kZ85KeyLength + 1> derived{};
            zmq_curve_public(derived.data(), settings.fleetSecretKey.c_str());
            if (settings.fleetPublicKey != derived.data())
                addError("fleet-public-key", "does not belong to --fleet-secret-key", {});
        }
        std::set<std::string> accepted;
        if (!settings.fleetPublicKey.empty())
            accepted.insert(settings.fleetPublicKey);
        for (const std::string &value : splitList(text("accepted-fleet-keys"))) {
            if (!isValidCurveKey(value))
                addError("accepted-fleet-keys", "expected Z85 keys of 40 characters", {});
            accepted.insert(value);
        }
        settings.acceptedFleetKeys.assign(accepted.begin(), accepted.end());
    }

    std::vector<OperatorKey> operators()
    {
        std::vector<OperatorKey> result;
        std::set<std::string> names;
        std::set<std::string> keys;
        for (const std::string &entry : splitList(text("operators"))) {
            const std::size_t equals = entry.find('=');
            OperatorKey parsed{ .name = entry.substr(0, equals) };
            if (equals != std::string::npos)
                parsed.publicKey = entry.substr(equals + 1);
            if (!isValidName(parsed.name) || !isValidCurveKey(parsed.publicKey))
                addError("operators",
                         "expected NAME=Z85 in entry " + std::to_string(result.size() + 1), {});
            else if (!names.insert(parsed.name).second)
                addError("operators", "the name is given twice", parsed.name);
            else if (!keys.insert(parsed.publicKey).second)
                addError("operators", "the key is already used by another operator", parsed.name);
            result.push_back(std::move(parsed));
        }
        return result;
    }

    std::string url(const std::string &setting)
    {
        const std::string &value = text(setting);
        if (!value.empty() && !isHttpUrl(value))
            addError(setting, "expected http://HOST:PORT", value);
        return value;
    }

    std::vector<std::string> seeds()
    {
        std::vector<std::string> result = splitList(text("seeds"));
        for (const std::string &seed : result) {
            const auto parsed = parseEndpoint(seed);
            if (!parsed || parsed->port == 0 || isWildcardAddress(*parsed))
                addError("seeds", "expected tcp://IP:PORT", seed);
        }
        return result;
    }

    template<typename Number>
    Number number(const std::string &setting, Number minimum, Number maximum)
    {
        const auto parsed = parseNumber<Number>(text(setting));
        // The negated form also rejects NaN, for which every comparison is false.
        if (!parsed || !(*parsed >= minimum && *parsed <= maximum))
            addError(setting, "out of range; " + findSetting(setting)->help, text(setting));
        return parsed.value_or(minimum);
    }

    // A request may take its body twice, and large requests at most three quarters of the limit, so
    // a smaller limit could reject single requests.
    std::size_t memoryLimit(std::size_t bodyLimit)
    {
        if (text("memory-limit") == "0")
            return 0;
        constexpr std::size_t kMinimum = std::size_t{ 16 } << 20U;
        return number<std::size_t>("memory-limit", std::max(kMinimum, kMemoryBodyRatio * bodyLimit),
                                   std::size_t{ 1 } << 40U);
    }

    milliseconds duration(const std::string &setting, milliseconds minimum, milliseconds maximum)
    {
        const auto parsed = parseDuration(text(setting));
        if (!parsed || *parsed < minimum || *parsed > maximum)
            addError(setting, "expected a duration such as 3s; " + findSetting(setting)->help,
                     text(setting));
        return std::chrono::duration_cast<milliseconds>(parsed.value_or(minimum));
    }

    LogLevel logLevel()
    {
        const std::string &value = text("log-level");
        constexpr std::array<std::string_view, 4> names{ "debug", "info", "warning", "error" };
        for (std::size_t i = 0; i < names.size(); ++i) {
            if (value == names[i])
                return static_cast<LogLevel>(i);
        }
        addError("log-level", "expected debug, info, warning or error", value);
        return LogLevel::Info;
    }

    std::string traceTarget()
    {
        const std::string &value = text("trace-target");
        if (!value.empty() && !isValidTraceTarget(value))
            addError("trace-target", lastError(), value);
        return value;
    }

    // Detects two listeners on the same address, which would otherwise fail only after the first
    // one is open.
    void checkListenerConflicts(const Settings &settings)
    {
        const std::array<std::pair<const char *, ListenAddress>, 4> listeners{ {
                { "caller-listen", settings.callerListen },
                { "status-listen", settings.statusListen },
                { "peer-bind", parseEndpoint(settings.peerBind).value_or(ListenAddress{}) },
                { "operator-bind", parseEndpoint(settings.operatorBind).value_or(ListenAddress{}) },
        } };
        for (std::size_t i = 0; i < listeners.size(); ++i) {
            for (std::size_t j = 0; j < i; ++j) {
                if (addressesConflict(listeners[i].second, listeners[j].second))
                    addError(listeners[i].first,
                             std::string("uses the same address as --") + listeners[j].first,
                             text(listeners[i].first));
            }
        }
    }

    static bool addressesConflict(const ListenAddress &left, const ListenAddress &right)
    {
        const bool sameHost = left.host == right.host || isWildcardAddress(left)
                              || isWildcardAddress(right);
        return left.port == right.port && left.port != 0 && sameHost;
    }

    SettingValues values_;
    std::vector<std::string> errors_;
};

std::string helpText()
{
    std::string text =
            "Usage: auburnd [--NAME VALUE]...\n\n"
            "Each setting is a flag or an environment variable; the flag takes precedence.\n";
    for (const SettingInfo &info : settingTable()) {
        text += "\n  --" + info.name + ' ' + info.type + "  (" + info.environmentName + ")\n      "
                + info.help + '\n';
        if (info.required)
            text += "      Required.\n";
        if (!info.defaultValue.empty())
            text += "      Default: " + info.defaultValue + '\n';
    }
    return text + "\n  --help\n  --version\n";
}

SettingsExit errorExit(const std::vector<std::string> &errors)
{
    std::string text;
    for (const std::string &error : errors)
        text += "auburnd: " + error + '\n';
    return SettingsExit{ .code = 2, .text = text };
}

} // namespace

std::variant<Settings, SettingsExit> readSettings(const std::vector<std::string> &arguments,
                                                  const EnvironmentLookup &environment)
{
    SettingValues values = readSettingValues(arguments, environment);
    if (values.help)
        return SettingsExit{ .code = 0, .text = helpText() };
    if (values.version)
        return SettingsExit{ .code = 0, .text = std::string("auburnd ") + kVersion + '\n' };
    SettingsParser parser(std::move(values));
    Settings settings = parser.parse();
    if (!parser.errors().empty())
        return errorExit(parser.errors());
    return settings;
}

std::optional<std::string> processEnvironment(const std::string &name)
{
    const char *value = std::getenv(name.c_str());
    return value ? std::optional<std::string>(value) : std::nullopt;
}

} // namespace auburn
