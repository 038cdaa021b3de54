#pragma once

#include "auburn/daemon/settings.h"

#include <functional>
#include <memory>

namespace auburn {

// Creates and connects the components of one auburnd process, and shuts them down in order.
//
// The object lives on the thread of Qt's event loop, which also runs the platform clients and the
// timers. The bus, gossip and the caller and operator servers have threads of their own.
class Daemon
{
public:
    // Returns a running daemon, or null with lastError() set if an address cannot be bound or a key
    // is invalid.
    static std::unique_ptr<Daemon> make(const Settings &settings);

    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;
    ~Daemon();

    // Starts a graceful shutdown. /readyz reports "not ready" immediately, connections are still
    // accepted for Settings::balancerDelay, and then the daemon drains. Calls stopped on the thread
    // of Qt's event loop after the last request in flight has ended. Later calls have no effect.
    void stop(std::function<void()> stopped);

private:
    class Impl;
    explicit Daemon(std::unique_ptr<Impl> impl);

    std::unique_ptr<Impl> impl_;
};

} // namespace auburn
