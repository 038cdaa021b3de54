#include "exchange.h"

#include "beastview.h"
#include "requestrecord.h"
#include "retryafter.h"
#include "serverrequest.h"
#include "serversignals.h"

#include "auburn/core/hash.h"
#include "auburn/core/log.h"
#include "auburn/gateway/requestoutlook.h"

#include <algorithm>
#include <utility>

namespace auburn::gateway {

using routing::AttemptOutcome;
using routing::RequestKind;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kConnectTimeout{ 300 };
// Unsafe requests use only connections that were idle for at most this long, to avoid those that
// the server may be closing.
constexpr milliseconds kUnsafeMaxIdle{ 700 };
constexpr milliseconds kMaxIdle{ 60000 };
constexpr unsigned kMaxRejections = 2;
// A request with at least this many uncached prompt tokens, about 15 ms of an engine's time, is
// reported to the other daemons at once.
constexpr std::uint64_t kLargePromptTokens = 1000;
constexpr unsigned kMaxConnectFailures = 3;
constexpr std::size_t kMaxResponseBytes = std::size_t{ 16 } * 1024 * 1024;
// Memory of an exchange: its own, the read buffer of its connection to a server and the parser.
constexpr std::size_t kAttemptBytes = std::size_t{ 24 } * 1024;
constexpr milliseconds kMinStallTimeout{ 150 };
constexpr milliseconds kMinStreamStallTimeout{ 600 };
// If no other server can take over a stalled attempt, it is checked again after this time.
constexpr milliseconds kStallRecheckInterval{ 250 };
// A placement that took longer than this was delayed by a pause of this daemon or of the owner,
// since the limit is far above the timeout of any owner. Its choice is discarded.
constexpr milliseconds kMaxChoiceAge{ 500 };
// A server that has sent a response for this time does not crash because of its prompt.
constexpr milliseconds kSoundProgress{ 500 };
// A stream with an incomplete event larger than this is aborted.
constexpr std::size_t kMaxEventBytes = std::size_t{ 1024 } * 1024;

// Time limit for finding the software version that began a stream: this share of the time left, at
// most kMaxFindTime. The caller can still retry then.
constexpr int kFindTimeDivisor = 4;
constexpr milliseconds kMaxFindTime{ 2000 };

constexpr int kGatewayTimeout = 504;

milliseconds timeLimit(const CallerRequest &request)
{
    const milliseconds timeout = request.route->timeout;
    return request.deadline ? std::min(*request.deadline, timeout) : timeout;
}

} // namespace

Exchange::Exchange(GatewayContext &context, CallerRequest request,
                   std::shared_ptr<ResponseWriter> writer)
    : context_(context)
    , request_(std::move(request))
    , crashSuspects_{ .requestId = request_.id,
                      .fingerprint = requestFingerprint(request_),
                      .promptParts = routing::sharedPartIds(request_.prompt) }
    , writer_(std::move(writer))
    , deadlineAt_(request_.received + timeLimit(request_))
    , deadlineTimer_(context.io, [this] { deadlinePassed(); })
    , stallTimer_(context.io, [this] { attemptStalled(); })
    , attemptMemory_(context.memory)
    , heldMemory_(context.memory)
    , stream_(request_.lastEventId)
{
    ++context_.requestsInProgress;
}

Exchange::~Exchange()
{
    --context_.requestsInProgress;
}

void Exchange::start()
{
    self_ = shared_from_this();
    startedAt_ = std::chrono::steady_clock::now();
    // A stream is resumed at the service that began it.
    const std::string &serviceKey = resumesStream() && !request_.resumedId.empty()
                                            ? request_.resumedId
                                            : request_.id;
    const std::string &name = routing::pickService(*request_.route, stableHash(serviceKey));
    service_ = request_.config->findService(name);
    if (!service_) {
        refuse("unknown_service");
        return;
    }
    context_.state.retries.recordRequest(name, startedAt_);
    if (context_.crashes->isBlocked(crashSuspects_)) {
        refuse("crashes_servers");
        return;
    }
    if (!attemptMemory_.tryResize(kAttemptBytes)) {
        refuse("memory_limit");
        return;
    }
    deadlineTimer_.setAfter(timeLeft());
    const bool isResumable = isStreamRoute() && request_.route->resumable;
    streamVersion_.emplace(isResumable ? context_.options.streamOrigins : nullptr, request_.id,
                           name);
    if (context_.options.streamOrigins && resumesStream())
        findStreamVersion();
    else
        requestPlacement();
}

