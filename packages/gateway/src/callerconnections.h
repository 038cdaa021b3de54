#pragma once

#include "loadshedding.h"
#include "memorybudget.h"

#include "auburn/core/metrics.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/intrusive/list.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

namespace auburn::gateway {

class CallerConnection;

struct AllConnectionsTag;
struct IdleConnectionsTag;
// Membership in the list of all connections, and in that of the idle ones.
using ConnectionHook = boost::intrusive::list_base_hook<
        boost::intrusive::tag<AllConnectionsTag>,
        boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;
using IdleConnectionHook = boost::intrusive::list_base_hook<
        boost::intrusive::tag<IdleConnectionsTag>,
        boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

// CallerConnections knows the open caller connections and closes some when memory or descriptors
// are short.
//
// While the connections hold more than kPressurePercent of the memory budget, a timer looks at them
// in rounds and closes those that hold the most and move the least. Rounds are counted instead of
// time: a process that was suspended, or that gets no CPU, must not mistake its own delay for a
// stalled caller.
class CallerConnections
{
public:
    // Shares of the memory limit in percent. Above the first, connections that are stalled are
    // closed until the second is reached. The first lies below the share that large requests may
    // use, so that stalled ones make room for others.
    static constexpr unsigned kPressurePercent = 60;
    static constexpr unsigned kRelievedPercent = 50;
    // Above this share, incomplete requests are rejected even if they make progress.
    static constexpr unsigned kEmergencyPercent = 90;
    // Shares of the connection limit in percent: above the first, stalled connections are closed
    // until the second is reached.
    static constexpr unsigned kCrowdedPercent = 90;
    static constexpr unsigned kUncrowdedPercent = 80;

    struct Options
    {
        std::shared_ptr<MemoryBudget> memory;
        std::size_t maxConnections = 0;
        // Number of open connections.
        const std::size_t *connections = nullptr;
        Metrics *metrics = nullptr;
    };

    CallerConnections(boost::asio::io_context &io, Options options);
    ~CallerConnections();
    CallerConnections(const CallerConnections &) = delete;
    CallerConnections &operator=(const CallerConnections &) = delete;

    // The connection leaves the list when it is destroyed.
    void add(CallerConnection &connection);
    // Adds the connection to the idle ones. It unlinks its IdleConnectionHook when a request
    // begins.
    void addIdle(CallerConnection &connection);
    void forEach(const std::function<void(CallerConnection &)> &action);
    // Closes the connection that has waited longest for a request. Returns false if there is none.
    bool closeLongestIdle();
    // True while the connections hold more than the pressure share.
    bool isUnderPressure() const;

private:
    std::vector<std::shared_ptr<CallerConnection>> owners();
    void scheduleRound();
    void runRound();
    bool isCrowded() const;
    void recordShed(const char *reason, std::size_t connections);

    boost::asio::steady_timer timer_;
    const Options options_;
    boost::intrusive::list<CallerConnection, boost::intrusive::base_hook<ConnectionHook>,
                           boost::intrusive::constant_time_size<false>>
            connections_;
    boost::intrusive::list<CallerConnection, boost::intrusive::base_hook<IdleConnectionHook>,
                           boost::intrusive::constant_time_size<false>>
            idleConnections_;
    bool scheduled_ = false;
    // Idle connections closed since the last log line about them.
    std::size_t unloggedIdle_ = 0;
};

} // namespace auburn::gateway
