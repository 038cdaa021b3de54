#include "relaysession.h"

#include "auburn/core/log.h"

#include <boost/asio/post.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace auburn {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

// A grant that arrives after its time is given back; an owner that only sends such grants is
// treated as one without backend servers.
constexpr unsigned kMaxLapsedGrants = 3;
// Memory of a session and its connection to a backend server, with the input buffer of 16 KiB.
constexpr std::size_t kSessionBytes = std::size_t{ 24 } * 1024;
// Resumes of one stream that bring no new event before the stream is given up.
constexpr unsigned kMaxIdleResumes = 2;

std::string kindName(ServiceKind kind)
{
    return kind == ServiceKind::Engine ? "openai" : "plain";
}

bool isOwnField(http::field name)
{
    switch (name) {
    case http::field::connection:
    case http::field::keep_alive:
    case http::field::proxy_connection:
    case http::field::transfer_encoding:
    case http::field::content_length:
    case http::field::te:
    case http::field::trailer:
    case http::field::upgrade:
    case http::field::proxy_authenticate:
        return true;
    default:
        return false;
    }
}

AnswerHead answerHeadOf(const CallEvents::Header &header)
{
    AnswerHead head;
    head.status = static_cast<int>(header.result_int());
    for (const auto &field : header) {
        const auto name = field.name_string();
        const bool isId = boost::beast::iequals(name, "X-Request-Id");
        const bool isVerdict = boost::beast::iequals(name, "Auburn-Verdict");
        if (isOwnField(field.name()) || isId || isVerdict)
            continue;
        head.fields.push_back({ std::string(name), std::string(field.value()) });
    }
    return head;
}

bool isEventStream(const CallEvents::Header &header)
{
    const auto type = header[http::field::content_type];
    return header.result_int() == 200 && type.starts_with("text/event-stream");
}

std::optional<std::uint64_t> toNumber(std::string_view text)
{
    std::uint64_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != text.data() + text.size())
        return std::nullopt;
    return value;
}

SlotOutcome failedOutcome(const CallResult &result)
{
    if (result.verdict == Verdict::DidNotRun)
        return SlotOutcome::BackendServerUnreachable;
    return SlotOutcome::Failed;
}

} // namespace

RelaySession::RelaySession(WorkerContext &worker, RelayRequest request, HeldMemory memory,
                           OrganisationLimiter::Ticket ticket, AnswerWriter &writer)
    : inFlight_(worker.shared.inFlight)
    , worker_(worker)
    , request_(std::move(request))
    , memory_(std::move(memory))
    , ticket_(std::move(ticket))
    , writer_(&writer)
    , kind_(BackendServerKindRegistry::make(kindName(request_.service.kind)))
    , deadline_(worker.io, [this] { deadlinePassed(); })
    , answerMemory_(worker.shared.memory)
{}

RelaySession::~RelaySession()
{
    if (call_)
        call_->close();
}

std::size_t RelaySession::heldBytes(const RelayRequest &request)
{
    // The attempt has a copy of the body and the fields.
    std::size_t bytes = kSessionBytes + request.body.capacity() + request.body.size();
    for (const HeaderField &field : request.fields)
        bytes += 2 * (sizeof(HeaderField) + field.name.size() + field.value.size());
    return bytes;
}

void RelaySession::start()
{
    if (RequestObserver *observer = worker_.shared.options.observer)
        trace_ = observer->received(request_);
    worker_.shared.retryBudget.addRequest();
    deadline_.set(request_.deadline);
    if (!kind_) {
        fail({ .code = RefusalCode::NoBackendServerAvailable,
               .message = "unknown kind of backend server" });
        return;
    }
    if (request_.nonIdempotent)
        requestClaim();
    else
        requestSlot();
}

// ---- Claim -----------------------------------------------------------------

