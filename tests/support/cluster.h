// Cluster: the whole system as separate processes on loopback addresses: platform stand-ins,
// backend servers and daemons.
//
// Each daemon gets an address of its own in 127.0.0.0/8, so that links between failure domains can
// be cut by address.
#pragma once

#include "auburn/config/configstate.h"
#include "childprocess.h"
#include "httpcaller.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace auburn::testing {

struct FailureDomainSpec
{
    std::string name;
    std::string region;
    unsigned daemons = 2;
    // Backend servers of "chat-pool" and of "chat-desk", and plain backend servers of "inventory".
    unsigned poolBackendServers = 4;
    unsigned deskBackendServers = 1;
    unsigned plainBackendServers = 1;
};

struct CallerSpec
{
    std::string token;
    std::string organisation;
    std::string className;
};

struct ClusterOptions
{
    std::vector<FailureDomainSpec> failureDomains;
    // Request slots of each engine.
    unsigned engineSlots = 8;
    // Further arguments of every engine process.
    std::vector<std::string> engineArguments;
    // Further environment of every daemon.
    std::map<std::string, std::string> daemonEnvironment;
    // Arguments of the log stand-in.
    std::vector<std::string> logArguments;
    // Organisations beside those of the standard callers, each with one caller.
    unsigned extraOrganisations = 0;
    // One process for each engine instead of one per failure domain; needed to kill a single
    // engine.
    bool separateEngines = false;
    // Folder for logs and traces; empty: a new folder below the system's temporary folder.
    std::string folder;
    bool trace = false;
};

// One daemon; it may be running or not.
struct DaemonSlot
{
    std::string id;
    std::string failureDomain;
    std::string region;
    std::string address;
    unsigned generation = 0;
    std::unique_ptr<ChildProcess> process;

    std::string callerAddress() const { return address + ":8080"; }
    std::string statusAddress() const { return address + ":8081"; }
    std::string peerEndpoint() const { return "tcp://" + address + ":8082"; }
    std::string operatorEndpoint() const { return "tcp://" + address + ":8083"; }
};

struct BackendServerSlot
{
    std::string name;
    std::string service;
    std::string failureDomain;
    // host:port
    std::string address;
    // Shared by all backend servers of one process.
    std::shared_ptr<ChildProcess> process;
};

class Cluster
{
public:
    // Starts everything and waits until all daemons are ready; null with lastError() set on
    // failure.
    static std::unique_ptr<Cluster> start(ClusterOptions options);
    ~Cluster();

    std::vector<DaemonSlot> &daemons() { return daemons_; }
    std::vector<BackendServerSlot> &backendServers() { return backendServers_; }
    const std::string &folder() const { return options_.folder; }
    const std::string &logAddress() const { return logAddress_; }
    const std::string &listAddress() const { return listAddress_; }

    // Starts a daemon in its slot, as a new VM with a new id and no state.
    bool startDaemon(DaemonSlot &slot);
    // Waits until /readyz of the daemon answers 200.
    bool waitReady(const DaemonSlot &slot,
                   std::chrono::milliseconds timeout = std::chrono::seconds(30));

    // Changes an entry of the membership list: method PUT or DELETE.
    bool changeList(const std::string &method, const std::string &name,
                    const std::string &json) const;
    // Shows a backend server as leaving in the membership list.
    bool markBackendServerLeaving(const BackendServerSlot &backendServer);

    // A chat completion through a daemon, with the token of one of the standard callers.
    HttpRequest chat(const DaemonSlot &daemon, const std::string &token, const std::string &prompt,
                     unsigned maxTokens, bool stream = false,
                     const std::string &model = "chat-pool") const;
    // Runs auburnctl as operator "alice" (or another known one) against a daemon.
    ProgramResult ctl(const DaemonSlot &daemon, const std::string &command,
                      const std::vector<std::string> &options = {},
                      const std::string &operatorName = "alice") const;

    // Starts auburnctl without waiting for its end.
    std::unique_ptr<ChildProcess> startCtl(const DaemonSlot &daemon, const std::string &command,
                                           const std::vector<std::string> &options = {},
                                           const std::string &operatorName = "alice") const;

    // Posts JSON to the control interface of a stand-in.
    static HttpAnswer control(const std::string &address, const std::string &json);
    static HttpAnswer get(const std::string &address, const std::string &target);

    // Standard callers: one per class, tokens "token-interactive", "token-standard", "token-batch".
    static std::vector<CallerSpec> standardCallers();

private:
    explicit Cluster(ClusterOptions options);
    bool startPlatform();
    bool startBackendServers();
    bool startBackendServerProcess(const std::string &program, const std::string &service,
                                   const FailureDomainSpec &failureDomain, unsigned first,
                                   unsigned count);
    void planDaemons();
    std::vector<Item> configuration() const;
    bool seedConfiguration();
    std::map<std::string, std::string> environmentOf(const DaemonSlot &slot) const;
    std::unique_ptr<ChildProcess> startStandin(const std::string &program, const std::string &name,
                                               std::vector<std::string> arguments);

    struct Keys
    {
        std::string publicKey;
        std::string secretKey;
    };
    static Keys makeKeys();

    ClusterOptions options_;
    std::string network_;
    Keys fleet_;
    std::map<std::string, Keys> operators_;
    std::string logAddress_;
    std::string listAddress_;
    std::unique_ptr<ChildProcess> log_;
    std::unique_ptr<ChildProcess> list_;
    std::vector<BackendServerSlot> backendServers_;
    std::vector<DaemonSlot> daemons_;
    bool ownsFolder_ = false;
};

// Polls until the condition holds; false after the timeout.
bool waitFor(const std::function<bool()> &condition,
             std::chrono::milliseconds timeout = std::chrono::seconds(30));

// A UUID version 7 with the current time, for Idempotency-Key.
std::string makeUuid7(
        std::chrono::system_clock::time_point time = std::chrono::system_clock::now());

} // namespace auburn::testing