bool Exchange::resumesStream() const
{
    return isStreamRoute() && request_.route->resumable && !request_.lastEventId.empty();
}

void Exchange::findStreamVersion()
{
    const milliseconds limit = std::min(timeLeft() / kFindTimeDivisor, kMaxFindTime);
    streamVersion_->find(request_.resumedId, limit, [self = shared_from_this()](bool found) {
        if (self->finished_ || !self->writer_)
            return;
        recordStreamVersion(self->request_, self->service_->name,
                            found ? self->streamVersion_->required() : std::nullopt);
        if (found)
            self->requestPlacement();
        else
            self->refuse("unknown_stream_version");
    });
}

bool Exchange::isRepeatable() const
{
    const routing::Route &route = *request_.route;
    return route.kind == RequestKind::Safe
           || (route.kind == RequestKind::Stream && route.resumable);
}

routing::PlacementQuery Exchange::placementQuery() const
{
    return {
        .requestId = request_.id,
        .service = service_,
        .prompt = request_.prompt,
        .urgency = request_.config->urgency(service_->name, *request_.route, request_.organisation),
        .timeToTarget = duration_cast<milliseconds>(request_.received
                                                    + request_.route->latencyTarget - Clock::now()),
        .excluded = excluded_,
        .softwareVersion = streamVersion_->required(),
        .gapSensitiveStream = service_->engine
                              && routing::isGapSensitive(*request_.route, *service_->engine,
                                                         routing::totalTokens(request_.prompt)),
        .repeatable = isRepeatable() && possibleExecutions_ + 1 < request_.route->maxAttempts
    };
}

milliseconds Exchange::timeLeft() const
{
    return duration_cast<milliseconds>(deadlineAt_ - Clock::now());
}

void Exchange::requestPlacement()
{
    if (!hasTimeForAttempt(timeLeft())) {
        deadlinePassed();
        return;
    }
    placementRequestedAt_ = Clock::now();
    context_.options.placement->place(
            placementQuery(), timeLeft(),
            [self = shared_from_this()](const std::optional<routing::PlacementChoice> &choice) {
                self->placementReceived(choice);
            });
}

void Exchange::placementReceived(const std::optional<routing::PlacementChoice> &choice)
{
    const bool awaited = !finished_ && writer_;
    const bool outdated = isChoiceOutdated();
    if (choice && (!awaited || outdated))
        releasePlacement(*choice);
    if (!awaited)
        return;
    if (outdated) {
        recordOutdatedChoice(request_, choice,
                             duration_cast<milliseconds>(Clock::now() - placementRequestedAt_),
                             timeLeft());
        requestPlacement();
    } else if (choice && context_.crashes->wasBlockedSince(crashSuspects_, startedAt_)) {
        releasePlacement(*choice);
        refuse("crashes_servers");
    } else if (choice && !isUsable(*choice)) {
        replacePlacement(*choice);
    } else if (choice && isPreferenceTooSlow(*choice) && streamVersion_->dropPreference()) {
        releasePlacement(*choice);
        requestPlacement();
    } else if (choice) {
        startAttempt(*choice);
    } else if (streamVersion_->dropPreference()) {
        requestPlacement();
    } else {
        refuse("no_server");
    }
}

bool Exchange::isUsable(const routing::PlacementChoice &choice) const
{
    const routing::BackendServer *server = context_.state.directory.find(choice.serverId);
    const std::optional<std::string> version = streamVersion_->required();
    return server && (!version || *version == server->softwareVersion)
           && context_.state.directory.isAvailable(choice.serverId,
                                                   std::chrono::steady_clock::now());
}

bool Exchange::isPreferenceTooSlow(const routing::PlacementChoice &choice) const
{
    return streamVersion_->preferenceYieldsToLatency()
           && choice.predicted > request_.route->latencyTarget;
}

void Exchange::replacePlacement(const routing::PlacementChoice &choice)
{
    releasePlacement(choice);
    excluded_.push_back(choice.serverId);
    requestPlacement();
}