void RelaySession::requestClaim()
{
    ClaimService *claims = worker_.shared.options.claims;
    if (!claims) {
        fail({ .code = RefusalCode::LogUnavailable,
               .message = "non-idempotent requests are not served: no log of claims" });
        return;
    }
    if (trace_)
        trace_->claimBegin();
    ClaimRequest demand{ .requestId = request_.id,
                         .organisation = request_.organisation,
                         .key = request_.idempotencyKey,
                         .body = request_.body };
    claims->claim(std::move(demand), [self = shared_from_this()](ClaimResult answer) {
        asio::post(self->worker_.io, [self, answer = std::move(answer)]() mutable {
            self->claimAnswered(std::move(answer));
        });
    });
}

void RelaySession::claimAnswered(ClaimResult answer)
{
    auto *won = std::get_if<WonClaim>(&answer);
    if (won)
        claim_ = std::move(*won);
    if (finished_) {
        finishClaim();
        return;
    }
    if (trace_)
        trace_->claimEnd(won != nullptr);
    if (won)
        requestSlot();
    else
        fail(std::get<Refusal>(std::move(answer)));
}

void RelaySession::finishClaim()
{
    if (!claim_)
        return;
    ExecutionOutcome end = ExecutionOutcome::Unknown;
    if (verdict_ == Verdict::DidNotRun)
        end = ExecutionOutcome::Released;
    if (verdict_ == Verdict::Ran)
        end = ExecutionOutcome::Completed;
    worker_.shared.options.claims->finish(*claim_, end);
    claim_.reset();
}

// ---- Slot ------------------------------------------------------------------

void RelaySession::requestSlot()
{
    waitingForSlot_ = true;
    if (trace_)
        trace_->queueBegin();
    SlotRequest demand{ .requestId = request_.id,
                        .traceparent = trace_ ? trace_->traceparent() : request_.traceparent,
                        .service = request_.service.name,
                        .tier = request_.tier,
                        .organisation = request_.organisation,
                        .prefixHash = request_.prefixHash,
                        .promptTokens = request_.promptTokens,
                        .fingerprint = request_.fingerprint,
                        .deadline = request_.deadline,
                        .excludedBackendServers = excludedBackendServers_ };
    SlotSource *slots = worker_.shared.options.slots;
    slots->request(std::move(demand), [self = shared_from_this()](SlotAnswer answer) {
        asio::post(self->worker_.io, [self, answer = std::move(answer)]() mutable {
            self->slotAnswered(std::move(answer));
        });
    });
}

void RelaySession::slotAnswered(SlotAnswer answer)
{
    waitingForSlot_ = false;
    auto *granted = std::get_if<GrantedSlot>(&answer);
    if (finished_) {
        // The grant was on its way to this thread when the request was withdrawn.
        if (granted)
            worker_.shared.options.slots->release(*granted, {});
        return;
    }
    if (trace_)
        trace_->queueEnd(granted != nullptr);
    if (!granted) {
        Refusal refusal = std::get<Refusal>(std::move(answer));
        // An earlier attempt may have run even if this slot was refused.
        refusal.verdict = mergeVerdicts(refusal.verdict, verdict_);
        fail(std::move(refusal));
        return;
    }
    slot_ = std::move(*granted);
    if (Clock::now() <= slot_->dispatchDeadline) {
        dispatch();
        return;
    }
    releaseSlot(SlotOutcome::Unused);
    if (++lapsedGrants_ < kMaxLapsedGrants)
        requestSlot();
    else
        fail({ .code = RefusalCode::NoBackendServerAvailable,
               .verdict = verdict_,
               .message = "slots were granted too late to be used" });
}

