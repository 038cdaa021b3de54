#include "auburn/peers/limitedplacement.h"

#include "auburn/core/log.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <utility>
#include <vector>

namespace auburn::peers {

using routing::AttemptOutcome;
using routing::BackendServer;
using routing::PermitDecision;
using routing::PlacementChoice;
using routing::PlacementQuery;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

// Timeouts for an owner's reply; see CellPlacement.
constexpr milliseconds kSameRegionTimeout{ 30 };
constexpr milliseconds kOtherRegionTimeout{ 80 };
// A server whose permit owner does not reply, or is just taking over, is left out for this time.
constexpr milliseconds kUnansweredWait{ 500 };
// After this number of denials only servers without a limit are considered, which bounds the time
// that a request spends on permits.
constexpr unsigned kMaxDenials = 8;
constexpr milliseconds kMaxWait{ 5000 };
// A changed set of live daemons is noticed within this time.
constexpr milliseconds kOwnerUpdateInterval{ 50 };

std::uint64_t firstNumber()
{
    // A late reply to an earlier process of this daemon must not grant a permit to this one.
    std::random_device random;
    return std::uint64_t{ random() } << 32;
}

} // namespace

LimitedPlacement::LimitedPlacement(boost::asio::io_context &io, Options options)
    : io_(io)
    , options_(std::move(options))
    , owners_({ .vm = options_.vm, .failureDomain = options_.failureDomain }, options_.now())
    , nextNumber_(firstNumber())
{}

void LimitedPlacement::updateOwners()
{
    const auto now = options_.now();
    if (!exchange_ || !options_.limits->hasLimits() || now < nextOwnerUpdate_)
        return;
    nextOwnerUpdate_ = now + kOwnerUpdateInterval;
    owners_.update(exchange_->livePeers(), options_.isServing(), now);
}

void LimitedPlacement::removeServer(const std::string &serverId)
{
    options_.limits->remove(serverId);
    permits_.remove(serverId);
}

void LimitedPlacement::place(const PlacementQuery &query, milliseconds timeLeft,
                             ChoiceHandler handler)
{
    if (!exchange_ || !options_.limits->hasLimits()) {
        options_.source->place(query, timeLeft, std::move(handler));
        return;
    }
    const auto request = std::make_shared<Request>(Request{
            .query = query, .deadline = options_.now() + timeLeft, .handler = std::move(handler) });
    excludeUnavailable(request->query);
    placeRequest(request);
}

// Another daemon that places the request does not know for which servers this one was denied
// permits.
void LimitedPlacement::excludeUnavailable(PlacementQuery &query) const
{
    const auto now = options_.now();
    for (const std::string &id : options_.limits->limitedServers()) {
        if (!options_.directory->isAvailable(id, now))
            query.excluded.push_back(id);
    }
}

void LimitedPlacement::placeRequest(const std::shared_ptr<Request> &request)
{
    const auto timeLeft = duration_cast<milliseconds>(request->deadline - options_.now());
    options_.source->place(request->query, std::max(timeLeft, milliseconds(0)),
                           [this, request](const std::optional<PlacementChoice> &choice) {
                               choiceReceived(request, choice);
                           });
}

void LimitedPlacement::choiceReceived(const std::shared_ptr<Request> &request,
                                      const std::optional<PlacementChoice> &choice)
{
    const BackendServer *server = choice ? options_.directory->find(choice->serverId) : nullptr;
    if (!server || !options_.limits->limitOf(server->id)) {
        request->handler(choice);
        return;
    }
    request->choice = *choice;
    requestPermit(request, *server);
}

void LimitedPlacement::requestPermit(const std::shared_ptr<Request> &request,
                                     const BackendServer &server)
{
    updateOwners();
    const auto owner = owners_.ownerOf(server);
    if (!owner)
        permitDecided(request, { .wait = kUnansweredWait }, "none");
    else if (owner->udpAddress.empty())
        permitDecided(request, decide(server, request->choice.urgency), "self");
    else
        sendPermitRequest(request, owner->udpAddress);
}