bool Exchange::isChoiceOutdated() const
{
    return Clock::now() - placementRequestedAt_ > kMaxChoiceAge || !hasTimeForAttempt(timeLeft());
}

void Exchange::releasePlacement(const routing::PlacementChoice &choice)
{
    context_.options.placement->attemptEnded(choice, false, AttemptOutcome::Abandoned);
}

void Exchange::startAttempt(const routing::PlacementChoice &choice)
{
    ++attempts_;
    attempt_ = choice;
    attemptStart_ = Clock::now();
    attemptSentAt_ = std::chrono::steady_clock::now();
    const routing::BackendServer *server = context_.state.directory.find(choice.serverId);
    serverStartedAtUnixMs_ = server ? server->startedAtUnixMs : 0;
    streamVersion_->attemptStarted(server ? server->softwareVersion : std::string());
    progressed_ = false;
    response_ = {};
    stream_.attemptStarted();
    if (choice.uncachedTokens >= kLargePromptTokens && context_.options.largeRequestPlaced)
        context_.options.largeRequestPlaced();
    const ConnectionPool::Acquired acquired = context_.pool->acquire(
            choice.address, isRepeatable() ? kMaxIdle : kUnsafeMaxIdle, request_.id);
    connection_ = acquired.connection;
    reusesConnection_ = connection_->isConnected();
    repeatsId_ = acquired.repeatsId;
    recordPlacement({ .request = request_,
                      .choice = choice,
                      .service = service_->name,
                      .attempt = attempts_,
                      .reusesConnection = reusesConnection_,
                      .repeatsId = repeatsId_,
                      .softwareVersion = server ? server->softwareVersion : std::string_view(),
                      .lastEventId = stream_.lastEventId(),
                      .timeLeft = timeLeft() });
    startStallTimer();
    connection_->call(buildRequest(choice), std::min(kConnectTimeout, timeLeft()), this);
}

OutboundRequest Exchange::buildRequest(const routing::PlacementChoice &choice) const
{
    ServerRequestFields fields{ .deadline = timeLeft(),
                                .expectedServer = choice.serverId,
                                .lastEventId = stream_.lastEventId() };
    if (service_->engine)
        fields.urgency = choice.urgency;
    const routing::ServerDirectory &directory = context_.state.directory;
    if (directory.isAvailable(choice.copySource, std::chrono::steady_clock::now()))
        fields.copySource = directory.find(choice.copySource)->address;
    return makeServerRequest(request_, context_.options.headerNames, fields);
}

void Exchange::startStallTimer()
{
    if (isRepeatable())
        stallTimer_.setAfter(stallTimeout());
}

// Returns the time without progress after which a repeatable request is sent to another server.
milliseconds Exchange::stallTimeout() const
{
    const routing::Route &route = *request_.route;
    const auto predicted = duration_cast<milliseconds>(attempt_->predicted);
    if (route.kind == RequestKind::Safe)
        return std::max({ kMinStallTimeout, route.latencyTarget * 3 / 5, predicted * 3 });
    if (progressed_)
        return std::max(kMinStreamStallTimeout, route.gapTarget * 4);
    return std::max({ kMinStreamStallTimeout, route.latencyTarget * 3 / 2, predicted * 3 });
}

void Exchange::attemptStalled()
{
    if (finished_ || !attempt_ || !writer_)
        return;
    const auto guard = shared_from_this();
    const bool attemptsLeft = possibleExecutions_ + 1 < request_.route->maxAttempts;
    excluded_.push_back(attempt_->serverId);
    const auto now = std::chrono::steady_clock::now();
    const auto other = context_.state.placement.choose(context_.state.directory, placementQuery(),
                                                       now);
    const bool canFinishElsewhere = other
                                    && !context_.state.placement.isAvoided(other->serverId, now)
                                    && timeLeft() > duration_cast<milliseconds>(other->predicted);
    if (!attemptsLeft || !canFinishElsewhere || !takeRetry("stalled")) {
        excluded_.pop_back();
        stallTimer_.setAfter(kStallRecheckInterval);
        return;
    }
    if (connection_->isConnected()) {
        ++possibleExecutions_;
        recordUnansweredAttempt();
    }
    endAttempt(AttemptOutcome::Failed, "stalled");
    requestPlacement();
}