void RelaySession::releaseSlot(SlotOutcome outcome)
{
    if (!slot_)
        return;
    // The fingerprint accuses the request of a crash, so a backend server that is silent or answers
    // with an error does not count.
    SlotReport report{ .outcome = outcome,
                       .tokens = attemptTokens_,
                       .fingerprint = request_.fingerprint,
                       .crashed = outcome == SlotOutcome::Failed && attemptCrashed_ };
    if (attemptTokens_ > 0)
        report.firstToken = std::chrono::duration_cast<std::chrono::microseconds>(firstTokenAt_
                                                                                  - dispatched_);
    if (attemptTokens_ > 1)
        report.tokenGap = std::chrono::duration_cast<std::chrono::microseconds>(lastTokenAt_
                                                                                - firstTokenAt_)
                          / (attemptTokens_ - 1);
    worker_.shared.options.slots->release(*slot_, report);
    slot_.reset();
}

// ---- Attempt ---------------------------------------------------------------

void RelaySession::dispatch()
{
    ++attempt_;
    attemptId_ = request_.id + "-" + std::to_string(attempt_);
    attemptSent_ = false;
    attemptCrashed_ = false;
    attemptTokens_ = 0;
    attemptOpen_ = true;
    dispatched_ = Clock::now();
    resuming_ = false;
    resumesWithoutProgress_ = 0;
    attemptTraceparent_ = request_.traceparent;
    if (trace_)
        attemptTraceparent_ = trace_->attemptBegin(slot_->backendServer, attempt_);
    startCall(kind_->message(request_, attemptId_, attemptTraceparent_), request_.nonIdempotent);
}

void RelaySession::startCall(BackendServerMessage message, bool fresh)
{
    body_.clear();
    bodyTooLarge_ = false;
    answerMemory_.resize(body_.capacity());
    headIsStream_ = false;
    scanner_.reset();
    call_ = worker_.backendServers.call(
            BackendServerDial{ .address = slot_->address,
                               .message = std::move(message),
                               .freshConnection = fresh,
                               .idleTimeout = request_.service.idleTimeout },
            *this);
}

void RelaySession::callHead(const Header &header)
{
    const bool isStream = request_.stream && isEventStream(header);
    if (resuming_) {
        // An engine that cannot resume answers with an error; there is nothing to relay then.
        headIsStream_ = isStream;
        return;
    }
    head_ = answerHeadOf(header);
    headIsStream_ = isStream;
}

void RelaySession::callData(const std::vector<std::string_view> &data)
{
    // A callback may end the request and drop the last reference to it.
    const auto self = shared_from_this();
    if (headIsStream_)
        relayEvents(data);
    else
        collectBody(data);
}

void RelaySession::relayEvents(const std::vector<std::string_view> &data)
{
    pieces_.clear();
    newTokens_ = 0;
    for (const std::string_view view : data)
        scanner_.feed(view, [this](const SseEvent &event) { acceptEvent(event); });
    if (scanner_.pendingBytes() > worker_.shared.options.limits.relayBufferBytes)
        sequenceBroken_ = true;
    answerMemory_.resize(body_.capacity() + scanner_.pendingBytes());
    if (newTokens_ > 0)
        countTokens(newTokens_);
    sendPieces();
    scanner_.release();
    if (streamDone_)
        streamDone();
    else if (sequenceBroken_ || backendServerSentError_)
        attemptFailed({ .end = CallEnd::Broken,
                        .verdict = Verdict::Ran,
                        .error = sequenceBroken_
                                         ? "gap in the backend server's events"
                                         : "the backend server ended its stream with an error" });
}

void RelaySession::acceptEvent(const SseEvent &event)
{
    if (streamDone_ || backendServerSentError_ || sequenceBroken_)
        return;
    if (event.error) {
        backendServerSentError_ = true;
        return;
    }
    if (isRepeatedEvent(event) || sequenceBroken_)
        return;
    if (!event.id.empty())
        lastEventId_.assign(event.id);
    streamDone_ = event.done;
    if (event.hasData && !event.done)
        ++newTokens_;
    const bool contiguous = !pieces_.empty()
                            && pieces_.back().data() + pieces_.back().size() == event.text.data();
    if (contiguous)
        pieces_.back() = std::string_view(pieces_.back().data(),
                                          pieces_.back().size() + event.text.size());
    else
        pieces_.push_back(event.text);
}

