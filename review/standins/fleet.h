// Fleet is a small deployment: the store, runners in three zones and six daemons.
#pragma once

#include "platform.h"

#include <memory>
#include <string>
#include <vector>

namespace review {

// Exit codes of a script.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

// The key of the only tenant of the configuration.
constexpr const char *kApiKey = "xd9dnn2ctnfzs989anu6";

// A route of the configuration, for the host desk.example.
struct RouteOptions
{
    std::string name;
    std::string pathPrefix;
    std::string kind;
    unsigned maxAttempts = 1;
    Milliseconds timeout{ 1200 };
    std::string service = "desk";
};

class Fleet
{
public:
    struct Options
    {
        // Root of the repository and folder of the case.
        std::string root;
        std::string folder;
        std::vector<RouteOptions> routes;
        unsigned runnersPerZone = 1;
        unsigned memoryMb = 260;
        // The service consists of model engines.
        bool engines = false;
        // Options of all runners; the fleet fills in id, address, zone and service.
        Runner::Options runner;
    };

    explicit Fleet(Options options);
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    // Returns false if a part cannot start or if not all daemons are ready within 15 s.
    bool start();
    Daemons &daemons() { return *daemons_; }
    Record &record() { return record_; }
    // Number of daemons whose processes have ended by themselves.
    unsigned endedDaemons();
    // Waits until all daemons are ready again after a restart.
    bool waitReady() { return daemons_->waitReady(std::chrono::seconds(15)); }
    Store &store() { return store_; }

private:
    const Options options_;
    Record record_;
    const std::string network_;
    // Folder for settings files and logs; removed at the end.
    std::string temporaryFolder_;
    Store store_;
    std::vector<std::unique_ptr<Runner>> runners_;
    std::unique_ptr<Daemons> daemons_;
};

// Returns a request for a stream with a prompt of these parts, for example "5c1e07a2:800,b3:200".
std::string makeStreamRequest(const std::string &path, const std::string &id,
                              const std::string &promptParts);

// Returns a request to a route of the fleet.
std::string makeRequest(const std::string &method, const std::string &path, const std::string &id,
                        const std::string &body, Milliseconds deadline = Milliseconds(2500));

// True unless the environment variable TROUBLE is 0.
bool isTroubleWanted();

// Prints the result of a script and returns its exit code.
int report(int result);

} // namespace review
