// Daemon: all parts of one auburnd process, wired together.
//
// Threads: this object lives on the thread of Qt's event loop, which runs the platform clients and
// the timers; the bus, gossip, callers' and operators' sides have threads of their own.
#pragma once

#include "auburn/daemon/settings.h"

#include <functional>
#include <memory>

namespace auburn {

class Daemon
{
public:
    // A running daemon; null with lastError() set if an address cannot be bound or a key is wrong.
    static std::unique_ptr<Daemon> make(const Settings &settings);

    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;
    ~Daemon();

    // Begins the graceful shutdown: not ready at once, still accepting for the balancer delay, then
    // draining. Calls stopped, on the thread of Qt's event loop, when the last request in flight
    // has ended. Later calls have no effect.
    void stop(std::function<void()> stopped);

private:
    class Impl;
    explicit Daemon(std::unique_ptr<Impl> impl);

    std::unique_ptr<Impl> impl_;
};

} // namespace auburn
