#include "auburn/peers/cellplacement.h"

#include "auburn/core/hash.h"
#include "auburn/core/log.h"

#include <algorithm>
#include <utility>

namespace auburn::peers {

using routing::AttemptOutcome;
using routing::BackendServer;
using routing::Cell;
using routing::PlacementChoice;
using routing::PlacementQuery;
using std::chrono::milliseconds;

namespace {

// Timeouts for an owner's reply. Both allow for a daemon that has to wait for its CPU share.
constexpr milliseconds kSameRegionTimeout{ 30 };
constexpr milliseconds kOtherRegionTimeout{ 80 };
// An owner that did not reply is not asked for this time, which doubles with each further timeout.
// In a large fleet a dead daemon counts as live for some seconds.
constexpr milliseconds kInitialBackoff{ 700 };
constexpr milliseconds kMaxBackoff{ 5600 };
// An attempt whose end was not reported counts as ended this long after its time limit.
constexpr milliseconds kExpiryMargin{ 500 };

AttemptOutcome decodeOutcome(proto::PlaceOutcome outcome)
{
    switch (outcome) {
    case proto::PLACE_OUTCOME_SUCCEEDED:
        return AttemptOutcome::Succeeded;
    case proto::PLACE_OUTCOME_SERVER_ERROR:
        return AttemptOutcome::ServerError;
    case proto::PLACE_OUTCOME_FAILED:
        return AttemptOutcome::Failed;
    case proto::PLACE_OUTCOME_REJECTED:
        return AttemptOutcome::Rejected;
    default:
        return AttemptOutcome::Abandoned;
    }
}

proto::PlaceOutcome encodeOutcome(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::Succeeded:
        return proto::PLACE_OUTCOME_SUCCEEDED;
    case AttemptOutcome::ServerError:
        return proto::PLACE_OUTCOME_SERVER_ERROR;
    case AttemptOutcome::Failed:
        return proto::PLACE_OUTCOME_FAILED;
    case AttemptOutcome::Rejected:
        return proto::PLACE_OUTCOME_REJECTED;
    case AttemptOutcome::Abandoned:
        return proto::PLACE_OUTCOME_ABANDONED;
    }
    return proto::PLACE_OUTCOME_ABANDONED;
}

// Returns the report that an owner received, or nullopt if it cannot be one.
std::optional<routing::SpeedEstimator::Report> decodeSpeed(
        const proto::PlaceSpeed &speed, std::chrono::steady_clock::time_point now)
{
    const milliseconds age(speed.age_ms());
    if (speed.work_time_percent() == 0 || age > routing::kSpeedReportLifetime)
        return std::nullopt;
    return routing::SpeedEstimator::Report{ .workTimePercent = speed.work_time_percent(),
                                            .running = speed.running(),
                                            .slots = speed.slots(),
                                            .measuredAt = now - age };
}

proto::PlaceUpdate abandonedUpdate()
{
    proto::PlaceUpdate message;
    message.set_outcome(proto::PLACE_OUTCOME_ABANDONED);
    return message;
}

int clampUrgency(std::uint32_t urgency)
{
    return static_cast<int>(std::min<std::uint32_t>(urgency, routing::kLowestUrgency));
}

std::string attemptKey(const std::string &requester, std::uint64_t number)
{
    return requester + "#" + std::to_string(number);
}

} // namespace

CellPlacement::CellPlacement(boost::asio::io_context &io, Options options)
    : io_(io)
    , options_(std::move(options))
    , localSource_(*options_.directory, *options_.localPlacement)
    , ownerPlacement_({ .vm = options_.vm,
                        .failureDomain = options_.failureDomain,
                        .regions = options_.regions,
                        .learnedSpeeds = options_.learnedSpeeds })
{}

bool CellPlacement::isInBackoff(const std::string &owner, Clock::time_point now) const
{
    const auto backoff = backoffs_.find(owner);
    return backoff != backoffs_.end() && now < backoff->second.until;
}

// Returns the address of the serving daemon of the failure domain with the largest CPU share; a
// hash decides between equal ones, so that they share the cells. Empty string if this daemon is the
// owner; no value if there is no candidate.
std::optional<std::string> CellPlacement::ownerOf(const Cell &cell) const
{
    const std::string &domain = cell.failureDomain;
    const auto now = Clock::now();
    std::vector<PeerInfo> candidates = exchange_->livePeersIn(domain);
    std::erase_if(candidates, [&](const PeerInfo &peer) {
        return !peer.serving || isInBackoff(peer.udpAddress, now);
    });
    if (domain == options_.failureDomain)
        candidates.push_back({ .vm = options_.vm,
                               .failureDomain = domain,
                               .cpuMillis = exchange_->ownCpuMillis(),
                               .serving = true });
    const auto best = std::max_element(
            candidates.begin(), candidates.end(),
            [&cell](const PeerInfo &left, const PeerInfo &right) {
                return std::pair(left.cpuMillis, stableHash(left.vm, cell.part))
                       < std::pair(right.cpuMillis, stableHash(right.vm, cell.part));
            });
    if (best == candidates.end())
        return std::nullopt;
    return best->udpAddress;
}

