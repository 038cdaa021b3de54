// CallerServer: the callers' HTTP side of the daemon.
//
// Each worker thread has its own io_context; a connection and everything that happens for it stay
// on one thread, so the request path takes no locks apart from the shared counters.
#pragma once

#include "auburn/claims/claimservice.h"
#include "auburn/config/configstate.h"
#include "auburn/core/metrics.h"
#include "auburn/relay/relaylimits.h"
#include "auburn/relay/requestobserver.h"
#include "auburn/schedule/slotsource.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace auburn {

class CallerServer
{
public:
    struct Options
    {
        // IP address to listen on.
        std::string address = "127.0.0.1";
        // 0 selects a free port, see port().
        std::uint16_t port = 0;
        unsigned threads = 2;
        RelayLimits limits;
        BackendServerLimits backendServers;
        // The current configuration; null means not ready.
        std::function<std::shared_ptr<const ConfigState>()> config;
        // Requests are refused with not_ready while this is false; an empty function means true.
        // It stays true during a drain, whose requests are still served.
        std::function<bool()> ready;
        SlotSource *slots = nullptr;
        // Null: non-idempotent requests are refused.
        ClaimService *claims = nullptr;
        // May be null.
        RequestObserver *observer = nullptr;
        // Counts connections that are closed for lack of memory; may be null.
        Metrics *metrics = nullptr;
    };

    // A listening server with running threads; null with lastError() set if an option is missing
    // or the address cannot be bound. The sources and the observer must outlive the server.
    static std::unique_ptr<CallerServer> make(Options options);

    CallerServer() = default;
    CallerServer(const CallerServer &) = delete;
    CallerServer &operator=(const CallerServer &) = delete;
    // Ends what is still in flight as failed and joins the threads.
    virtual ~CallerServer() = default;

    // The port that the server listens on.
    virtual std::uint16_t port() const = 0;
    // Stops accepting, finishes what is in flight and then calls drained once, on a worker thread.
    // Every answer sent during a drain closes its connection.
    virtual void drain(std::function<void()> drained) = 0;
    // Requests whose answer is not complete yet.
    virtual std::size_t inFlight() const = 0;
    // Open connections of callers.
    virtual std::size_t connections() const = 0;
    // Bytes that all connections and requests hold, out of RelayLimits::memoryBytes.
    virtual std::size_t heldBytes() const = 0;
    // CPU time that each worker thread has used so far.
    virtual std::vector<std::chrono::microseconds> cpuTimes() const = 0;
};

} // namespace auburn
