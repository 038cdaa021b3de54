// LoadPoller: reads the load reports of the engines in the cells that this daemon owns.
//
// A poll that fails leaves the last report in force; the first failure of a backend server in a row
// and its end are logged. Only a cell's owner polls, so a backend server is asked once per interval
// however many daemons there are.
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

// Lives on the thread of Qt's event loop.
class LoadPoller
{
public:
    struct Options
    {
        std::function<std::shared_ptr<const ConfigState>()> config;
        const MemberViewSource *views = nullptr;
        std::function<void(const std::string &backendServer, BackendServerLoad load)> report;
        std::chrono::milliseconds interval{ 1000 };
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
    // Logs the first failure in a row.
    void handleFailure(const std::string &backendServer, const std::string &reason);

    const Options options_;
    QNetworkAccessManager network_;
    QTimer timer_;
    // Backend servers with a poll in progress; a slow backend server is not asked twice.
    std::set<std::string> activePolls_;
    // Backend servers whose last poll failed.
    std::set<std::string> failingBackendServers_;
};

} // namespace auburn