PermitDecision LimitedPlacement::decide(const BackendServer &server, int urgency)
{
    const auto now = options_.now();
    const auto limit = options_.limits->limitOf(server.id);
    if (!limit)
        return { .granted = true };
    if (!owners_.mayGrant(server, now))
        return { .wait = kUnansweredWait };
    return permits_.decide({ .serverId = server.id,
                             .requestsPerSecond = *limit,
                             .fleetShare = visibleFleetShare(),
                             .urgency = urgency },
                           now);
}

double LimitedPlacement::visibleFleetShare() const
{
    const auto daemons = options_.fleetSize->daemons();
    if (!daemons)
        return 0;
    return static_cast<double>(exchange_->livePeerCount() + 1) / std::max(1U, *daemons);
}

void LimitedPlacement::sendPermitRequest(const std::shared_ptr<Request> &request,
                                         const std::string &owner)
{
    const std::uint64_t number = ++nextNumber_;
    const std::string &serverId = request->choice.serverId;
    proto::PeerDatagram datagram;
    proto::PermitRequest &message = *datagram.mutable_permit_request();
    message.set_number(number);
    message.set_urgency(static_cast<std::uint32_t>(std::max(0, request->choice.urgency)));
    const auto report = options_.limits->reportOf(serverId);
    encodeServerLimit(report, options_.now(), *message.mutable_limit());
    const BackendServer *server = options_.directory->find(serverId);
    const bool isNear = server && isInOwnRegion(server->failureDomain);
    PendingPermit pending{ .request = request,
                           .owner = owner,
                           .timer = std::make_unique<boost::asio::steady_timer>(io_) };
    pending.timer->expires_after(isNear ? kSameRegionTimeout : kOtherRegionTimeout);
    pending.timer->async_wait([this, number](boost::system::error_code error) {
        if (!error)
            handleTimeout(number);
    });
    pending_.emplace(number, std::move(pending));
    exchange_->send(owner, datagram);
}

bool LimitedPlacement::isInOwnRegion(const std::string &failureDomain) const
{
    const auto own = options_.regions.find(options_.failureDomain);
    const auto other = options_.regions.find(failureDomain);
    return own != options_.regions.end() && other != options_.regions.end()
           && own->second == other->second;
}

void LimitedPlacement::handleTimeout(std::uint64_t number)
{
    auto node = pending_.extract(number);
    if (node.empty())
        return;
    countDecision("unanswered");
    logEvent(LogLevel::Info, "permit_unanswered",
             { { "id", node.mapped().request->query.requestId },
               { "server", node.mapped().request->choice.serverId },
               { "owner", node.mapped().owner } });
    permitDenied(node.mapped().request, kUnansweredWait);
}

void LimitedPlacement::permitDecided(const std::shared_ptr<Request> &request,
                                     const PermitDecision &decision, const char *owner)
{
    countDecision(decision.granted ? "granted" : "denied");
    if (decision.granted) {
        request->handler(request->choice);
        return;
    }
    logEvent(LogLevel::Info, "permit_denied",
             { { "id", request->query.requestId },
               { "server", request->choice.serverId },
               { "owner", owner },
               { "limit", routing::limitText(options_.limits->limitOf(request->choice.serverId)) },
               { "urgency", static_cast<long long>(request->choice.urgency) },
               { "wait_ms", static_cast<long long>(decision.wait.count()) } });
    permitDenied(request, decision.wait);
}

void LimitedPlacement::permitDenied(const std::shared_ptr<Request> &request, milliseconds wait)
{
    options_.source->attemptEnded(request->choice, false, AttemptOutcome::Abandoned);
    const auto now = options_.now();
    options_.directory->backOff(request->choice.serverId, now + wait, now);
    std::vector<std::string> &excluded = request->query.excluded;
    excluded.push_back(request->choice.serverId);
    if (++request->denials >= kMaxDenials) {
        for (const std::string &id : options_.limits->limitedServers())
            excluded.push_back(id);
    }
    placeRequest(request);
}