bool Exchange::takeRetry(std::string_view reason)
{
    const auto now = std::chrono::steady_clock::now();
    routing::RetryBudget &budget = context_.state.retries;
    const bool granted = budget.tryConsumeRetry(service_->name, now);
    recordRetry({ .request = request_,
                  .service = service_->name,
                  .reason = reason,
                  .granted = granted,
                  .available = budget.available(service_->name, now),
                  .daemons = budget.daemonCount() },
                context_.options.metrics);
    return granted;
}

bool Exchange::canReuseConnection(AttemptOutcome outcome) const
{
    // Without ids, a response that the server writes late would be taken for that of the next
    // request on the connection.
    if (!response_.identified)
        return false;
    return outcome == AttemptOutcome::Succeeded || outcome == AttemptOutcome::ServerError
           || connection_->isReusable();
}

void Exchange::endAttempt(AttemptOutcome outcome, std::string_view reason)
{
    if (!attempt_)
        return;
    stallTimer_.clear();
    context_.options.placement->attemptEnded(*attempt_, progressed_, outcome);
    recordAttempt({ .request = request_,
                    .server = attempt_->serverId,
                    .service = service_->name,
                    .attempt = attempts_,
                    .outcome = outcome,
                    .reason = reason,
                    .status = response_.status,
                    .verdict = verdict_,
                    .duration = duration_cast<milliseconds>(Clock::now() - attemptStart_),
                    .reusedConnection = reusesConnection_,
                    .repeatsId = repeatsId_,
                    .identified = response_.identified },
                  context_.options.metrics);
    attempt_.reset();
    if (connection_) {
        if (canReuseConnection(outcome))
            context_.pool->release(connection_, idleConnectionLimit(service_->maxConnections,
                                                                    context_.state.liveDaemons));
        else
            connection_->close();
        connection_.reset();
    }
}

ResponseMatch Exchange::matchResponse(const ResponseHeader &header)
{
    const auto id = toStringView(header[context_.options.headerNames.requestId]);
    if (id.empty())
        return ResponseMatch::Unidentified;
    if (id == request_.id)
        return ResponseMatch::ThisCall;
    logEvent(LogLevel::Warning, "foreign_answer_dropped",
             { { "id", request_.id }, { "server", attempt_->serverId }, { "answer_id", id } });
    return ResponseMatch::AnotherCall;
}

void Exchange::responseStarted(const ResponseHeader &header)
{
    response_ = readAttemptResponse(header, context_.options.headerNames, isStreamRoute());
    recordServerSignals(header, context_.options.headerNames,
                        { .server = attempt_->serverId,
                          .service = service_->name,
                          .requestId = request_.id,
                          .sentAt = attemptSentAt_ },
                        context_.state);
    if (!response_.notExecuted) {
        verdict_ = Verdict::Ran;
        // A server that gave up a stream at its deadline had produced no event of it, so the
        // request has not begun. Any other error of its own says that it ran the request.
        if (!isStreamRoute() || (!response_.isStream && response_.status != kGatewayTimeout))
            recordBegin(attemptStart_);
    }
    if (!response_.isStream && !response_.notExecuted)
        reportProgress();
}

void Exchange::reportProgress()
{
    if (progressed_)
        return;
    progressed_ = true;
    const auto now = Clock::now();
    progressedAt_ = now;
    context_.options.placement->attemptProgressed(
            *attempt_, duration_cast<std::chrono::microseconds>(now - attemptStart_));
}

void Exchange::responseData(const std::vector<std::string_view> &data)
{
    for (const std::string_view bytes : data) {
        if (response_.isStream)
            stream_.feed(bytes);
        else
            response_.body.append(bytes);
    }
    if (response_.isStream)
        forwardEvents();
    if (!attempt_)
        return;
    if (const char *error = sizeError())
        attemptFailed({ .outcome = CallOutcome::Invalid, .error = error });
}

const char *Exchange::sizeError()
{
    if (stream_.remainder().size() > kMaxEventBytes || response_.body.size() > kMaxResponseBytes)
        return "the response is too large";
    if (!heldMemory_.tryResize(stream_.heldBytes() + streamVersion_->heldBytes()
                               + response_.body.capacity()))
        return "the responses in progress exceed the memory limit";
    return nullptr;
}

