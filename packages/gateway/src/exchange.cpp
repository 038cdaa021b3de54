#include "exchange.h"

#include "beastview.h"
#include "requestrecord.h"
#include "retryafter.h"

#include "auburn/core/hash.h"
#include "auburn/core/log.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace auburn::gateway {

using routing::AttemptOutcome;
using routing::RequestKind;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kConnectTimeout{ 300 };
// Unsafe requests avoid connections that the server may just be closing.
constexpr milliseconds kUnsafeMaxIdle{ 700 };
constexpr milliseconds kMaxIdle{ 60000 };
// A server gets no request that has less time left than this.
constexpr milliseconds kLeastUsefulTime{ 15 };
constexpr unsigned kMaxRejections = 2;
// Prompt tokens at one engine that other daemons take into account at once; about 15 ms of its
// time.
constexpr std::uint64_t kNoteworthyTokens = 1000;
constexpr unsigned kMaxConnectFailures = 3;
constexpr std::size_t kMaxWholeAnswer = std::size_t{ 16 } * 1024 * 1024;
constexpr milliseconds kShortestRetryAfter{ 100 };
constexpr milliseconds kLongestRetryAfter{ 1000 };
constexpr milliseconds kLeastStall{ 150 };
constexpr milliseconds kLeastStreamStall{ 600 };
// A stalled attempt that no other server could take is looked at again after this time.
constexpr milliseconds kStallRecheck{ 250 };
// A choice of a server that takes longer was delayed by a pause of this daemon or the owner; far
// more than any owner's time limit.
constexpr milliseconds kChoiceLifetime{ 500 };
// An event that is not complete within this size.
constexpr std::size_t kMaxEvent = std::size_t{ 1024 } * 1024;

milliseconds timeLimit(const CallerRequest &request)
{
    const milliseconds timeout = request.route->timeout;
    return request.deadline ? std::min(*request.deadline, timeout) : timeout;
}

} // namespace

Exchange::Exchange(GatewayCore &core, CallerRequest request, AnswerSink *sink)
    : core_(core)
    , request_(std::move(request))
    , fingerprint_(requestFingerprint(request_))
    , sink_(sink)
    , deadlineAt_(request_.received + timeLimit(request_))
    , deadline_(core.io, [this] { deadlinePassed(); })
    , stall_(core.io, [this] { stalled(); })
    , stream_(request_.lastEventId)
{
    ++core_.requests;
}

Exchange::~Exchange()
{
    --core_.requests;
}

void Exchange::start()
{
    self_ = shared_from_this();
    const auto now = std::chrono::steady_clock::now();
    core_.state.retries.recordRequest(now);
    const std::string &name = routing::pickService(*request_.route, stableHash(request_.id));
    service_ = request_.config->findService(name);
    if (!service_) {
        refuse("unknown_service");
        return;
    }
    if (core_.state.crashes.isBlocked(fingerprint_, now)) {
        refuse("crashes_servers");
        return;
    }
    deadline_.setAfter(timeLeft());
    nextAttempt();
}

// ---- Attempts --------------------------------------------------------------

bool Exchange::isRepeatable() const
{
    const routing::Route &route = *request_.route;
    return route.kind == RequestKind::Safe
           || (route.kind == RequestKind::Stream && route.resumable);
}

routing::PlacementQuery Exchange::placementQuery() const
{
    return { .requestId = request_.id,
             .service = service_,
             .prompt = request_.prompt,
             .urgency = request_.config->urgency(service_->name, *request_.route,
                                                 request_.organisation),
             .timeToTarget = duration_cast<milliseconds>(
                     request_.received + request_.route->latencyTarget - Clock::now()),
             .excluded = excluded_,
             .gapSensitiveStream = service_->engine
                                   && routing::isGapSensitive(*request_.route, *service_->engine),
             .repeatable = isRepeatable() && runs_ + 1 < request_.route->maxAttempts };
}

milliseconds Exchange::timeLeft() const
{
    return duration_cast<milliseconds>(deadlineAt_ - Clock::now());
}

