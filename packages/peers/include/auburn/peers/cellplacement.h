// CellPlacement: placement in fleets that are too large for every daemon to know every other one's
// load.
//
// The engines of one service in one failure domain form one or more cells. One daemon of that
// domain owns a cell: it places all requests of the cell, so it knows the work at each engine
// without any report. The daemon with the caller asks it by one datagram and tells it how the
// attempt went by two more. A request goes to the cell that has its shared prompt parts; steady
// streams stay in their own failure domain. The owner holds soft state only: without its answer a
// daemon places by its own view, and two daemons that both believe to own a cell merely see half of
// its work each.
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
        // This daemon's own view, for fleets without cells and as the fallback.
        routing::Placement *localPlacement = nullptr;
    };

    CellPlacement(boost::asio::io_context &io, Options options);

    // Beats to and from other daemons; must be set before the first request.
    void setExchange(PeerExchange *exchange) { exchange_ = exchange; }
    void handleDatagram(const proto::PeerDatagram &datagram, const std::string &sender);
    // Drops what this daemon knows as an owner about a server that was started again or has left.
    void removeServer(const std::string &serverId);

    // Drops what ended without notice; to be called about once a second.
    void expireAttempts();

    void place(const routing::PlacementQuery &query, std::chrono::milliseconds timeLeft,
               ChoiceHandler handler) override;
    void attemptProgressed(const routing::PlacementChoice &choice,
                           std::chrono::microseconds sinceStart) override;
    void attemptEnded(const routing::PlacementChoice &choice, bool progressed,
                      routing::AttemptOutcome outcome) override;

private:
    // A question to an owner that has no answer yet.
    struct Pending
    {
        routing::PlacementQuery query;
        std::chrono::milliseconds timeLeft{ 0 };
        std::shared_ptr<const routing::TrafficConfig> config;
        ChoiceHandler handler;
        std::string owner;
        std::chrono::milliseconds timeout{ 0 };
        std::unique_ptr<boost::asio::steady_timer> timer;
    };
    // Until when others are asked instead of an owner, and for how long since its last failure.
    struct Silence
    {
        Clock::time_point until;
        std::chrono::milliseconds pause{ 0 };
    };
    // An attempt that this daemon placed as an owner.
    struct Owned
    {
        routing::PlacementChoice choice;
        Clock::time_point expires;
        // This daemon was told of the first token. The datagram may be lost, and then the prompt
        // counts as waiting until the attempt ends.
        bool progressed = false;
    };

    bool isPassedOver(const std::string &owner, Clock::time_point now) const;
    std::optional<std::string> ownerOf(const routing::Cell &cell) const;
    void ask(const std::string &owner, const routing::Cell &cell,
             const routing::PlacementQuery &query, std::chrono::milliseconds timeLeft,
             ChoiceHandler handler);
    std::optional<routing::PlacementChoice> placeAsOwner(const routing::PlacementQuery &query,
                                                         const routing::Cell &cell,
                                                         std::chrono::milliseconds timeLeft,
                                                         const std::string &asker,
                                                         std::uint64_t number);
    void answer(const proto::PlaceRequest &request, const std::string &sender);
    void answered(const proto::PlaceReply &reply, const std::string &sender);
    void unanswered(std::uint64_t number);
    void noteSilence(const std::string &owner);
    void updated(const proto::PlaceUpdate &update, const std::string &sender);
    void update(const std::string &key, const proto::PlaceUpdate &update);
    void sendUpdate(const routing::PlacementChoice &choice, proto::PlaceUpdate update);

    boost::asio::io_context &io_;
    const Options options_;
    // Places where there is no cell or its owner does not answer.
    routing::LocalPlacementSource local_;
    routing::Placement cell_;
    PeerExchange *exchange_ = nullptr;
    std::uint64_t nextNumber_ = 1;
    std::unordered_map<std::uint64_t, Pending> pending_;
    // By asker and its number.
    std::unordered_map<std::string, Owned> owned_;
    // Owners that did not answer.
    std::map<std::string, Silence> silent_;
};

} // namespace auburn::peers