void Exchange::forwardEvents()
{
    const std::string_view events = stream_.takeEvents(Clock::now());
    if (events.empty() || !writer_)
        return;
    if (stream_.hasNewEvent()) {
        reportProgress();
        recordBegin(Clock::now());
        if (Clock::now() - progressedAt_ >= kSoundProgress)
            context_.crashes->recordSoundPrompt(crashSuspects_);
        startStallTimer();
        const unsigned attempt = attempts_;
        streamVersion_->eventReceived([self = shared_from_this()](bool isFindable) {
            self->releaseHeldEvents(isFindable);
        });
        // The stream begins anew elsewhere.
        if (!attempt_ || attempts_ != attempt)
            return;
    }
    beginStream();
    sendEvents(events);
    if (writer_ && writer_->isCongested() && connection_)
        connection_->pause();
}

void Exchange::sendEvents(std::string_view events)
{
    if (streamVersion_->isHeld())
        streamVersion_->hold(events);
    else if (writer_)
        writer_->sendStreamData(events);
}

void Exchange::releaseHeldEvents(bool isFindable)
{
    if (finished_ || !writer_)
        return;
    if (isFindable || !beginAnew())
        sendHeldEvents();
}

bool Exchange::canBeginAt(const std::string &version) const
{
    routing::PlacementQuery query = placementQuery();
    query.softwareVersion = version;
    const auto now = std::chrono::steady_clock::now();
    const auto choice = context_.state.placement.choose(context_.state.directory, query, now);
    return choice && !context_.state.placement.isAvoided(choice->serverId, now)
           && choice->predicted <= std::min<std::chrono::microseconds>(
                      request_.route->latencyTarget, timeLeft());
}

bool Exchange::beginAnew()
{
    const std::optional<std::string> version = streamVersion_->replacement();
    if (!version)
        return false;
    const bool hasRun = attempt_ || (heldEnd_ && heldEnd_->complete);
    const unsigned executions = possibleExecutions_ + (hasRun ? 1 : 0);
    // A further attempt has been granted, and its server is being chosen.
    const bool isPlacing = !attempt_ && !heldEnd_;
    const bool isAllowed = canBeginAt(*version)
                           && (isPlacing
                               || (executions < request_.route->maxAttempts
                                   && takeRetry("version_not_recorded")));
    if (!isAllowed && !(heldEnd_ && !heldEnd_->complete))
        return false;
    streamVersion_->beginAnew();
    if (!isAllowed) {
        // The caller has to send its request again anyway, and without an event it can begin anew
        // at any version.
        sendHeldEvents();
        return true;
    }
    possibleExecutions_ = executions;
    heldEnd_.reset();
    stream_.beginAnew(request_.lastEventId);
    endAttempt(AttemptOutcome::Abandoned, "version_not_recorded");
    if (!isPlacing)
        requestPlacement();
    return true;
}

void Exchange::sendHeldEvents()
{
    const std::string events = streamVersion_->takeHeld();
    if (!events.empty())
        writer_->sendStreamData(events);
    if (heldEnd_)
        endStream(heldEnd_->complete, heldEnd_->reason);
}

void Exchange::beginStream()
{
    if (stream_.isHeadSent() || !writer_)
        return;
    stream_.setHeadSent();
    writer_->beginStream({ .status = response_.status, .fields = response_.fields });
}

const char *Exchange::incompleteReason() const
{
    if (!response_.isStream)
        return nullptr;
    if (!stream_.remainder().empty())
        return "the stream ended inside an event";
    // No stream is empty, so its server stopped before the first event.
    return stream_.attemptEventCount() == 0 ? "the stream ended before its first event" : nullptr;
}

void Exchange::callEnded(const CallResult &result)
{
    if (finished_ || !attempt_)
        return;
    const auto guard = shared_from_this();
    if (result.endedByClose)
        recordUnframedEnd({ .request = request_,
                            .server = attempt_->serverId,
                            .service = service_->name,
                            .status = response_.status,
                            .events = stream_.attemptEventCount(),
                            .pendingBytes = stream_.remainder().size(),
                            .complete = result.outcome == CallOutcome::Complete,
                            .reason = result.error },
                          context_.options.metrics);
    if (result.outcome != CallOutcome::Complete)
        attemptFailed(result);
    else if (response_.isStream)
        streamComplete();
    else
        responseComplete();
}

