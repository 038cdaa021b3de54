// CellOwner: serves the slot messages for the cells of this daemon's failure domain.
//
// It serves a request for any cell of the failure domain, also for one that it does not own by its
// own view: views differ for a while after a change, and the front decides whom it asks. Requests
// with the cell number kAnyCell come from other failure domains and go to the foreign handler
// (SlotGateway).
#pragma once

#include "auburn/config/configstate.h"
#include "auburn/mesh/bus.h"
#include "auburn/mesh/memberview.h"
#include "auburn/schedule/cellscheduler.h"
#include "auburn/schedule/poisonrequestguard.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <shared_mutex>
#include <string>
#include <vector>

namespace auburn {

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
        // Time of a message; tests supply their own.
        std::function<TimePoint()> clock = [] { return std::chrono::steady_clock::now(); };
        // Called by tick with the loads of the cells that this daemon owns by its own view; may be
        // empty.
        std::function<void(std::vector<CellLoad>)> publishLoads;
        TierQueue::Options queue;
        BackendServerTable::Options backendServers;
        PoisonRequestGuard::Options poisonRequests;
    };

    // Null with lastError() set if bus, views or config is missing. Sets the bus handlers of
    // SlotRequest, SlotCancel, SlotRelease and HeldSlots.
    static std::unique_ptr<CellOwner> make(Options options);

    // Handles one slot message; also the direct path for this daemon's own front. Thread-safe.
    void handle(const std::string &sender, const proto::Envelope &envelope);

    // Receives the answers to this daemon's own front; set before the first message.
    void setLocalHandler(MessageBus::Handler handler) { localHandler_ = std::move(handler); }
    // Receives the messages of fronts of other failure domains; set before the first message.
    void setForeignHandler(MessageBus::Handler handler) { foreignHandler_ = std::move(handler); }

    // A backend server's load report, as polled by this daemon.
    void reportLoad(const std::string &backendServer, BackendServerLoad load);

    // Follows configuration and views, expires leases, publishes loads; to be called every 50 ms.
    void tick(TimePoint now);

    // Loads of all cells that this daemon has served.
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

    void onRequest(const std::string &front, const proto::Envelope &envelope);
    void onCancel(const std::string &front, const proto::Envelope &envelope);
    void onRelease(const std::string &front, const proto::Envelope &envelope);
    void onHeld(const std::string &front, const proto::Envelope &envelope);
    void send(const std::string &front, proto::Envelope envelope);
    void sendAll(const SlotEvents &events);
    Cell findCell(const CellId &id) const;
    Cell cellFor(const CellId &id);
    std::map<CellId, Cell> cells() const;
    std::vector<BackendServerSpec> backendServersOf(const CellId &id, const ConfigState &config,
                                                    const MemberView &view) const;
    void addOwnedCells(const ConfigState &config, const MemberView &view);
    void dropUnusedCells(const ConfigState &config, const MemberView &view);
    void reconfigure(const ConfigState &config, const MemberView &view, TimePoint now);
    void publish(const MemberView &view);

    const Options options_;
    PoisonRequestGuard suspects_;
    MessageBus::Handler localHandler_;
    MessageBus::Handler foreignHandler_;
    mutable std::shared_mutex mutex_;
    std::map<CellId, Cell> cells_;
    // Configuration and view that the cells follow; used by tick only.
    std::shared_ptr<const ConfigState> lastConfig_;
    std::shared_ptr<const MemberView> lastView_;
};

} // namespace auburn