void CellPlacement::place(const PlacementQuery &query, milliseconds timeLeft, ChoiceHandler handler)
{
    if (!exchange_ || !exchange_->isLargeFleet() || !query.service->engine) {
        localSource_.place(query, timeLeft, handler);
        return;
    }
    std::vector<const BackendServer *> servers = options_.directory->readyServers(
            query.service->name);
    if (query.softwareVersion)
        std::erase_if(servers, [&query](const BackendServer *server) {
            return server->softwareVersion != *query.softwareVersion;
        });
    const Cell cell = cellForQuery(servers, query, options_.failureDomain);
    const std::optional<std::string> owner = ownerOf(cell);
    if (!owner) {
        localSource_.place(query, timeLeft, handler);
        return;
    }
    if (!owner->empty()) {
        requestPlacement(*owner, cell, query, timeLeft, std::move(handler));
        return;
    }
    const std::uint64_t number = nextNumber_++;
    auto choice = placeAsOwner(query, cell, timeLeft, {}, number);
    if (!choice) {
        localSource_.place(query, timeLeft, handler);
        return;
    }
    choice->ownerNumber = number;
    options_.localPlacement->attemptStarted(*choice, query);
    handler(choice);
}

void CellPlacement::requestPlacement(const std::string &owner, const Cell &cell,
                                     const PlacementQuery &query, milliseconds timeLeft,
                                     ChoiceHandler handler)
{
    const std::uint64_t number = nextNumber_++;
    proto::PeerDatagram datagram;
    proto::PlaceRequest &request = *datagram.mutable_place_request();
    request.set_number(number);
    request.set_service(query.service->name);
    request.set_part(cell.part);
    request.set_parts(cell.parts);
    request.set_steady_stream(query.gapSensitiveStream);
    request.set_repeatable(query.repeatable);
    request.set_urgency(static_cast<std::uint32_t>(query.urgency.onTime));
    request.set_late_urgency(static_cast<std::uint32_t>(query.urgency.late));
    request.set_time_to_target_ms(
            static_cast<std::uint32_t>(std::max<std::int64_t>(0, query.timeToTarget.count())));
    request.set_time_left_ms(
            static_cast<std::uint32_t>(std::max<std::int64_t>(0, timeLeft.count())));
    for (const routing::PromptPart &part : query.prompt) {
        proto::PlacePromptPart &entry = *request.add_prompt();
        entry.set_id(part.id);
        entry.set_tokens(part.tokens);
    }
    for (const std::string &server : query.excluded)
        request.add_excluded(server);
    if (query.softwareVersion)
        request.set_software_version(*query.softwareVersion);
    for (const std::string &server : options_.localPlacement->avoidedServers(Clock::now()))
        request.add_excluded(server);
    PendingRequest pending{ .query = query,
                            .timeLeft = timeLeft,
                            .config = *options_.config,
                            .handler = std::move(handler),
                            .owner = owner,
                            .timeout = ownerPlacement_.isInOwnRegion(cell.failureDomain)
                                               ? kSameRegionTimeout
                                               : kOtherRegionTimeout,
                            .timer = std::make_unique<boost::asio::steady_timer>(io_) };
    pending.timer->expires_after(pending.timeout);
    pending.timer->async_wait([this, number](boost::system::error_code error) {
        if (!error)
            handleTimeout(number);
    });
    pending_.emplace(number, std::move(pending));
    exchange_->send(owner, datagram);
}

void CellPlacement::handleTimeout(std::uint64_t number)
{
    auto node = pending_.extract(number);
    if (node.empty())
        return;
    const PendingRequest &pending = node.mapped();
    recordTimeout(pending.owner);
    logEvent(LogLevel::Info, "placement_unanswered",
             { { "id", pending.query.requestId },
               { "owner", pending.owner },
               { "waited_ms", static_cast<long long>(pending.timeout.count()) } });
    localSource_.place(pending.query, pending.timeLeft, pending.handler);
}

// Requests that are in flight at the same time time out together and count as one timeout.
void CellPlacement::recordTimeout(const std::string &owner)
{
    const auto now = Clock::now();
    if (isInBackoff(owner, now))
        return;
    Backoff &backoff = backoffs_[owner];
    backoff.duration = std::clamp(backoff.duration * 2, kInitialBackoff, kMaxBackoff);
    backoff.until = now + backoff.duration;
}