// Numbered events must follow each other without a gap; a resumed stream may repeat some.
bool RelaySession::isRepeatedEvent(const SseEvent &event)
{
    if (event.id.empty() || lastEventId_.empty())
        return false;
    const auto last = toNumber(lastEventId_);
    const auto current = toNumber(event.id);
    if (!last || !current)
        return false;
    if (*current > *last + 1)
        sequenceBroken_ = true;
    return *current <= *last;
}

void RelaySession::sendPieces()
{
    if (pieces_.empty())
        return;
    // Comments before the first token do not commit the caller to this attempt.
    if (!streamBegun_ && attemptTokens_ == 0 && !streamDone_)
        return;
    resumesWithoutProgress_ = 0;
    bool ready = false;
    if (streamBegun_) {
        ready = writer_->sendData(pieces_);
    } else {
        streamBegun_ = true;
        httpStatus_ = head_.status;
        ready = writer_->beginStream(head_, pieces_);
    }
    if (!ready)
        call_->pause();
}

void RelaySession::countTokens(unsigned count)
{
    const auto now = Clock::now();
    if (attemptTokens_ == 0) {
        firstTokenAt_ = now;
        if (trace_)
            trace_->firstToken(
                    std::chrono::duration_cast<std::chrono::microseconds>(now - request_.received));
    } else if (trace_) {
        trace_->tokenGap(std::chrono::duration_cast<std::chrono::microseconds>(now - lastTokenAt_));
    }
    lastTokenAt_ = now;
    attemptTokens_ += count;
    tokens_ += count;
}

void RelaySession::streamDone()
{
    verdict_ = Verdict::Ran;
    call_->detach();
    call_.reset();
    endAttemptTrace(true, {});
    releaseSlot(SlotOutcome::Completed);
    AnswerWriter *writer = std::exchange(writer_, nullptr);
    writer->endStream(true);
    bytesSent_ = writer->bytesSent();
    finish(std::nullopt, true);
}

void RelaySession::collectBody(const std::vector<std::string_view> &data)
{
    std::size_t bytes = 0;
    for (const std::string_view view : data)
        bytes += view.size();
    bodyTooLarge_ = body_.size() + bytes > worker_.shared.options.backendServers.answerBytes;
    if (!bodyTooLarge_) {
        if (!reserveAnswer(bytes))
            return;
        for (const std::string_view view : data)
            body_.append(view);
        return;
    }
    attemptFailed({ .end = CallEnd::Broken,
                    .verdict = Verdict::Ran,
                    .error = "the backend server's answer is too large" });
}

bool RelaySession::reserveAnswer(std::size_t bytes)
{
    const std::size_t needed = body_.size() + bytes;
    if (needed <= body_.capacity())
        return true;
    const std::size_t grown = std::max(needed, 2 * body_.capacity());
    if (answerMemory_.tryResize(grown)) {
        body_.reserve(grown);
        return true;
    }
    // Another attempt would meet the same shortage, and the backend server is not at fault. The
    // verdict says that the request has run.
    memoryShort_ = true;
    verdict_ = mergeVerdicts(verdict_, Verdict::Ran);
    fail({ .code = RefusalCode::BackendServerFailed,
           .verdict = verdict_,
           .message = "the daemon has no memory left for the answer" });
    return false;
}

void RelaySession::callEnded(const CallResult &result)
{
    const auto self = shared_from_this();
    if (result.end != CallEnd::Complete) {
        attemptFailed(result);
        return;
    }
    if (!headIsStream_ && !resuming_) {
        wholeAnswerComplete();
        return;
    }
    CallResult incomplete = result;
    incomplete.error = resuming_ ? "the backend server did not resume the stream"
                                 : "the stream ended without [DONE]";
    attemptFailed(incomplete);
}

