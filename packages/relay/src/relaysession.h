// RelaySession: one request from its acceptance to the end of its answer.
//
// Order of the steps: claim (non-idempotent requests only), slot, attempt, release. The claim comes
// first because a claim takes 50 ms to 150 ms (a batch, an append and a read), during which a slot
// that was granted first would stand idle. The price is that a claim can be won and the slot then
// refused; the claim is released in that case, which is certain to be correct, because nothing was
// dispatched. Every claim that was won, also one that is won after the caller has gone, is finished
// exactly once, in finishClaim().
#pragma once

#include "answerwriter.h"
#include "backendservercall.h"
#include "organisationlimiter.h"
#include "ssescanner.h"
#include "workercontext.h"

#include "auburn/claims/claimservice.h"
#include "auburn/core/memorybudget.h"
#include "auburn/relay/requestobserver.h"
#include "auburn/schedule/slotsource.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburn {

class RelaySession
    : public std::enable_shared_from_this<RelaySession>
    , private CallEvents
{
public:
    // The memory is that of the request, see heldBytes(). The writer must live until it was told
    // the end of the answer, or until callerGone().
    RelaySession(WorkerContext &worker, RelayRequest request, HeldMemory memory,
                 OrganisationLimiter::Ticket ticket, AnswerWriter &writer);
    ~RelaySession() override;

    // Bytes of memory that a session for the request takes, apart from the answer.
    static std::size_t heldBytes(const RelayRequest &request);
    // Bytes that this session holds.
    std::size_t heldBytes() const { return memory_.size() + answerMemory_.size(); }

    void start();
    // The caller disconnected: withdraws or cancels whatever is under way.
    void callerGone();
    // The caller has taken the bytes that were waiting.
    void callerReady();

private:
    using Clock = std::chrono::steady_clock;

    void requestClaim();
    void claimAnswered(ClaimResult answer);
    void finishClaim();

    void requestSlot();
    void slotAnswered(SlotAnswer answer);
    void releaseSlot(SlotOutcome outcome);

    void dispatch();
    void startCall(BackendServerMessage message, bool fresh);
    void callHead(const Header &header) override;
    void callData(const std::vector<std::string_view> &data) override;
    void callEnded(const CallResult &result) override;

    void relayEvents(const std::vector<std::string_view> &data);
    void acceptEvent(const SseEvent &event);
    bool isRepeatedEvent(const SseEvent &event);
    void sendPieces();
    void countTokens(unsigned count);
    void streamDone();
    void collectBody(const std::vector<std::string_view> &data);
    // Makes room for more bytes of a plain answer. False if all connections together hold too much.
    bool reserveAnswer(std::size_t bytes);
    void wholeAnswerComplete();

    void attemptFailed(const CallResult &result);
    bool mayRetry(Verdict attemptVerdict) const;
    bool tryResume();
    void cancelAttempt();
    void endAttemptTrace(bool complete, const std::string &error);
    // Why an attempt is cancelled, for its span.
    const char *cancelReason() const;

    void deadlinePassed();
    void fail(Refusal refusal);
    void breakStream(const Refusal &refusal);
    // Common end of every request; later events are ignored.
    void finish(std::optional<RefusalCode> refusal, bool complete);

    // First, so that it is destroyed last: nothing of a request is left when it is not counted.
    InFlightCount inFlight_;
    WorkerContext &worker_;
    const RelayRequest request_;
    const HeldMemory memory_;
    OrganisationLimiter::Ticket ticket_;
    // Null once the answer is complete or the caller has gone.
    AnswerWriter *writer_;
    std::unique_ptr<BackendServerKind> kind_;
    std::unique_ptr<RequestTrace> trace_;
    LazyDeadline deadline_;

    std::optional<WonClaim> claim_;
    std::optional<GrantedSlot> slot_;
    std::shared_ptr<BackendServerCall> call_;
    bool waitingForSlot_ = false;
    bool finished_ = false;
    bool callerGone_ = false;
    // Merged over all attempts.
    Verdict verdict_ = Verdict::DidNotRun;

    unsigned attempt_ = 0;
    std::string attemptId_;
    std::string attemptTraceparent_;
    std::vector<std::string> excludedBackendServers_;
    unsigned lapsedGrants_ = 0;
    // Bytes of this attempt reached the backend server, possibly over an earlier connection.
    bool attemptSent_ = false;
    // The backend server's connection broke after that.
    bool attemptCrashed_ = false;
    bool attemptOpen_ = false;
    Clock::time_point dispatched_;
    Clock::time_point firstTokenAt_;
    Clock::time_point lastTokenAt_;
    unsigned attemptTokens_ = 0;
    unsigned tokens_ = 0;
    unsigned wastedTokens_ = 0;

    int httpStatus_ = 0;
    std::uint64_t bytesSent_ = 0;
    AnswerHead head_;
    bool headIsStream_ = false;
    bool streamBegun_ = false;
    bool streamDone_ = false;
    bool backendServerSentError_ = false;
    bool resuming_ = false;
    unsigned resumesWithoutProgress_ = 0;
    std::string lastEventId_;
    // A plain answer, and its memory or that of an incomplete event.
    std::string body_;
    HeldMemory answerMemory_;
    bool memoryShort_ = false;
    bool bodyTooLarge_ = false;
    SseScanner scanner_;
    std::vector<std::string_view> pieces_;
    unsigned newTokens_ = 0;
    bool sequenceBroken_ = false;
};

} // namespace auburn