void LimitedPlacement::handleDatagram(const proto::PeerDatagram &datagram,
                                      const std::string &sender)
{
    if (datagram.has_permit_request())
        handlePermitRequest(datagram.permit_request(), sender);
    else if (datagram.has_permit_reply())
        handlePermitReply(datagram.permit_reply(), sender);
}

void LimitedPlacement::handlePermitRequest(const proto::PermitRequest &request,
                                           const std::string &sender)
{
    // The requester may be the only daemon that the server has told of its limit so far.
    const auto report = decodeServerLimit(request.limit(), options_.now());
    if (!report)
        return;
    options_.limits->merge(*report);
    updateOwners();
    const BackendServer *server = options_.directory->find(report->serverId);
    const int urgency = static_cast<int>(
            std::min<std::uint32_t>(request.urgency(), routing::kLowestUrgency));
    const PermitDecision decision = server ? decide(*server, urgency)
                                           : PermitDecision{ .wait = kUnansweredWait };
    proto::PeerDatagram datagram;
    proto::PermitReply &reply = *datagram.mutable_permit_reply();
    reply.set_number(request.number());
    reply.set_granted(decision.granted);
    reply.set_wait_ms(static_cast<std::uint32_t>(decision.wait.count()));
    exchange_->send(sender, datagram);
}

void LimitedPlacement::handlePermitReply(const proto::PermitReply &reply, const std::string &sender)
{
    const auto found = pending_.find(reply.number());
    // A reply after the timeout grants nothing; its permit stays unused.
    if (found == pending_.end() || found->second.owner != sender)
        return;
    const std::shared_ptr<Request> request = found->second.request;
    pending_.erase(found);
    const milliseconds wait = std::min(milliseconds(reply.wait_ms()), kMaxWait);
    permitDecided(request, { .granted = reply.granted(), .wait = wait }, sender.c_str());
}

void LimitedPlacement::countDecision(const char *decision)
{
    if (options_.metrics)
        options_.metrics
                ->counter("auburn_permits_total",
                          "Permits for requests to servers that have named a limit",
                          { { "decision", decision } })
                .add();
}

void LimitedPlacement::attemptProgressed(const PlacementChoice &choice,
                                         std::chrono::microseconds sinceStart)
{
    options_.source->attemptProgressed(choice, sinceStart);
}

void LimitedPlacement::attemptEnded(const PlacementChoice &choice, bool progressed,
                                    AttemptOutcome outcome)
{
    options_.source->attemptEnded(choice, progressed, outcome);
}

void encodeServerLimit(const routing::ServerLimitReport &report,
                       std::chrono::steady_clock::time_point now, proto::PeerServerLimit &message)
{
    const auto age = duration_cast<milliseconds>(now - report.observedAt);
    message.set_server(report.serverId);
    message.set_limited(report.requestsPerSecond.has_value());
    message.set_per_second(report.requestsPerSecond.value_or(0));
    message.set_age_ms(static_cast<std::uint32_t>(
            std::clamp<milliseconds>(age, milliseconds(0), routing::kLimitLifetime).count()));
}

std::optional<routing::ServerLimitReport> decodeServerLimit(
        const proto::PeerServerLimit &message, std::chrono::steady_clock::time_point now)
{
    const double limit = message.per_second();
    const milliseconds age(message.age_ms());
    if (message.server().empty() || !std::isfinite(limit) || limit < 0
        || age > routing::kLimitLifetime)
        return std::nullopt;
    return routing::ServerLimitReport{ .serverId = message.server(),
                                       .requestsPerSecond = message.limited() ? std::optional(limit)
                                                                              : std::nullopt,
                                       .observedAt = now - age };
}

} // namespace auburn::peers