void RelaySession::wholeAnswerComplete()
{
    const bool serverError = head_.status >= 500;
    if (serverError && mayRetry(Verdict::Ran) && worker_.shared.retryBudget.takeRetry()) {
        verdict_ = Verdict::Ran;
        call_.reset();
        endAttemptTrace(false, "status " + std::to_string(head_.status));
        excludedBackendServers_.push_back(slot_->backendServer);
        releaseSlot(SlotOutcome::Failed);
        requestSlot();
        return;
    }
    verdict_ = Verdict::Ran;
    call_.reset();
    const unsigned tokens = serverError ? 0 : kind_->tokensIn(body_);
    tokens_ += tokens;
    endAttemptTrace(!serverError, {});
    releaseSlot(serverError ? SlotOutcome::Failed : SlotOutcome::Completed);
    AnswerWriter *writer = std::exchange(writer_, nullptr);
    AnswerHead head = std::move(head_);
    std::string body = std::move(body_);
    head.fields.push_back({ "Auburn-Verdict", std::string(verdictName(verdict_)) });
    httpStatus_ = head.status;
    writer->sendWhole(std::move(head), std::move(body));
    answerMemory_.resize(0);
    bytesSent_ = writer->bytesSent();
    finish(std::nullopt, !serverError);
}

// ---- Failure ---------------------------------------------------------------

void RelaySession::attemptFailed(const CallResult &result)
{
    attemptSent_ = attemptSent_ || result.verdict != Verdict::DidNotRun;
    verdict_ = mergeVerdicts(verdict_, result.verdict);
    const bool ownDecision = backendServerSentError_ || sequenceBroken_ || bodyTooLarge_;
    const bool lost = result.end == CallEnd::Broken || result.end == CallEnd::ConnectFailed;
    attemptCrashed_ = attemptSent_ && lost && !ownDecision;
    call_->close();
    call_.reset();
    logEvent(LogLevel::Info, "attempt_failed",
             { { "request", request_.id },
               { "backend_server", slot_->backendServer },
               { "verdict", verdictName(result.verdict) },
               { "error", result.error } });
    if (result.stalePooled && !streamBegun_ && mayRetry(result.verdict)) {
        // The backend server closed an idle connection, as servers do at any time. The request is
        // idempotent, so it is sent again over a new connection; that is not held against the
        // backend server or the budget. Its id differs, so that a cancellation cannot hit the wrong
        // one.
        attemptId_ += "r";
        startCall(kind_->message(request_, attemptId_, attemptTraceparent_), true);
        return;
    }
    const bool resumeRefused = resuming_ && result.end == CallEnd::Complete && !headIsStream_;
    if (streamBegun_ && !resumeRefused && tryResume())
        return;
    // A backend server that dropped the connection may still be computing.
    if (attemptSent_)
        cancelAttempt();
    const Refusal refusal{ .code = RefusalCode::BackendServerFailed,
                           .verdict = verdict_,
                           .message = "the backend server failed: " + result.error };
    endAttemptTrace(false, result.error);
    excludedBackendServers_.push_back(slot_->backendServer);
    releaseSlot(attemptSent_ ? SlotOutcome::Failed : failedOutcome(result));
    wastedTokens_ += attemptTokens_;
    if (streamBegun_) {
        breakStream(refusal);
        return;
    }
    tokens_ -= attemptTokens_;
    backendServerSentError_ = false;
    sequenceBroken_ = false;
    lastEventId_.clear();
    if (mayRetry(result.verdict) && worker_.shared.retryBudget.takeRetry())
        requestSlot();
    else
        fail(refusal);
}

bool RelaySession::mayRetry(Verdict attemptVerdict) const
{
    if (finished_ || streamBegun_)
        return false;
    if (attempt_ >= worker_.shared.options.backendServers.attempts)
        return false;
    return !request_.nonIdempotent || attemptVerdict == Verdict::DidNotRun;
}