void CellPlacement::handlePlaceReply(const proto::PlaceReply &reply, const std::string &sender)
{
    auto node = pending_.extract(reply.number());
    if (node.empty()) {
        // The reply is too late: the attempt runs elsewhere, and the owner must not count it.
        if (!reply.server().empty())
            sendUpdate({ .owner = sender, .ownerNumber = reply.number() }, abandonedUpdate());
        return;
    }
    PendingRequest &pending = node.mapped();
    pending.timer->cancel();
    backoffs_.erase(pending.owner);
    const BackendServer *server = options_.directory->find(reply.server());
    const bool usable = server && options_.directory->isAvailable(server->id, Clock::now())
                        && server->service == pending.query.service->name
                        && !isExcluded(pending.query, *server);
    PlacementChoice choice{ .serverId = reply.server(),
                            .predicted = std::chrono::microseconds(reply.predicted_us()),
                            .uncachedTokens = reply.uncached_tokens(),
                            .inFlight = reply.in_flight(),
                            .gapSensitiveStream = pending.query.gapSensitiveStream,
                            .copySource = reply.copy_source(),
                            .urgency = clampUrgency(reply.urgency()),
                            .owner = pending.owner,
                            .ownerNumber = reply.number() };
    if (!usable) {
        // The owner knows a server that this daemon does not know, or has not yet learned that the
        // server left, or its reply is to an earlier process of this daemon with the same number.
        if (!reply.server().empty())
            attemptEnded(choice, false, AttemptOutcome::Abandoned);
        localSource_.place(pending.query, pending.timeLeft, pending.handler);
        return;
    }
    choice.address = server->address;
    options_.localPlacement->attemptStarted(choice, pending.query);
    pending.handler(choice);
}

// The following functions run on the owner of a cell.

std::optional<PlacementChoice> CellPlacement::placeAsOwner(const PlacementQuery &query,
                                                           const Cell &cell, milliseconds timeLeft,
                                                           const std::string &requester,
                                                           std::uint64_t number)
{
    const auto now = Clock::now();
    auto choice = ownerPlacement_.chooseInCell(*options_.directory, cell, query, now);
    if (!choice)
        return std::nullopt;
    ownerPlacement_.attemptStarted(*choice, query);
    OwnedAttempt &attempt = ownedAttempts_[attemptKey(requester, number)];
    // A number is reused only by a requester that was restarted.
    if (!attempt.choice.serverId.empty())
        ownerPlacement_.attemptEnded(attempt.choice, attempt.progressed, AttemptOutcome::Abandoned,
                                     now);
    attempt = OwnedAttempt{ .choice = *choice, .expires = now + timeLeft + kExpiryMargin };
    return choice;
}

void CellPlacement::handlePlaceRequest(const proto::PlaceRequest &request,
                                       const std::string &sender)
{
    proto::PeerDatagram datagram;
    proto::PlaceReply &reply = *datagram.mutable_place_reply();
    reply.set_number(request.number());
    const auto config = *options_.config;
    const routing::Service *service = config ? config->findService(request.service()) : nullptr;
    if (service) {
        PlacementQuery query{ .service = service,
                              .urgency = { .onTime = clampUrgency(request.urgency()),
                                           .late = clampUrgency(request.late_urgency()) },
                              .timeToTarget = milliseconds(request.time_to_target_ms()),
                              .gapSensitiveStream = request.steady_stream(),
                              .repeatable = request.repeatable() };
        for (const proto::PlacePromptPart &part : request.prompt())
            query.prompt.push_back({ .id = part.id(), .tokens = part.tokens() });
        query.excluded.assign(request.excluded().begin(), request.excluded().end());
        if (request.has_software_version())
            query.softwareVersion = request.software_version();
        const Cell cell{ .failureDomain = options_.failureDomain,
                         .part = request.part(),
                         .parts = request.parts() };
        const auto choice = placeAsOwner(query, cell, milliseconds(request.time_left_ms()), sender,
                                         request.number());
        if (choice) {
            reply.set_server(choice->serverId);
            reply.set_predicted_us(static_cast<std::uint64_t>(choice->predicted.count()));
            reply.set_uncached_tokens(choice->uncachedTokens);
            reply.set_in_flight(choice->inFlight);
            reply.set_urgency(static_cast<std::uint32_t>(choice->urgency));
            reply.set_copy_source(choice->copySource);
        }
    }
    exchange_->send(sender, datagram);
}

