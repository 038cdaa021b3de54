// StatusServer: GET /healthz, /readyz and /metrics over HTTP on its own thread, so that they are
// answered while the worker threads are busy.
#pragma once

#include "auburn/core/metrics.h"
#include "auburn/daemon/settings.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace auburn {

class StatusServer
{
public:
    struct Options
    {
        ListenAddress listen;
        const Metrics &metrics;
        // Why the daemon is not ready to serve callers; nothing if it is. Called on the server's
        // thread for each /readyz.
        std::function<std::optional<std::string>()> notReadyReason;
    };

    // Starts serving. Null with lastError() set if the address cannot be bound.
    static std::unique_ptr<StatusServer> make(Options options);

    ~StatusServer();
    StatusServer(const StatusServer &) = delete;
    StatusServer &operator=(const StatusServer &) = delete;

    // The bound address with its port.
    ListenAddress address() const;

private:
    class Worker;
    explicit StatusServer(std::unique_ptr<Worker> worker);
    std::unique_ptr<Worker> worker_;
};

} // namespace auburn