void Exchange::nextAttempt()
{
    if (timeLeft() < kLeastUsefulTime) {
        deadlinePassed();
        return;
    }
    askedAt_ = Clock::now();
    core_.options.placement->place(
            placementQuery(), timeLeft(),
            [self = shared_from_this()](const std::optional<routing::PlacementChoice> &choice) {
                self->placed(choice);
            });
}

void Exchange::placed(const std::optional<routing::PlacementChoice> &choice)
{
    const bool wanted = !finished_ && sink_;
    const bool outdated = isOutdated();
    if (choice && (!wanted || outdated))
        returnPlacement(*choice);
    if (!wanted)
        return;
    if (outdated) {
        recordOutdatedChoice(request_, choice, duration_cast<milliseconds>(Clock::now() - askedAt_),
                             timeLeft());
        nextAttempt();
    } else if (choice) {
        startAttempt(*choice);
    } else {
        refuse("no_server");
    }
}

bool Exchange::isOutdated() const
{
    return Clock::now() - askedAt_ > kChoiceLifetime || timeLeft() < kLeastUsefulTime;
}

void Exchange::returnPlacement(const routing::PlacementChoice &choice)
{
    core_.options.placement->attemptEnded(choice, false, AttemptOutcome::Abandoned);
}

void Exchange::startAttempt(const routing::PlacementChoice &choice)
{
    ++attempts_;
    attempt_ = choice;
    attemptStart_ = Clock::now();
    progressed_ = false;
    status_ = 0;
    sealed_ = false;
    notExecuted_ = false;
    isStream_ = false;
    fields_.clear();
    body_.clear();
    stream_.attemptStarted();
    if (choice.uncachedTokens >= kNoteworthyTokens && core_.options.largeRequestPlaced)
        core_.options.largeRequestPlaced();
    connection_ = core_.pool->take(choice.address, isRepeatable() ? kMaxIdle : kUnsafeMaxIdle);
    recordPlacement({ .request = request_,
                      .choice = choice,
                      .service = service_->name,
                      .attempt = attempts_,
                      .reusesConnection = connection_->isConnected(),
                      .timeLeft = timeLeft() });
    watchForStall();
    connection_->call(buildRequest(choice), std::min(kConnectTimeout, timeLeft()), this);
}

OutboundRequest Exchange::buildRequest(const routing::PlacementChoice &choice) const
{
    const HeaderNames &dialect = core_.options.headerNames;
    std::string head;
    head.reserve(1024);
    const auto add = [&head](std::string_view name, std::string_view value) {
        head.append(name).append(": ").append(value).append("\r\n");
    };
    head.append(request_.method).append(" ").append(request_.target).append(" HTTP/1.1\r\n");
    add("Host", request_.host);
    for (const HeaderField &field : request_.fields)
        add(field.name, field.value);
    add(dialect.deadline, std::to_string(timeLeft().count()));
    add(dialect.expectedServer, choice.serverId);
    if (request_.organisation)
        add(dialect.organisation, request_.organisation->name);
    if (service_->engine)
        add(dialect.urgency, std::to_string(choice.urgency));
    if (!stream_.lastEventId().empty())
        add(dialect.lastEventId, stream_.lastEventId());
    if (request_.body)
        add("Content-Length", std::to_string(request_.body->size()));
    else if (request_.method != "GET" && request_.method != "HEAD")
        add("Content-Length", "0");
    head.append("\r\n");
    return { .head = std::move(head), .body = request_.body };
}

void Exchange::watchForStall()
{
    if (isRepeatable())
        stall_.setAfter(stallLimit());
}

// A request that may be repeated is sent to another server after this time without progress.
milliseconds Exchange::stallLimit() const
{
    const routing::Route &route = *request_.route;
    const auto predicted = duration_cast<milliseconds>(attempt_->predicted);
    if (route.kind == RequestKind::Safe)
        return std::max({ kLeastStall, route.latencyTarget * 3 / 5, predicted * 3 });
    if (progressed_)
        return std::max(kLeastStreamStall, route.gapTarget * 4);
    return std::max({ kLeastStreamStall, route.latencyTarget * 3 / 2, predicted * 3 });
}

