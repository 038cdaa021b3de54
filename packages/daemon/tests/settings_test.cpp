#include "auburn/daemon/settings.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <map>
#include <zmq.h>

namespace auburn {

namespace {

struct Keys
{
    Keys() { zmq_curve_keypair(publicKey.data(), secretKey.data()); }
    std::array<char, 41> publicKey{};
    std::array<char, 41> secretKey{};
};

struct Fixture
{
    Keys fleet;
    Keys alice;
    std::map<std::string, std::string> environment{
        { "AUBURN_ID", "d1" },
        { "AUBURN_FAILURE_DOMAIN", "a" },
        { "AUBURN_REGION", "north" },
        { "AUBURN_PEER_ADVERTISED", "tcp://127.0.0.1:8082" },
        { "AUBURN_FLEET_PUBLIC_KEY", fleet.publicKey.data() },
        { "AUBURN_FLEET_SECRET_KEY", fleet.secretKey.data() },
        { "AUBURN_LOG_URL", "http://127.0.0.1:9000" },
        { "AUBURN_LIST_URL", "http://127.0.0.1:9001" },
    };

    std::variant<Settings, SettingsExit> read(const std::vector<std::string> &arguments)
    {
        return readSettings(arguments,
                            [this](const std::string &name) -> std::optional<std::string> {
                                const auto found = environment.find(name);
                                if (found == environment.end())
                                    return std::nullopt;
                                return found->second;
                            });
    }

