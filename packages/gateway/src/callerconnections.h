#pragma once

#include "auburn/core/loadshedding.h"
#include "auburn/core/memorybudget.h"
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
// are short, as SheddingPolicy decides.
class CallerConnections
{
public:
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
    bool isUnderPressure() const { return policy_.isUnderPressure(); }

private:
    std::vector<std::shared_ptr<CallerConnection>> owners();
    void scheduleRound();
    void runRound();
    bool isCrowded() const { return policy_.isCrowded(*options_.connections); }

    boost::asio::steady_timer timer_;
    const Options options_;
    const SheddingPolicy policy_;
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