void Exchange::stalled()
{
    if (finished_ || !attempt_ || !sink_)
        return;
    const auto guard = shared_from_this();
    const bool mayRun = runs_ + 1 < request_.route->maxAttempts;
    excluded_.push_back(attempt_->serverId);
    const auto now = std::chrono::steady_clock::now();
    const auto other = core_.state.placement.choose(core_.state.directory, placementQuery(), now);
    const bool useful = other && !core_.state.placement.isAvoided(other->serverId, now)
                        && timeLeft() > duration_cast<milliseconds>(other->predicted);
    if (!mayRun || !useful || !takeRetry()) {
        excluded_.pop_back();
        stall_.setAfter(kStallRecheck);
        return;
    }
    if (connection_->isConnected()) {
        ++runs_;
        verdict_ = mergeVerdicts(verdict_, Verdict::MayHaveRun);
    }
    endAttempt(AttemptOutcome::Failed, "stalled");
    nextAttempt();
}

bool Exchange::takeRetry()
{
    return core_.state.retries.tryConsumeRetry(std::chrono::steady_clock::now());
}

void Exchange::endAttempt(AttemptOutcome outcome, std::string_view reason)
{
    if (!attempt_)
        return;
    stall_.clear();
    core_.options.placement->attemptEnded(*attempt_, progressed_, outcome);
    recordAttempt({ .request = request_,
                    .server = attempt_->serverId,
                    .service = service_->name,
                    .attempt = attempts_,
                    .outcome = outcome,
                    .reason = reason,
                    .status = status_,
                    .verdict = verdict_,
                    .duration = duration_cast<milliseconds>(Clock::now() - attemptStart_) },
                  core_.options.metrics);
    attempt_.reset();
    if (connection_) {
        if (outcome == AttemptOutcome::Succeeded || outcome == AttemptOutcome::ServerError
            || connection_->isReusable())
            core_.pool->put(connection_,
                            idleConnectionLimit(service_->maxConnections, core_.state.liveDaemons));
        else
            connection_->close();
        connection_.reset();
    }
}

// ---- Answers of servers ----------------------------------------------------

AnswerOwner Exchange::ownerOf(const AnswerHeader &header)
{
    const auto id = view(header[core_.options.headerNames.requestId]);
    if (id.empty())
        return AnswerOwner::Unnamed;
    if (id == request_.id)
        return AnswerOwner::ThisCall;
    logEvent(LogLevel::Warning, "foreign_answer_dropped",
             { { "id", request_.id }, { "server", attempt_->serverId }, { "answer_id", id } });
    return AnswerOwner::AnotherCall;
}

void Exchange::noteLoad(const AnswerHeader &header)
{
    const std::string_view text = view(header[core_.options.headerNames.serverLoad]);
    routing::LoadReport report;
    const char *last = text.data() + text.size();
    auto parsed = std::from_chars(text.data(), last, report.running);
    if (parsed.ec != std::errc() || parsed.ptr == last)
        return;
    parsed = std::from_chars(parsed.ptr + 1, last, report.waiting);
    if (parsed.ec != std::errc() || parsed.ptr == last)
        return;
    parsed = std::from_chars(parsed.ptr + 1, last, report.slots);
    if (parsed.ec == std::errc())
        core_.state.placement.recordLoadReport(attempt_->serverId, report,
                                               std::chrono::steady_clock::now());
}

void Exchange::answerBegun(const AnswerHeader &header)
{
    const HeaderNames &dialect = core_.options.headerNames;
    status_ = static_cast<int>(header.result_int());
    sealed_ = !header[dialect.responseSeal].empty();
    notExecuted_ = !header[dialect.notExecuted].empty() || status_ == 421;
    fields_ = endToEndFields(header);
    noteLoad(header);
    if (!notExecuted_)
        verdict_ = Verdict::Ran;
    isStream_ = request_.route->kind == RequestKind::Stream && status_ == 200 && sealed_;
    if (!isStream_ && !notExecuted_)
        noteProgress();
}