void CellPlacement::applyUpdate(const std::string &key, const proto::PlaceUpdate &update)
{
    const auto found = ownedAttempts_.find(key);
    if (found == ownedAttempts_.end())
        return;
    const auto now = Clock::now();
    OwnedAttempt &attempt = found->second;
    recordSpeed(attempt.choice.serverId, update, now);
    if (update.outcome() == proto::PLACE_OUTCOME_PROGRESSED) {
        if (!std::exchange(attempt.progressed, true))
            ownerPlacement_.attemptProgressed(
                    attempt.choice, std::chrono::microseconds(update.since_start_us()), now);
        return;
    }
    ownerPlacement_.attemptEnded(attempt.choice, attempt.progressed,
                                 decodeOutcome(update.outcome()), now);
    ownedAttempts_.erase(found);
}

// The load header of a response reaches only the requester, which forwards the newest work time.
// The time that the datagram takes is not counted; it is short against the lifetime of a report.
void CellPlacement::recordSpeed(const std::string &serverId, const proto::PlaceUpdate &update,
                                Clock::time_point now)
{
    if (!update.has_speed())
        return;
    if (const auto report = decodeSpeed(update.speed(), now))
        ownerPlacement_.recordSpeedReport(serverId, *report);
}

void CellPlacement::handlePlaceUpdate(const proto::PlaceUpdate &message, const std::string &sender)
{
    applyUpdate(attemptKey(sender, message.number()), message);
}

void CellPlacement::handleDatagram(const proto::PeerDatagram &datagram, const std::string &sender)
{
    if (datagram.has_place_request())
        handlePlaceRequest(datagram.place_request(), sender);
    else if (datagram.has_place_reply())
        handlePlaceReply(datagram.place_reply(), sender);
    else if (datagram.has_place_update())
        handlePlaceUpdate(datagram.place_update(), sender);
}

void CellPlacement::removeServer(const std::string &serverId)
{
    ownerPlacement_.removeServer(serverId);
    std::erase_if(ownedAttempts_, [&serverId](const auto &entry) {
        return entry.second.choice.serverId == serverId;
    });
}

void CellPlacement::expireAttempts()
{
    const auto now = Clock::now();
    for (auto it = ownedAttempts_.begin(); it != ownedAttempts_.end();) {
        if (it->second.expires > now) {
            ++it;
            continue;
        }
        ownerPlacement_.attemptEnded(it->second.choice, it->second.progressed,
                                     AttemptOutcome::Abandoned, now);
        it = ownedAttempts_.erase(it);
    }
    std::erase_if(backoffs_,
                  [now](const auto &entry) { return entry.second.until + kMaxBackoff <= now; });
}

// The following functions run on the daemon that requested the placement.

void CellPlacement::addSpeed(const std::string &serverId, proto::PlaceUpdate &update) const
{
    const auto report = options_.localPlacement->speedReport(serverId);
    if (!report)
        return;
    const auto age = std::chrono::duration_cast<milliseconds>(Clock::now() - report->measuredAt);
    if (age > routing::kSpeedReportLifetime)
        return;
    proto::PlaceSpeed &speed = *update.mutable_speed();
    speed.set_work_time_percent(report->workTimePercent);
    speed.set_running(report->running);
    speed.set_slots(report->slots);
    speed.set_age_ms(static_cast<std::uint32_t>(age.count()));
}

void CellPlacement::sendUpdate(const PlacementChoice &choice, proto::PlaceUpdate message)
{
    if (choice.ownerNumber == 0)
        return;
    message.set_number(choice.ownerNumber);
    addSpeed(choice.serverId, message);
    if (choice.owner.empty()) {
        applyUpdate(attemptKey({}, choice.ownerNumber), message);
        return;
    }
    proto::PeerDatagram datagram;
    *datagram.mutable_place_update() = std::move(message);
    exchange_->send(choice.owner, datagram);
}

void CellPlacement::attemptProgressed(const PlacementChoice &choice,
                                      std::chrono::microseconds sinceStart)
{
    localSource_.attemptProgressed(choice, sinceStart);
    proto::PlaceUpdate message;
    message.set_outcome(proto::PLACE_OUTCOME_PROGRESSED);
    message.set_since_start_us(static_cast<std::uint64_t>(sinceStart.count()));
    sendUpdate(choice, std::move(message));
}

void CellPlacement::attemptEnded(const PlacementChoice &choice, bool progressed,
                                 AttemptOutcome outcome)
{
    localSource_.attemptEnded(choice, progressed, outcome);
    proto::PlaceUpdate message;
    message.set_outcome(encodeOutcome(outcome));
    sendUpdate(choice, std::move(message));
}

} // namespace auburn::peers