void Exchange::streamComplete()
{
    beginStream();
    // The body is complete, so the bytes after the last empty line are not a truncated event and
    // are forwarded as they are.
    if (!stream_.remainder().empty())
        sendEvents(stream_.remainder());
    context_.crashes->recordSuccess(crashSuspects_);
    endAttempt(AttemptOutcome::Succeeded, {});
    endStream(true, "served");
}

void Exchange::endStream(bool complete, const char *reason)
{
    if (streamVersion_->isHeld() && writer_) {
        heldEnd_ = { .complete = complete, .reason = reason };
        return;
    }
    if (writer_)
        writer_->endStream(complete);
    finish({ .status = response_.status, .reason = reason });
}

void Exchange::responseComplete()
{
    if (response_.notExecuted) {
        attemptRejected();
        return;
    }
    if (response_.isUnsealedSuccess()) {
        attemptFailed({ .outcome = CallOutcome::Invalid,
                        .error = "successful response without the server's seal" });
        return;
    }
    ++possibleExecutions_;
    if (response_.isServerError() && isRepeatable()
        && possibleExecutions_ < request_.route->maxAttempts && writer_
        && timeLeft() > kMinStallTimeout && takeRetry("server_error")) {
        excluded_.push_back(attempt_->serverId);
        endAttempt(AttemptOutcome::ServerError, "server_error");
        requestPlacement();
        return;
    }
    forwardResponse();
}

void Exchange::forwardResponse()
{
    const bool serverError = response_.isServerError();
    if (!serverError)
        context_.crashes->recordSuccess(crashSuspects_);
    const bool statusMeansNotRun = response_.statusMeansNotRun();
    const int status = response_.status;
    ResponseHead head{ .status = status, .fields = std::move(response_.fields) };
    std::string body = std::move(response_.body);
    // The writer accounts for the body from now on.
    heldMemory_.resize(0);
    endAttempt(serverError ? AttemptOutcome::ServerError : AttemptOutcome::Succeeded,
               "server_error");
    if (stream_.isHeadSent()) {
        failWithUnknownOutcome("resume_failed");
        return;
    }
    // The server did not declare that it has not run the request, but its status would tell the
    // caller so.
    if (statusMeansNotRun && request_.route->kind != RequestKind::Safe) {
        failWithUnknownOutcome("server_error");
        return;
    }
    if (writer_)
        writer_->sendResponse(std::move(head), std::move(body));
    finish({ .status = status, .reason = serverError ? "server_error" : "served" });
}

void Exchange::attemptRejected()
{
    excluded_.push_back(attempt_->serverId);
    ++rejections_;
    endAttempt(AttemptOutcome::Rejected, "rejected");
    if (rejections_ <= kMaxRejections && writer_ && takeRetry("rejected"))
        requestPlacement();
    else if (verdict_ == Verdict::DidNotRun)
        refuse("servers_full");
    else
        failWithUnknownOutcome("servers_full");
}

void Exchange::attemptFailed(const CallResult &result)
{
    const bool neverSent = result.outcome == CallOutcome::ConnectFailed
                           || result.outcome == CallOutcome::NotSent;
    excluded_.push_back(attempt_->serverId);
    if (neverSent) {
        ++connectFailures_;
        endAttempt(AttemptOutcome::Failed, result.error);
        if (connectFailures_ <= kMaxConnectFailures && writer_)
            requestPlacement();
        else
            refuse("no_connection");
        return;
    }
    ++possibleExecutions_;
    recordUnansweredAttempt();
    if (result.outcome == CallOutcome::Broken)
        connectionBroke(result.staleConnection);
    endAttempt(AttemptOutcome::Failed, result.error);
    if (isRepeatable() && !context_.crashes->isBlocked(crashSuspects_) && writer_
        && possibleExecutions_ < request_.route->maxAttempts && takeRetry("server_broke_off"))
        requestPlacement();
    else
        failWithUnknownOutcome("server_broke_off");
}