void Exchange::noteProgress()
{
    if (progressed_)
        return;
    progressed_ = true;
    const auto now = Clock::now();
    core_.options.placement->attemptProgressed(
            *attempt_, duration_cast<std::chrono::microseconds>(now - attemptStart_));
}

void Exchange::answerData(const std::vector<std::string_view> &data)
{
    for (const std::string_view bytes : data) {
        if (isStream_)
            stream_.feed(bytes);
        else
            body_.append(bytes);
    }
    if (isStream_)
        forwardEvents();
    const bool endless = isStream_ ? stream_.rest().size() > kMaxEvent
                                   : body_.size() > kMaxWholeAnswer;
    if (endless && attempt_)
        attemptBroken({ .end = CallEnd::Invalid, .error = "the answer is too large" });
}

void Exchange::forwardEvents()
{
    const std::string_view events = stream_.takeEvents(Clock::now());
    if (events.empty() || !sink_)
        return;
    if (stream_.tookEvent()) {
        noteProgress();
        watchForStall();
    }
    beginStream();
    if (sink_)
        sink_->sendStreamData(events);
    if (sink_ && sink_->isBackedUp() && connection_)
        connection_->pause();
}

void Exchange::beginStream()
{
    if (stream_.hasBegun() || !sink_)
        return;
    stream_.setBegun();
    sink_->beginStream({ .status = status_, .fields = fields_ });
}

void Exchange::callEnded(const CallResult &result)
{
    if (finished_ || !attempt_)
        return;
    const auto guard = shared_from_this();
    if (result.end != CallEnd::Complete)
        attemptBroken(result);
    else if (isStream_)
        streamComplete();
    else
        wholeAnswerComplete();
}

void Exchange::streamComplete()
{
    beginStream();
    if (sink_ && !stream_.rest().empty())
        sink_->sendStreamData(stream_.rest());
    endAttempt(AttemptOutcome::Succeeded, {});
    if (sink_)
        sink_->endStream(true);
    finish({ .status = status_, .reason = "served" });
}

void Exchange::wholeAnswerComplete()
{
    if (notExecuted_) {
        serverRejected();
        return;
    }
    if (status_ < 300 && !sealed_) {
        attemptBroken({ .end = CallEnd::Invalid, .error = "a success without the server's seal" });
        return;
    }
    ++runs_;
    if (status_ >= 500 && isRepeatable() && runs_ < request_.route->maxAttempts && sink_
        && timeLeft() > kLeastStall && takeRetry()) {
        excluded_.push_back(attempt_->serverId);
        endAttempt(AttemptOutcome::ServerError, "server_error");
        nextAttempt();
        return;
    }
    passAnswer();
}

void Exchange::passAnswer()
{
    const bool serverError = status_ >= 500;
    const bool promisesNotRun = status_ == 503 || status_ == 429 || status_ == 408;
    const int status = status_;
    AnswerHead head{ .status = status_, .fields = std::move(fields_) };
    std::string body = std::move(body_);
    endAttempt(serverError ? AttemptOutcome::ServerError : AttemptOutcome::Succeeded,
               "server_error");
    if (stream_.hasBegun()) {
        failUnknown("resume_failed");
        return;
    }
    // The server does not say that it did not run the request, but this status would.
    if (promisesNotRun && request_.route->kind != RequestKind::Safe) {
        failUnknown("server_error");
        return;
    }
    if (sink_)
        sink_->sendWhole(std::move(head), std::move(body));
    finish({ .status = status, .reason = serverError ? "server_error" : "served" });
}

void Exchange::serverRejected()
{
    excluded_.push_back(attempt_->serverId);
    ++rejections_;
    endAttempt(AttemptOutcome::Rejected, "rejected");
    if (rejections_ <= kMaxRejections && sink_ && takeRetry())
        nextAttempt();
    else if (verdict_ == Verdict::DidNotRun)
        refuse("servers_full");
    else
        failUnknown("servers_full");
}

