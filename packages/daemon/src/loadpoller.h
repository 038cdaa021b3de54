#pragma once

#include "auburn/config/configstate.h"
#include "auburn/mesh/memberview.h"
#include "auburn/schedule/backendservertable.h"

#include <QNetworkAccessManager>
#include <QTimer>

#include <chrono>
#include <functional>
#include <memory>
#include <set>
#include <string>

namespace auburn {

// Polls the load reports of the engine backend servers in the cells that this daemon owns.
//
// Only the owner of a cell polls, so that a backend server receives one poll per interval
// regardless of the number of daemons. After a failed poll the last report stays valid; the first
// of consecutive failures and the recovery are logged. The object lives on the thread of Qt's event
// loop.
class LoadPoller
{
public:
    struct Options
    {
        // Returns the current configuration; null if there is none yet.
        std::function<std::shared_ptr<const ConfigState>()> config;
        const MemberViewSource *views = nullptr;
        // Called with each load report, which is read from GET http://ADDRESS/load.
        std::function<void(const std::string &backendServer, BackendServerLoad load)> report;
        // Time between two polls of a backend server.
        std::chrono::milliseconds interval{ 1000 };
        // A poll fails if no data is transferred for this long.
        std::chrono::milliseconds timeout{ 1000 };
    };

    explicit LoadPoller(Options options);

    void start();
    void stop();

private:
    void pollAll();
    void pollService(const Service &service, const ConfigState &config, const MemberView &view);
    void pollBackendServer(const BackendServer &backendServer);
    void handleReply(const std::string &backendServer, QNetworkReply &reply);
    // Logs the first of consecutive failures.
    void handleFailure(const std::string &backendServer, const std::string &reason);

    const Options options_;
    QNetworkAccessManager network_;
    QTimer timer_;
    // Names of backend servers with a poll in progress; a slow backend server is not polled twice
    // at a time.
    std::set<std::string> activePolls_;
    // Names of backend servers whose last poll failed.
    std::set<std::string> failingBackendServers_;
};

} // namespace auburn
