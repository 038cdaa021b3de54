#include "cluster.h"

#include "auburn/core/hash.h"
#include "auburn/core/ids.h"
#include "auburn/core/lasterror.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <array>
#include <filesystem>
#include <thread>
#include <unistd.h>
#include <zmq.h>

namespace auburn::testing {

namespace {

constexpr std::chrono::seconds kStartTimeout{ 20 };
constexpr std::chrono::seconds kCtlTimeout{ 60 };
constexpr std::chrono::milliseconds kPollInterval{ 20 };

std::string toJson(const QJsonObject &object)
{
    return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

// A part of 127.0.0.0/8 that no concurrent test program uses, taken from the process id.
std::string loopbackNetwork()
{
    const int pid = getpid();
    return "127." + std::to_string(1 + (pid >> 8) % 250) + "." + std::to_string(pid & 0xff) + ".";
}

// A replaced VM gets a new name.
std::string idOf(const DaemonSlot &slot, unsigned generation)
{
    return generation > 1 ? slot.id + "-" + std::to_string(generation) : slot.id;
}

bool appendConfigRecord(const std::string &logAddress, const proto::ConfigRecord &record)
{
    const HttpAnswer answer = httpCall({ .method = "POST",
                                         .address = logAddress,
                                         .target = "/v1/streams/config/records",
                                         .headers = {},
                                         .body = record.SerializeAsString() });
    if (answer.status != 200)
        setLastError("cannot seed the configuration: " + answer.error + answer.body);
    return answer.status == 200;
}

} // namespace

std::unique_ptr<Cluster> Cluster::start(ClusterOptions options)
{
    std::unique_ptr<Cluster> cluster(new Cluster(std::move(options)));
    if (!cluster->startPlatform() || !cluster->startBackendServers())
        return nullptr;
    cluster->planDaemons();
    if (!cluster->seedConfiguration())
        return nullptr;
    for (DaemonSlot &slot : cluster->daemons_) {
        if (!cluster->startDaemon(slot))
            return nullptr;
    }
    for (const DaemonSlot &slot : cluster->daemons_) {
        if (!cluster->waitReady(slot)) {
            setLastError("daemon " + slot.id + " is not ready:\n" + slot.process->output());
            return nullptr;
        }
    }
    return cluster;
}

Cluster::Cluster(ClusterOptions options)
    : options_(std::move(options))
    , network_(loopbackNetwork())
    , fleet_(makeKeys())
{
    operators_["alice"] = makeKeys();
    operators_["bob"] = makeKeys();
    if (options_.folder.empty()) {
        options_.folder = std::filesystem::temp_directory_path() / ("auburn-" + makeShortId());
        ownsFolder_ = true;
    }
    std::filesystem::create_directories(options_.folder);
}

Cluster::~Cluster()
{
    daemons_.clear();
    backendServers_.clear();
    log_.reset();
    list_.reset();
    const char *keep = std::getenv("AUBURN_KEEP_LOGS");
    if (ownsFolder_ && !keep)
        std::filesystem::remove_all(options_.folder);
}

Cluster::Keys Cluster::makeKeys()
{
    std::array<char, 41> publicKey{};
    std::array<char, 41> secretKey{};
    zmq_curve_keypair(publicKey.data(), secretKey.data());
    return Keys{ .publicKey = publicKey.data(), .secretKey = secretKey.data() };
}

std::unique_ptr<ChildProcess> Cluster::startStandin(const std::string &program,
                                                    const std::string &name,
                                                    std::vector<std::string> arguments)
{
    return ChildProcess::start({ .name = name,
                                 .program = program,
                                 .arguments = std::move(arguments),
                                 .environment = {},
                                 .logFolder = options_.folder });
}

bool Cluster::startPlatform()
{
    std::vector<std::string> logArguments{ "--listen", network_ + "250:0" };
    logArguments.insert(logArguments.end(), options_.logArguments.begin(),
                        options_.logArguments.end());
    log_ = startStandin("standin_log", "log", logArguments);
    list_ = startStandin("standin_list", "list", { "--listen", network_ + "250:0" });
    if (!log_ || !list_)
        return false;
    const auto logLines = log_->waitForLines("listening ", 1, kStartTimeout);
    const auto listLines = list_->waitForLines("listening ", 1, kStartTimeout);
    if (logLines.empty() || listLines.empty()) {
        setLastError("platform stand-ins did not start: " + log_->output() + list_->output());
        return false;
    }
    logAddress_ = logLines.front();
    listAddress_ = listLines.front();
    return true;
}

bool Cluster::startBackendServers()
{
    for (const FailureDomainSpec &failureDomain : options_.failureDomains) {
        const unsigned perProcess = options_.separateEngines ? 1 : failureDomain.poolBackendServers;
        for (unsigned first = 0; first < failureDomain.poolBackendServers; first += perProcess) {
            if (!startBackendServerProcess("standin_engine", "chat-pool", failureDomain, first,
                                           perProcess))
                return false;
        }
        if (failureDomain.deskBackendServers > 0
            && !startBackendServerProcess("standin_engine", "chat-desk", failureDomain, 0,
                                          failureDomain.deskBackendServers))
            return false;
        if (failureDomain.plainBackendServers > 0
            && !startBackendServerProcess("standin_service", "inventory", failureDomain, 0,
                                          failureDomain.plainBackendServers))
            return false;
    }
    return true;
}

bool Cluster::startBackendServerProcess(const std::string &program, const std::string &service,
                                        const FailureDomainSpec &failureDomain, unsigned first,
                                        unsigned count)
{
    std::vector<std::string> arguments{ "--listen", network_ + "240:0", "--count",
                                        std::to_string(count) };
    if (program == "standin_engine") {
        arguments.insert(arguments.end(), { "--slots", std::to_string(options_.engineSlots) });
        arguments.insert(arguments.end(), options_.engineArguments.begin(),
                         options_.engineArguments.end());
    }
    const std::string base = service + "-" + failureDomain.name + "-";
    const std::shared_ptr<ChildProcess> process = startStandin(
            program, base + std::to_string(first), arguments);
    if (!process)
        return false;
    const auto lines = process->waitForLines("listening ", count, kStartTimeout);
    if (lines.size() < count) {
        setLastError(program + " did not start: " + process->output());
        return false;
    }
    for (unsigned i = 0; i < count; ++i)
        backendServers_.push_back(BackendServerSlot{ .name = base + std::to_string(first + i),
                                                     .service = service,
                                                     .failureDomain = failureDomain.name,
                                                     .address = lines[i],
                                                     .process = process });
    return true;
}

void Cluster::planDaemons()
{
    unsigned host = 1;
    for (const FailureDomainSpec &failureDomain : options_.failureDomains) {
        for (unsigned i = 0; i < failureDomain.daemons; ++i) {
            DaemonSlot slot;
            slot.id = failureDomain.name + "-d" + std::to_string(i);
            slot.failureDomain = failureDomain.name;
            slot.region = failureDomain.region;
            slot.address = network_ + std::to_string(host++);
            daemons_.push_back(std::move(slot));
        }
    }
}

std::vector<CallerSpec> Cluster::standardCallers()
{
    return { { "token-interactive", "acme", "interactive" },
             { "token-standard", "globex", "standard" },
             { "token-batch", "initech", "batch" } };
}

std::vector<Item> Cluster::configuration() const
{
    using std::chrono::milliseconds;
    std::vector<Item> items;
    items.push_back({ Service{ .name = "chat-pool" } });
    items.push_back({ Service{ .name = "chat-desk" } });
    items.push_back({ Service{ .name = "inventory", .kind = ServiceKind::Plain } });
    items.push_back({ RequestClass{ .name = "interactive", .tier = 0 } });
    items.push_back({ RequestClass{
            .name = "standard", .tier = 2, .targetFirstToken = milliseconds(2500) } });
    items.push_back({ RequestClass{ .name = "batch",
                                    .tier = 7,
                                    .targetFirstToken = milliseconds(30000),
                                    .targetTokenGap = milliseconds(200) } });
    for (const CallerSpec &caller : standardCallers()) {
        items.push_back({ Organisation{ .name = caller.organisation } });
        items.push_back({ Caller{ .name = caller.organisation + "-desk",
                                  .organisation = caller.organisation,
                                  .className = caller.className,
                                  .tokenSha256 = sha256Hex(caller.token) } });
    }
    for (unsigned i = 0; i < options_.extraOrganisations; ++i) {
        const std::string name = "org-" + std::to_string(i);
        items.push_back({ Organisation{ .name = name } });
        items.push_back({ Caller{ .name = name + "-caller",
                                  .organisation = name,
                                  .className = "batch",
                                  .tokenSha256 = sha256Hex("token-" + name) } });
    }
    for (const BackendServerSlot &backendServer : backendServers_)
        items.push_back({ BackendServer{ .name = backendServer.name,
                                         .service = backendServer.service,
                                         .failureDomain = backendServer.failureDomain,
                                         .address = backendServer.address,
                                         .slots = options_.engineSlots } });
    return items;
}

// Writes the first configuration straight to the log, as changes of an operator would.
bool Cluster::seedConfiguration()
{
    // Readers ignore the record at offset 0, because revision 0 denotes the absence of an item.
    if (!appendConfigRecord(logAddress_, proto::ConfigRecord()))
        return false;
    for (const Item &item : configuration()) {
        proto::ConfigRecord record;
        proto::ConfigChange *change = record.mutable_change();
        change->set_change_id(makeRandomId());
        change->set_operator_name("seed");
        *change->mutable_item() = itemToProto(item);
        if (!appendConfigRecord(logAddress_, record))
            return false;
    }
    return true;
}

std::map<std::string, std::string> Cluster::environmentOf(const DaemonSlot &slot) const
{
    std::map<std::string, std::string> environment{
        { "AUBURN_ID",
          slot.id + (slot.generation > 1 ? "-" + std::to_string(slot.generation) : "") },
        { "AUBURN_FAILURE_DOMAIN", slot.failureDomain },
        { "AUBURN_REGION", slot.region },
        { "AUBURN_CALLER_LISTEN", slot.callerAddress() },
        { "AUBURN_STATUS_LISTEN", slot.statusAddress() },
        { "AUBURN_PEER_BIND", slot.peerEndpoint() },
        { "AUBURN_OPERATOR_BIND", slot.operatorEndpoint() },
        { "AUBURN_FLEET_PUBLIC_KEY", fleet_.publicKey },
        { "AUBURN_FLEET_SECRET_KEY", fleet_.secretKey },
        { "AUBURN_LOG_URL", "http://" + logAddress_ },
        { "AUBURN_LIST_URL", "http://" + listAddress_ },
        { "AUBURN_BALANCER_DELAY", "500ms" },
        { "AUBURN_OPERATORS",
          "alice=" + operators_.at("alice").publicKey + ",bob=" + operators_.at("bob").publicKey },
        { "AUBURN_SEEDS", daemons_.front().peerEndpoint() },
    };
    if (options_.trace) {
        environment["AUBURN_TRACE_TARGET"] = "file:" + options_.folder + "/" + slot.id + ".trace";
        environment["AUBURN_TRACE_SAMPLING"] = "1";
    }
    for (const auto &[name, value] : options_.daemonEnvironment)
        environment[name] = value;
    return environment;
}

bool Cluster::startDaemon(DaemonSlot &slot)
{
    ++slot.generation;
    const auto environment = environmentOf(slot);
    // The platform's list shows the new VM in place of the old one.
    if (slot.generation > 1)
        changeList("DELETE", idOf(slot, slot.generation - 1), {});
    const QJsonObject member{
        { "kind", "daemon" },
        { "failure_domain", QString::fromStdString(slot.failureDomain) },
        { "region", QString::fromStdString(slot.region) },
        { "address", QString::fromStdString(slot.peerEndpoint()) },
        { "state", "live" },
    };
    changeList("PUT", environment.at("AUBURN_ID"), toJson(member));
    slot.process = ChildProcess::start({ .name = slot.id + "-g" + std::to_string(slot.generation),
                                         .program = "auburnd",
                                         .arguments = {},
                                         .environment = environment,
                                         .logFolder = options_.folder });
    return slot.process != nullptr;
}

bool Cluster::waitReady(const DaemonSlot &slot, std::chrono::milliseconds timeout)
{
    return waitFor([&] { return get(slot.statusAddress(), "/readyz").status == 200; }, timeout);
}

bool Cluster::changeList(const std::string &method, const std::string &name,
                         const std::string &json) const
{
    return httpCall({ .method = method,
                      .address = listAddress_,
                      .target = "/control/members/" + name,
                      .headers = { { "Content-Type", "application/json" } },
                      .body = json })
                   .status
           == 200;
}

bool Cluster::markBackendServerLeaving(const BackendServerSlot &backendServer)
{
    const QJsonObject member{ { "kind", "backend_server" },
                              { "service", QString::fromStdString(backendServer.service) },
                              { "failure_domain",
                                QString::fromStdString(backendServer.failureDomain) },
                              { "address", QString::fromStdString(backendServer.address) },
                              { "state", "leaving" } };
    return changeList("PUT", backendServer.name, toJson(member));
}

HttpRequest Cluster::chat(const DaemonSlot &daemon, const std::string &token,
                          const std::string &prompt, unsigned maxTokens, bool stream,
                          const std::string &model) const
{
    const QJsonObject message{ { "role", "user" }, { "content", QString::fromStdString(prompt) } };
    const QJsonObject body{ { "model", QString::fromStdString(model) },
                            { "stream", stream },
                            { "max_tokens", static_cast<int>(maxTokens) },
                            { "messages", QJsonArray{ message } } };
    return HttpRequest{ .method = "POST",
                        .address = daemon.callerAddress(),
                        .target = "/v1/chat/completions",
                        .headers = { { "Authorization", "Bearer " + token },
                                     { "Content-Type", "application/json" } },
                        .body = toJson(body) };
}

std::unique_ptr<ChildProcess> Cluster::startCtl(const DaemonSlot &daemon,
                                                const std::string &command,
                                                const std::vector<std::string> &options,
                                                const std::string &operatorName) const
{
    std::vector<std::string> arguments = options;
    arguments.push_back(command);
    const Keys &keys = operators_.at(operatorName);
    return ChildProcess::start(
            { .name = "ctl-" + makeShortId(),
              .program = "auburnctl",
              .arguments = arguments,
              .environment = { { "AUBURN_CTL_ENDPOINT", daemon.operatorEndpoint() },
                               { "AUBURN_CTL_SERVER_KEY", fleet_.publicKey },
                               { "AUBURN_CTL_PUBLIC_KEY", keys.publicKey },
                               { "AUBURN_CTL_SECRET_KEY", keys.secretKey } },
              .logFolder = options_.folder });
}

ProgramResult Cluster::ctl(const DaemonSlot &daemon, const std::string &command,
                           const std::vector<std::string> &options,
                           const std::string &operatorName) const
{
    const auto process = startCtl(daemon, command, options, operatorName);
    if (!process)
        return ProgramResult{ .output = lastError() };
    const std::optional<int> exitCode = process->waitForExit(kCtlTimeout);
    return ProgramResult{ .exitCode = exitCode.value_or(-1), .output = process->output() };
}

HttpAnswer Cluster::control(const std::string &address, const std::string &json)
{
    return httpCall({ .method = "POST",
                      .address = address,
                      .target = "/control",
                      .headers = { { "Content-Type", "application/json" } },
                      .body = json,
                      .timeout = std::chrono::seconds(10) });
}

HttpAnswer Cluster::get(const std::string &address, const std::string &target)
{
    return httpCall({ .method = "GET",
                      .address = address,
                      .target = target,
                      .headers = {},
                      .body = {},
                      .timeout = std::chrono::seconds(10) });
}

bool waitFor(const std::function<bool()> &condition, std::chrono::milliseconds timeout)
{
    const auto end = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end)
            return false;
        std::this_thread::sleep_for(kPollInterval);
    }
    return true;
}

std::string makeUuid7(std::chrono::system_clock::time_point time)
{
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch());
    char timeHex[13];
    std::snprintf(timeHex, sizeof(timeHex), "%012llx", static_cast<unsigned long long>(ms.count()));
    const std::string t = timeHex;
    const std::string r = makeRandomId();
    return t.substr(0, 8) + "-" + t.substr(8) + "-7" + r.substr(0, 3) + "-8" + r.substr(3, 3) + "-"
           + r.substr(6, 12);
}

} // namespace auburn::testing