void Exchange::attemptBroken(const CallResult &result)
{
    const bool neverSent = result.end == CallEnd::ConnectFailed || result.end == CallEnd::NotSent;
    excluded_.push_back(attempt_->serverId);
    if (neverSent) {
        ++connectFailures_;
        endAttempt(AttemptOutcome::Failed, result.error);
        if (connectFailures_ <= kMaxConnectFailures && sink_)
            nextAttempt();
        else
            refuse("no_connection");
        return;
    }
    ++runs_;
    verdict_ = mergeVerdicts(verdict_, Verdict::MayHaveRun);
    if (result.end == CallEnd::Broken && !result.staleConnection) {
        core_.state.crashes.addCrash(fingerprint_, std::chrono::steady_clock::now());
        if (core_.options.serverDisconnected)
            core_.options.serverDisconnected();
    }
    endAttempt(AttemptOutcome::Failed, result.error);
    const bool blocked = core_.state.crashes.isBlocked(fingerprint_,
                                                       std::chrono::steady_clock::now());
    if (isRepeatable() && !blocked && sink_ && runs_ < request_.route->maxAttempts && takeRetry())
        nextAttempt();
    else
        failUnknown("server_broke_off");
}

// ---- Final answers ---------------------------------------------------------

milliseconds Exchange::retryAfter() const
{
    return std::clamp(timeLeft() / 4, kShortestRetryAfter, kLongestRetryAfter);
}

void Exchange::refuse(const char *reason)
{
    if (verdict_ != Verdict::DidNotRun || stream_.hasBegun()) {
        failUnknown(reason);
        return;
    }
    if (sink_)
        sink_->sendWhole({ .status = 503, .fields = { retryAfterField(retryAfter()) } }, {});
    finish({ .status = 503, .reason = reason });
}

void Exchange::failUnknown(const char *reason)
{
    constexpr int kBadGateway = 502;
    if (stream_.hasBegun()) {
        if (sink_)
            sink_->endStream(false);
    } else if (sink_) {
        sink_->sendWhole({ .status = kBadGateway }, {});
    }
    finish({ .status = stream_.hasBegun() ? status_ : kBadGateway, .reason = reason });
}

void Exchange::noteUnansweredAttempt()
{
    if (attempt_ && connection_ && connection_->isConnected())
        verdict_ = mergeVerdicts(verdict_, Verdict::MayHaveRun);
}

void Exchange::deadlinePassed()
{
    if (finished_)
        return;
    const auto guard = shared_from_this();
    constexpr int kGatewayTimeout = 504;
    noteUnansweredAttempt();
    endAttempt(isRepeatable() || progressed_ ? AttemptOutcome::Abandoned : AttemptOutcome::Failed,
               "deadline");
    if (verdict_ == Verdict::DidNotRun && !stream_.hasBegun()) {
        refuse("deadline");
        return;
    }
    if (stream_.hasBegun()) {
        failUnknown("deadline");
        return;
    }
    if (sink_)
        sink_->sendWhole({ .status = kGatewayTimeout }, {});
    finish({ .status = kGatewayTimeout, .reason = "deadline" });
}

void Exchange::finish(Ending ending)
{
    if (finished_)
        return;
    finished_ = true;
    sink_ = nullptr;
    deadline_.clear();
    stall_.clear();
    recordEnd({ .request = request_,
                .stream = stream_,
                .status = ending.status,
                .reason = ending.reason,
                .verdict = verdict_,
                .attempts = attempts_ },
              core_.options.metrics);
    const auto self = std::move(self_);
}

// ---- The caller ------------------------------------------------------------

void Exchange::callerGone()
{
    sink_ = nullptr;
    if (finished_)
        return;
    const auto guard = shared_from_this();
    // An order that is under way is not broken off; its answer is dropped.
    if (request_.route->kind == RequestKind::Unsafe && attempt_)
        return;
    noteUnansweredAttempt();
    // The answer to a question for a server finds the exchange finished.
    endAttempt(AttemptOutcome::Abandoned, "caller_gone");
    finish({ .status = 0, .reason = "caller_gone" });
}

void Exchange::callerReady()
{
    if (connection_)
        connection_->resume();
}

} // namespace auburn::gateway
