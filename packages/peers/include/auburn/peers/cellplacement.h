// CellPlacement places requests in fleets that are too large for every daemon to know the load of
// every other one.
//
// The engines of one service in one failure domain form one or more cells. Each cell is owned by
// one daemon of that failure domain, which places all requests of the cell and therefore knows the
// load of each engine without any reports. The daemon that serves the caller sends the owner one
// datagram with the request and up to two more about the progress and the end of the attempt. A
// request goes to the cell that has its shared prompt parts; gap-sensitive streams stay in their
// own failure domain. The owner holds soft state only: a daemon that gets no reply places the
// request by its own view, and two daemons that both consider themselves the owner of a cell each
// see only half of its load.
#pragma once

#include "auburn/peers/peerexchange.h"
#include "auburn/routing/cell.h"
#include "auburn/routing/placementsource.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace auburn::peers {

class CellPlacement : public routing::PlacementSource
{
public:
    using Clock = std::chrono::steady_clock;

    struct Options
    {
        std::string vm;
        std::string failureDomain;
        std::map<std::string, std::string> regions;
        const routing::ServerDirectory *directory = nullptr;
        const std::shared_ptr<const routing::TrafficConfig> *config = nullptr;
        // This daemon's own view, used in fleets without cells and as the fallback.
        routing::Placement *localPlacement = nullptr;
        // Use the work time that servers report; see routing::SpeedEstimator.
        bool learnedSpeeds = true;
    };

    CellPlacement(boost::asio::io_context &io, Options options);

    // Sets the connection to the other daemons. Until then requests are placed by this daemon's own
    // view, and handleDatagram() must not be called.
    void setExchange(PeerExchange *exchange) { exchange_ = exchange; }
    void handleDatagram(const proto::PeerDatagram &datagram, const std::string &sender);
    // Drops what this daemon, as an owner, knows about a server that restarted or was removed.
    void removeServer(const std::string &serverId);

    // Ends attempts whose end was not reported in time; to be called about once a second.
    void expireAttempts();

    void place(const routing::PlacementQuery &query, std::chrono::milliseconds timeLeft,
               ChoiceHandler handler) override;
    void attemptProgressed(const routing::PlacementChoice &choice,
                           std::chrono::microseconds sinceStart) override;
    void attemptEnded(const routing::PlacementChoice &choice, bool progressed,
                      routing::AttemptOutcome outcome) override;

private:
    // A request to an owner that has not been answered.
    struct PendingRequest
    {
        routing::PlacementQuery query;
        std::chrono::milliseconds timeLeft{ 0 };
        std::shared_ptr<const routing::TrafficConfig> config;
        ChoiceHandler handler;
        std::string owner;
        std::chrono::milliseconds timeout{ 0 };
        std::unique_ptr<boost::asio::steady_timer> timer;
    };
    // How long an owner is not asked after a timeout; the duration doubles with each further one.
    struct Backoff
    {
        Clock::time_point until;
        std::chrono::milliseconds duration{ 0 };
    };
    // An attempt that this daemon placed as an owner.
    struct OwnedAttempt
    {
        routing::PlacementChoice choice;
        Clock::time_point expires;
        // The first token was reported. The report may be lost; then the prompt counts as waiting
        // until the attempt ends.
        bool progressed = false;
    };

    bool isInBackoff(const std::string &owner, Clock::time_point now) const;
    std::optional<std::string> ownerOf(const routing::Cell &cell) const;
    void requestPlacement(const std::string &owner, const routing::Cell &cell,
                          const routing::PlacementQuery &query, std::chrono::milliseconds timeLeft,
                          ChoiceHandler handler);
    std::optional<routing::PlacementChoice> placeAsOwner(const routing::PlacementQuery &query,
                                                         const routing::Cell &cell,
                                                         std::chrono::milliseconds timeLeft,
                                                         const std::string &requester,
                                                         std::uint64_t number);
    void handlePlaceRequest(const proto::PlaceRequest &request, const std::string &sender);
    void handlePlaceReply(const proto::PlaceReply &reply, const std::string &sender);
    void handleTimeout(std::uint64_t number);
    void recordTimeout(const std::string &owner);
    void handlePlaceUpdate(const proto::PlaceUpdate &update, const std::string &sender);
    void applyUpdate(const std::string &key, const proto::PlaceUpdate &update);
    void addSpeed(const std::string &serverId, proto::PlaceUpdate &update) const;
    void recordSpeed(const std::string &serverId, const proto::PlaceUpdate &update,
                     Clock::time_point now);
    void sendUpdate(const routing::PlacementChoice &choice, proto::PlaceUpdate update);

    boost::asio::io_context &io_;
    const Options options_;
    // Places requests that have no cell or whose owner does not reply.
    routing::LocalPlacementSource localSource_;
    routing::Placement ownerPlacement_;
    PeerExchange *exchange_ = nullptr;
    std::uint64_t nextNumber_ = 1;
    std::unordered_map<std::uint64_t, PendingRequest> pending_;
    // By the requester's address and its number of the attempt.
    std::unordered_map<std::string, OwnedAttempt> ownedAttempts_;
    // By the address of an owner that did not reply.
    std::map<std::string, Backoff> backoffs_;
};

} // namespace auburn::peers
