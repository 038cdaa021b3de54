#pragma once

#include "auburn/core/metrics.h"
#include "auburn/daemon/settings.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace auburn {

// Serves GET /healthz, /readyz and /metrics over HTTP.
//
// The server runs on its own thread, so that it responds even while all worker threads are busy.
class StatusServer
{
public:
    struct Options
    {
        ListenAddress listen;
        const Metrics &metrics;
        // Returns why the daemon is not ready to serve callers, or nullopt if it is ready. Called
        // on the server's thread for each request of /readyz.
        std::function<std::optional<std::string>()> notReadyReason;
    };

    // Starts serving. Returns null with lastError() set if the address cannot be bound.
    static std::unique_ptr<StatusServer> make(Options options);

    ~StatusServer();
    StatusServer(const StatusServer &) = delete;
    StatusServer &operator=(const StatusServer &) = delete;

    // Bound address with the actual port.
    ListenAddress address() const;

private:
    class Worker;
    explicit StatusServer(std::unique_ptr<Worker> worker);
    std::unique_ptr<Worker> worker_;
};

} // namespace auburn