void Exchange::connectionBroke(bool wasIdle)
{
    CrashSuspects suspects = crashSuspects_;
    if (progressed_ && Clock::now() - progressedAt_ >= kSoundProgress)
        suspects.promptParts.clear();
    if (wasIdle)
        context_.crashes->examine({ .serverId = attempt_->serverId,
                                    .address = attempt_->address,
                                    .serverStartedAtUnixMs = serverStartedAtUnixMs_,
                                    .suspects = suspects });
    else
        context_.crashes->recordCrash(suspects);
}

milliseconds Exchange::retryAfter() const
{
    return drawRetryDelay(refusalRetryDelays(context_.state.directory, service_, timeLeft(),
                                             std::chrono::steady_clock::now()));
}

void Exchange::refuse(const char *reason)
{
    if (verdict_ != Verdict::DidNotRun || stream_.isHeadSent()) {
        failWithUnknownOutcome(reason);
        return;
    }
    if (writer_)
        writer_->sendResponse({ .status = 503, .fields = { retryAfterField(retryAfter()) } }, {});
    finish({ .status = 503, .reason = reason });
}

void Exchange::failWithUnknownOutcome(const char *reason)
{
    constexpr int kBadGateway = 502;
    if (stream_.isHeadSent()) {
        endStream(false, reason);
        return;
    }
    if (writer_)
        writer_->sendResponse({ .status = kBadGateway }, {});
    finish({ .status = kBadGateway, .reason = reason });
}

void Exchange::recordPossibleExecution()
{
    if (attempt_ && connection_ && connection_->isConnected())
        recordUnansweredAttempt();
}

void Exchange::recordUnansweredAttempt()
{
    verdict_ = mergeVerdicts(verdict_, Verdict::MayHaveRun);
    // A stream begins with its first event, which has not arrived.
    if (!isStreamRoute())
        recordBegin(attemptStart_);
}

void Exchange::recordBegin(Clock::time_point at)
{
    if (hasBegun_ || !request_.organisation || !context_.options.requestBegan)
        return;
    hasBegun_ = true;
    context_.options.requestBegan(request_.organisation->name,
                                  duration_cast<milliseconds>(Clock::now() - at));
}

bool Exchange::isStreamRoute() const
{
    return request_.route->kind == RequestKind::Stream;
}

void Exchange::deadlinePassed()
{
    if (finished_)
        return;
    const auto guard = shared_from_this();
    recordPossibleExecution();
    endAttempt(isRepeatable() || progressed_ ? AttemptOutcome::Abandoned : AttemptOutcome::Failed,
               "deadline");
    if (verdict_ == Verdict::DidNotRun && !stream_.isHeadSent()) {
        refuse("deadline");
        return;
    }
    if (stream_.isHeadSent()) {
        streamVersion_->dropHeld();
        failWithUnknownOutcome("deadline");
        return;
    }
    if (writer_)
        writer_->sendResponse({ .status = kGatewayTimeout }, {});
    finish({ .status = kGatewayTimeout, .reason = "deadline" });
}

void Exchange::finish(FinalResult result)
{
    if (finished_)
        return;
    finished_ = true;
    writer_ = nullptr;
    deadlineTimer_.clear();
    stallTimer_.clear();
    recordRequestEnd({ .request = request_,
                       .stream = stream_,
                       .status = result.status,
                       .reason = result.reason,
                       .verdict = verdict_,
                       .attempts = attempts_ },
                     context_.options.metrics);
    const auto self = std::move(self_);
}

void Exchange::callerDisconnected()
{
    writer_ = nullptr;
    if (finished_)
        return;
    const auto guard = shared_from_this();
    // A request of kind Unsafe is not aborted while an attempt is in progress; its response is
    // discarded.
    if (request_.route->kind == RequestKind::Unsafe && attempt_)
        return;
    recordPossibleExecution();
    // A pending placement finds the exchange finished and is released.
    endAttempt(AttemptOutcome::Abandoned, "caller_gone");
    finish({ .status = 0, .reason = "caller_gone" });
}

void Exchange::endForShutdown()
{
    if (finished_)
        return;
    const auto guard = shared_from_this();
    recordPossibleExecution();
    endAttempt(AttemptOutcome::Abandoned, "stopping");
    if (streamVersion_)
        streamVersion_->dropHeld();
    refuse("stopping");
}

void Exchange::callerWritable()
{
    if (connection_)
        connection_->resume();
}

} // namespace auburn::gateway