bool RelaySession::tryResume()
{
    if (backendServerSentError_ || sequenceBroken_ || lastEventId_.empty())
        return false;
    if (++resumesWithoutProgress_ > kMaxIdleResumes)
        return false;
    std::optional<BackendServerMessage> message = kind_->resume(attemptId_, lastEventId_);
    if (!message)
        return false;
    resuming_ = true;
    startCall(std::move(*message), true);
    return true;
}

void RelaySession::cancelAttempt()
{
    if (!slot_ || attempt_ == 0)
        return;
    if (std::optional<BackendServerMessage> message = kind_->cancel(attemptId_))
        worker_.backendServers.notify(slot_->address, std::move(*message));
}

void RelaySession::endAttemptTrace(bool complete, const std::string &error)
{
    if (!std::exchange(attemptOpen_, false) || !trace_)
        return;
    trace_->attemptEnd(AttemptEnd{
            .verdict = verdict_, .complete = complete, .error = error, .tokens = attemptTokens_ });
}

const char *RelaySession::cancelReason() const
{
    if (callerGone_)
        return "the caller has gone";
    return memoryShort_ ? "no memory left for the answer" : "deadline exceeded";
}

void RelaySession::deadlinePassed()
{
    if (finished_)
        return;
    const auto self = shared_from_this();
    if (call_)
        verdict_ = mergeVerdicts(verdict_, call_->verdict());
    const Refusal refusal{ .code = RefusalCode::DeadlineExceeded,
                           .verdict = verdict_,
                           .message = "the request did not complete within its time limit" };
    if (streamBegun_)
        breakStream(refusal);
    else
        fail(refusal);
}

void RelaySession::callerGone()
{
    const auto self = shared_from_this();
    writer_ = nullptr;
    if (finished_)
        return;
    callerGone_ = true;
    finish(std::nullopt, false);
}

void RelaySession::callerReady()
{
    if (call_)
        call_->resume();
}

void RelaySession::fail(Refusal refusal)
{
    refusal.verdict = mergeVerdicts(refusal.verdict, verdict_);
    if (AnswerWriter *writer = std::exchange(writer_, nullptr)) {
        httpStatus_ = refusalHttpStatus(refusal.code);
        writer->refuse(refusal);
        bytesSent_ = writer->bytesSent();
    }
    finish(refusal.code, false);
}

void RelaySession::breakStream(const Refusal &refusal)
{
    if (AnswerWriter *writer = std::exchange(writer_, nullptr)) {
        std::string event = "event: error\ndata: {\"error\":{\"message\":\"";
        event.append("the stream is incomplete\",\"type\":\"server_error\",\"code\":\"")
                .append(refusalCodeName(refusal.code))
                .append("\",\"param\":null}}\n\n");
        writer->sendData({ event });
        writer->endStream(false);
        bytesSent_ = writer->bytesSent();
    }
    finish(refusal.code, false);
}

void RelaySession::finish(std::optional<RefusalCode> refusal, bool complete)
{
    finished_ = true;
    deadline_.clear();
    if (waitingForSlot_)
        worker_.shared.options.slots->cancel(request_.id);
    if (call_) {
        verdict_ = mergeVerdicts(verdict_, call_->verdict());
        call_->close();
        call_.reset();
        if (verdict_ != Verdict::DidNotRun)
            cancelAttempt();
        endAttemptTrace(false, cancelReason());
        wastedTokens_ += attemptTokens_;
    }
    releaseSlot(SlotOutcome::Cancelled);
    finishClaim();
    if (!trace_)
        return;
    RequestEnd end{ .verdict = verdict_,
                    .httpStatus = httpStatus_,
                    .refusal = refusal,
                    .complete = complete,
                    .callerGone = callerGone_,
                    .tokens = tokens_,
                    .wastedTokens = wastedTokens_,
                    .bytesToCaller = bytesSent_,
                    .attempts = attempt_,
                    .duration = std::chrono::duration_cast<std::chrono::microseconds>(
                            Clock::now() - request_.received) };
    trace_->end(end);
    trace_.reset();
}

} // namespace auburn