    SettingsExit readExit(const std::vector<std::string> &arguments)
    {
        const auto result = read(arguments);
        BOOST_REQUIRE(std::holds_alternative<SettingsExit>(result));
        return std::get<SettingsExit>(result);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(settings, Fixture)

// Guards against an environment variable that takes precedence over a flag, and against lost list
// entries.
BOOST_AUTO_TEST_CASE(read_flagAndEnvironmentVariable_flagTakesPrecedence)
{
    environment["AUBURN_THREADS"] = "3";
    environment["AUBURN_LOG_LEVEL"] = "error";
    const std::string aliceKey = std::string("alice=") + alice.publicKey.data();
    const auto result = read({ "--threads", "4", "--operators", aliceKey, "--seeds",
                               "tcp://127.0.0.1:1", "--seeds=tcp://127.0.0.1:2,tcp://[::1]:3",
                               "--balancer-delay", "1.5s" });
    BOOST_REQUIRE(std::holds_alternative<Settings>(result));
    const auto &settings = std::get<Settings>(result);
    BOOST_TEST(settings.threads == 4U);
    BOOST_CHECK(settings.logLevel == LogLevel::Error);
    BOOST_REQUIRE(settings.operators.size() == 1U);
    BOOST_TEST(settings.operators[0].publicKey == alice.publicKey.data());
    BOOST_TEST(settings.seeds.size() == 3U);
    BOOST_TEST(settings.balancerDelay.count() == 1500);
    BOOST_TEST(settings.bodyLimit == 4U * 1024 * 1024);
    BOOST_TEST(settings.acceptedFleetKeys.size() == 1U);
    BOOST_TEST(settings.callerListen.port == 8080);
}

// Guards against a start that reports only the first of several errors.
BOOST_AUTO_TEST_CASE(read_severalErrors_reportsAll)
{
    environment.erase("AUBURN_FAILURE_DOMAIN");
    environment["AUBURN_REGION"] = "north west";
    environment["AUBURN_LIST_URL"] = "127.0.0.1:9001";
    const SettingsExit exit = readExit({ "--caller-listen",
                                         "localhost:80",
                                         "--threads",
                                         "0",
                                         "--trace-sampling",
                                         "nan",
                                         "--log-level",
                                         "loud",
                                         "--seeds",
                                         "tcp://host:1",
                                         "--operators",
                                         "alice",
                                         "--colour",
                                         "--trace-target",
                                         "here",
                                         "--balancer-delay",
                                         "2d",
                                         "--body-limit",
                                         "1",
                                         "--threads",
                                         "2",
                                         "--status-listen",
                                         "127.0.0.1:8082",
                                         "--id" });
    BOOST_TEST(exit.code == 2);
    for (const std::string part :
         { "--failure-domain (AUBURN_FAILURE_DOMAIN) is required",
           "--region 'north west':", "--list-url '127.0.0.1:9001':",
           "--caller-listen 'localhost:80':", "--threads is given 2 times", "--threads '0,2':",
           "--trace-sampling 'nan':", "--log-level 'loud':", "--seeds 'tcp://host:1':",
           "--operators:", "unknown argument '--colour'", "--trace-target 'here':",
           "--balancer-delay '2d':", "--body-limit '1':", "--id has no value",
           "--peer-bind 'tcp://0.0.0.0:8082': uses the same address as --status-listen" })
        BOOST_TEST(exit.text.find(part) != std::string::npos, part);
}

// Guards against a memory limit that rejects single requests within the body limit.
BOOST_AUTO_TEST_CASE(read_memoryLimitBelowBodies_isRejected)
{
    environment["AUBURN_CONNECTION_LIMIT"] = "300";
    const auto accepted = read({ "--memory-limit", "50331648" });
    BOOST_REQUIRE(std::holds_alternative<Settings>(accepted));
    BOOST_TEST(std::get<Settings>(accepted).memoryLimit == 50331648U);
    BOOST_TEST(std::get<Settings>(accepted).connectionLimit == 300U);
    const SettingsExit exit = readExit({ "--memory-limit", "50331647", "--connection-limit", "0" });
    BOOST_TEST(exit.text.find("--memory-limit '50331647':") != std::string::npos);
    BOOST_TEST(exit.text.find("--connection-limit '0':") != std::string::npos);
    BOOST_TEST(std::get<Settings>(read({})).memoryLimit == 0U);
}

// Guards against secret keys in the output, including one that is given in place of a public key.
BOOST_AUTO_TEST_CASE(read_invalidKeys_doesNotPrintKeys)
{
    const std::string secret = alice.secretKey.data();
    environment["AUBURN_FLEET_PUBLIC_KEY"] = secret;
    const std::vector<std::vector<std::string>> attempts{
        { "--operators", "alice=" + secret + "x", "--accepted-fleet-keys", secret + "x" },
        { "--fleet-secret-key", secret + "x" },
        { "--fleet-secret-keys", secret },
        { "--fleet-secret-keys=" + secret },
        { "--help" },
    };
    for (const auto &arguments : attempts)
        BOOST_TEST(readExit(arguments).text.find(secret) == std::string::npos);
    BOOST_TEST(readExit({}).text.find("does not belong to --fleet-secret-key")
               != std::string::npos);
}

// Guards against a secret that is taken for the name of a flag, because it begins with a dash.
BOOST_AUTO_TEST_CASE(read_misplacedSecretBeginsWithADash_isNotPrinted)
{
    const std::string key(alice.secretKey.data());
    for (const std::string &secret : { "-" + key.substr(1), "--" + key.substr(2) })
        BOOST_TEST(readExit({ "--fleet-secret-keys", secret }).text.find(secret)
                   == std::string::npos);
}

// Guards against a setting that is missing in the help text.
BOOST_AUTO_TEST_CASE(read_helpOrVersion_exitsWithZero)
{
    const SettingsExit help = readExit({ "--help" });
    BOOST_TEST(help.code == 0);
    for (const SettingInfo &info : settingTable()) {
        BOOST_TEST(help.text.find("--" + info.name) != std::string::npos);
        BOOST_TEST(help.text.find(info.environmentName) != std::string::npos);
    }
    BOOST_TEST(readExit({ "--version" }).code == 0);
}

// Guards against an outdated table of settings in docs/operators.md.
BOOST_AUTO_TEST_CASE(settingTable_operatorsPage_listsAllSettings)
{
    std::ifstream file(AUBURN_DOCS "/operators.md");
    const std::string page(std::istreambuf_iterator<char>(file), {});
    for (const SettingInfo &info : settingTable()) {
        const std::string value = info.required               ? "required"
                                  : info.defaultValue.empty() ? ""
                                                              : '`' + info.defaultValue + '`';
        const std::string row = "| `--" + info.name + "` | `" + info.environmentName + "` | "
                                + value + " | ";
        BOOST_TEST(page.find(row) != std::string::npos, row);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn
