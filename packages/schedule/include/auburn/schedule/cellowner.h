#pragma once

#include "auburn/config/configstate.h"
#include "auburn/mesh/bus.h"
#include "auburn/mesh/memberview.h"
#include "auburn/schedule/cellscheduler.h"
#include "auburn/schedule/poisonrequestguard.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <shared_mutex>
#include <string>
#include <vector>

namespace auburn {

// Handles the slot messages of requesters (daemons that forward requests of callers) for the cells
// of this daemon's failure domain, with one CellScheduler for each cell.
//
// It serves requests for any cell of the failure domain, even for one that it does not own in its
// own member view: views differ for a while after a change, and the requester decides which daemon
// it asks. Requests with the cell number kAnyCell come from other failure domains and are passed to
// the remote domain handler (SlotGateway).
class CellOwner
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;
    using ConfigSource = std::function<std::shared_ptr<const ConfigState>()>;

    struct Options
    {
        std::string selfId;
        MessageBus *bus = nullptr;
        const MemberViewSource *views = nullptr;
        ConfigSource config;
        // Returns the time of receipt of a message; tests supply their own clock.
        std::function<TimePoint()> clock = [] { return std::chrono::steady_clock::now(); };
        // Called by tick() with the loads of the cells that this daemon owns in its own view; may
        // be empty.
        std::function<void(std::vector<CellLoad>)> publishLoads;
        // Called by tick() with the revision of the configuration that all cells use from then on;
        // may be empty.
        std::function<void(std::uint64_t)> publishRevision;
        TierQueue::Options queue;
        BackendServerTable::Options backendServers;
        PoisonRequestGuard::Options poisonRequests;
    };

    // Returns null and sets lastError() if selfId, bus, views or config is missing. Registers the
    // bus handlers of SlotRequest, SlotCancel, SlotRelease and HeldSlots.
    static std::unique_ptr<CellOwner> make(Options options);

    // Handles one slot message; called directly by this daemon's own SlotClient. Thread-safe.
    void handle(const std::string &sender, const proto::Envelope &envelope);

    // Sets the receiver of the answers to this daemon's own SlotClient; call before the first
    // message.
    void setLocalHandler(MessageBus::Handler handler) { localHandler_ = std::move(handler); }
    // Sets the receiver of messages from requesters of other failure domains; call before the first
    // message.
    void setRemoteDomainHandler(MessageBus::Handler handler)
    {
        remoteDomainHandler_ = std::move(handler);
    }

    // Passes a backend server's load report, as polled by this daemon, to the cells.
    void reportLoad(const std::string &backendServer, BackendServerLoad load);

    // Applies changes of configuration and view, expires leases and publishes the revision and
    // loads; call every 50 ms.
    void tick(TimePoint now);

    // Returns the loads of all cells that this daemon currently serves, owned or not.
    std::vector<CellLoad> loads() const;

private:
    struct CellId
    {
        std::string service;
        unsigned cell = 0;
        auto operator<=>(const CellId &) const = default;
    };

    using Cell = std::shared_ptr<CellScheduler>;

    explicit CellOwner(Options options);

    void onRequest(const std::string &requester, const proto::Envelope &envelope);
    void onCancel(const std::string &requester, const proto::Envelope &envelope);
    void onRelease(const std::string &requester, const proto::Envelope &envelope);
    void onHeldSlots(const std::string &requester, const proto::Envelope &envelope);
    void send(const std::string &requester, proto::Envelope envelope);
    void sendAll(const SlotEvents &events);
    Cell findCell(const CellId &id) const;
    Cell findOrCreateCell(const CellId &id);
    std::map<CellId, Cell> cells() const;
    std::vector<BackendServerSpec> backendServersOf(const CellId &id, const ConfigState &config,
                                                    const MemberView &view) const;
    void addOwnedCells(const ConfigState &config, const MemberView &view);
    void removeUnusedCells(const ConfigState &config, const MemberView &view);
    void reconfigure(const ConfigState &config, const MemberView &view, TimePoint now);
    void publish(const MemberView &view);

    const Options options_;
    PoisonRequestGuard poisonRequestGuard_;
    MessageBus::Handler localHandler_;
    MessageBus::Handler remoteDomainHandler_;
    mutable std::shared_mutex mutex_;
    std::map<CellId, Cell> cells_;
    // Configuration and view that were last applied to the cells; used only by tick().
    std::shared_ptr<const ConfigState> lastConfig_;
    std::shared_ptr<const MemberView> lastView_;
};

} // namespace auburn
