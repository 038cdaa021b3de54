// LimitedPlacement places requests by another source and asks for a permit if the chosen server has
// named a limit on requests. Without a permit the request is placed on another server.
//
// Permits are granted by one daemon for each server, its permit owner, so the limit holds for all
// daemons together without any agreement between them. A daemon that cannot reach the owner sends
// nothing to the server. A server for which a permit was denied is unavailable to this daemon until
// the next one can be expected, which also sets the retry delay of callers that are refused.
#pragma once

#include "auburn/core/metrics.h"
#include "auburn/peers/peerexchange.h"
#include "auburn/peers/permitowners.h"
#include "auburn/routing/fleetsize.h"
#include "auburn/routing/placementsource.h"
#include "auburn/routing/serverlimits.h"
#include "auburn/routing/serverpermits.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace auburn::peers {

class LimitedPlacement : public routing::PlacementSource
{
public:
    using Clock = std::chrono::steady_clock;

    struct Options
    {
        std::string vm;
        std::string failureDomain;
        // Maps each failure domain to its region.
        std::map<std::string, std::string> regions;
        routing::PlacementSource *source = nullptr;
        routing::ServerDirectory *directory = nullptr;
        routing::ServerLimits *limits = nullptr;
        const routing::FleetSize *fleetSize = nullptr;
        // False while this daemon shuts down.
        std::function<bool()> isServing;
        // May be null.
        Metrics *metrics = nullptr;
        // Tests replace the clock.
        std::function<Clock::time_point()> now = [] { return Clock::now(); };
    };

    LimitedPlacement(boost::asio::io_context &io, Options options);

    // Sets the connection to the other daemons. Until then no server has a limit.
    void setExchange(PeerExchange *exchange) { exchange_ = exchange; }
    // Ignores datagrams that are not about permits.
    void handleDatagram(const proto::PeerDatagram &datagram, const std::string &sender);
    // Follows the live daemons while any server has a limit; to be called about once a second.
    void updateOwners();
    // Drops the permits of a server that restarted or was removed.
    void removeServer(const std::string &serverId);

    void place(const routing::PlacementQuery &query, std::chrono::milliseconds timeLeft,
               ChoiceHandler handler) override;
    void attemptProgressed(const routing::PlacementChoice &choice,
                           std::chrono::microseconds sinceStart) override;
    void attemptEnded(const routing::PlacementChoice &choice, bool progressed,
                      routing::AttemptOutcome outcome) override;

private:
    // A request that is being placed.
    struct Request
    {
        routing::PlacementQuery query;
        // The request cannot be placed after this time.
        Clock::time_point deadline;
        ChoiceHandler handler;
        unsigned denials = 0;
        // The choice that waits for a permit.
        routing::PlacementChoice choice;
    };
    // A request whose permit was requested from another daemon.
    struct PendingPermit
    {
        std::shared_ptr<Request> request;
        std::string owner;
        std::unique_ptr<boost::asio::steady_timer> timer;
    };

    void excludeUnavailable(routing::PlacementQuery &query) const;
    void placeRequest(const std::shared_ptr<Request> &request);
    void choiceReceived(const std::shared_ptr<Request> &request,
                        const std::optional<routing::PlacementChoice> &choice);
    void requestPermit(const std::shared_ptr<Request> &request,
                       const routing::BackendServer &server);
    void sendPermitRequest(const std::shared_ptr<Request> &request, const std::string &owner);
    void permitDecided(const std::shared_ptr<Request> &request,
                       const routing::PermitDecision &decision, const char *owner);
    void permitDenied(const std::shared_ptr<Request> &request, std::chrono::milliseconds wait);
    void handleTimeout(std::uint64_t number);
    void handlePermitRequest(const proto::PermitRequest &request, const std::string &sender);
    void handlePermitReply(const proto::PermitReply &reply, const std::string &sender);
    // Decides as the permit owner.
    routing::PermitDecision decide(const routing::BackendServer &server, int urgency);
    // Part of the fleet that this daemon sees; 0 while the size of the fleet is unknown.
    double visibleFleetShare() const;
    bool isInOwnRegion(const std::string &failureDomain) const;
    void countDecision(const char *decision);

    boost::asio::io_context &io_;
    const Options options_;
    PermitOwners owners_;
    Clock::time_point nextOwnerUpdate_;
    routing::ServerPermits permits_;
    PeerExchange *exchange_ = nullptr;
    std::uint64_t nextNumber_ = 0;
    std::unordered_map<std::uint64_t, PendingPermit> pending_;
};

// Writes a report for another daemon, with its age at the given time.
void encodeServerLimit(const routing::ServerLimitReport &report,
                       std::chrono::steady_clock::time_point now, proto::PeerServerLimit &message);
// Returns nullopt if the message cannot be a report.
std::optional<routing::ServerLimitReport> decodeServerLimit(
        const proto::PeerServerLimit &message, std::chrono::steady_clock::time_point now);

} // namespace auburn::peers
