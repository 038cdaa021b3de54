#pragma once

#include "attemptresponse.h"
#include "callerrequest.h"
#include "crashguard.h"
#include "eventstream.h"
#include "gatewaycontext.h"
#include "responsewriter.h"
#include "streamversion.h"

#include "auburn/core/bootclock.h"
#include "auburn/core/lazydeadline.h"
#include "auburn/core/verdict.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburn::gateway {

// Exchange handles one request of a caller from its acceptance to the end of its response.
//
// It tries one backend server after another, as far as the kind of the request and the retry
// budget of this daemon allow, and tracks whether any of them may have run the request. The
// exchange itself responds with status 503, which says that the request did not run, only if that
// is certain.
class Exchange
    : public std::enable_shared_from_this<Exchange>
    , private CallHandler
{
public:
    // The exchange keeps the writer until the response has ended or callerDisconnected() has been
    // called.
    Exchange(GatewayContext &context, CallerRequest request,
             std::shared_ptr<ResponseWriter> writer);
    ~Exchange() override;

    void start();
    // Handles the disconnection of the caller. A request of kind Unsafe continues if an attempt is
    // in progress; any other request is cancelled, also a stream that is not resumable.
    void callerDisconnected();
    // Ends the request truthfully although its attempt is in progress, because the process is about
    // to end.
    void endForShutdown();
    // Resumes reading from the backend server once all pending bytes have been sent to the caller.
    void callerWritable();

private:
    // The deadline of a caller also runs while this VM is suspended.
    using Clock = BootClock;

    // The final status and the reason code, for logs and metrics.
    struct FinalResult
    {
        int status = 0;
        const char *reason = "";
    };

    // True if the caller resumes a stream of an earlier attempt.
    bool resumesStream() const;
    // Requests the first placement once the software version that began the stream is found.
    void findStreamVersion();
    // The end of a stream that has to wait for the events before it.
    struct HeldEnd
    {
        bool complete = false;
        const char *reason = "";
    };

    // Requests a backend server for the next attempt, or ends the exchange if too little time is
    // left.
    void requestPlacement();
    void placementReceived(const std::optional<routing::PlacementChoice> &choice);
    // True if the server still takes requests and has the software version that the stream needs.
    bool isUsable(const routing::PlacementChoice &choice) const;
    // Releases a placement on a server that receives no more requests, and requests another.
    void replacePlacement(const routing::PlacementChoice &choice);
    // True if the placement took so long that its choice is no longer valid.
    bool isChoiceOutdated() const;
    // Releases a placement that is not used.
    void releasePlacement(const routing::PlacementChoice &choice);
    void startAttempt(const routing::PlacementChoice &choice);
    OutboundRequest buildRequest(const routing::PlacementChoice &choice) const;
    // Restarts the stall timer of a repeatable request. Other requests are not abandoned for being
    // slow.
    void startStallTimer();
    std::chrono::milliseconds stallTimeout() const;
    void attemptStalled();
    // Records that the server of an attempt that ends without a response may have run the request.
    void recordPossibleExecution();
    // As above, for an attempt whose request was certainly sent.
    void recordUnansweredAttempt();
    // Reports, once, that a server began to run the request at this time.
    void recordBegin(Clock::time_point at);
    bool isStreamRoute() const;
    // Responds with status 503 if the request certainly did not run, otherwise with status 504, or
    // truncates the stream if it has begun.
    void deadlinePassed();

    ResponseMatch matchResponse(const ResponseHeader &header) override;
    void responseStarted(const ResponseHeader &header) override;
    void responseData(const std::vector<std::string_view> &data) override;
    const char *incompleteReason() const override;
    void callEnded(const CallResult &result) override;

    // Reports the first progress of the attempt to the placement source.
    void reportProgress();
    // Returns why the response is too large to be held, or null if it is not.
    const char *sizeError();
    void forwardEvents();
    // Sends events to the caller, or holds them until they may be sent.
    void sendEvents(std::string_view events);
    // Sends the events that were held, and the end of the stream if it has come meanwhile. If other
    // daemons may not find the version of the stream, it begins anew if it can.
    void releaseHeldEvents(bool isFindable);
    void sendHeldEvents();
    // Begins a stream anew, of which no event was passed on, at the version that daemons find.
    // Returns false if the events that are held have to be passed on instead.
    bool beginAnew();
    // True if a server of the version can begin the stream within the latency target.
    bool canBeginAt(const std::string &version) const;
    // True if the choice would miss the latency target only to keep to a version that is preferred.
    bool isPreferenceTooSlow(const routing::PlacementChoice &choice) const;
    // Sends the head of the response to the caller, once, before the first event.
    void beginStream();
    void streamComplete();
    // Ends the stream, as complete or as broken off, once no event is held any more.
    void endStream(bool complete, const char *reason);
    void responseComplete();
    // Forwards the complete response, unless its status would wrongly say that the request did not
    // run.
    void forwardResponse();
    // Handles a response that declares that the server did not run the request.
    void attemptRejected();
    // Handles an attempt that ended without a valid response.
    void attemptFailed(const CallResult &result);
    // True if the connection of the ended attempt can carry another request.
    bool canReuseConnection(routing::AttemptOutcome outcome) const;
    // Reports the end of the current attempt, if any, and returns its connection to the pool or
    // closes it.
    void endAttempt(routing::AttemptOutcome outcome, std::string_view reason);

    // Handles a connection that broke under the request. wasIdle is true if the server may have
    // closed it before the request arrived.
    void connectionBroke(bool wasIdle);
    // True if the request may run more than once.
    bool isRepeatable() const;
    // Takes one retry from the retry budget of this daemon. Returns false if none is left. The
    // reason tells why the request would be sent again.
    bool takeRetry(std::string_view reason);
    routing::PlacementQuery placementQuery() const;

    // Responds with status 503, or fails with an unknown outcome if a server may have run the
    // request.
    void refuse(const char *reason);
    // Responds with status 502, or truncates the stream if it has begun.
    void failWithUnknownOutcome(const char *reason);
    void finish(FinalResult result);
    std::chrono::milliseconds retryAfter() const;
    std::chrono::milliseconds timeLeft() const;

    GatewayContext &context_;
    const CallerRequest request_;
    const CrashSuspects crashSuspects_;
    const routing::Service *service_ = nullptr;
    std::shared_ptr<ResponseWriter> writer_;
    // Keeps the exchange alive until it is finished, because its calls refer to it.
    std::shared_ptr<Exchange> self_;
    std::chrono::steady_clock::time_point startedAt_;
    const Clock::time_point deadlineAt_;
    LazyDeadline deadlineTimer_;
    LazyDeadline stallTimer_;
    std::shared_ptr<OutboundConnection> connection_;

    std::optional<routing::PlacementChoice> attempt_;
    Clock::time_point attemptStart_;
    // The start of the attempt on the clock of the routing state.
    std::chrono::steady_clock::time_point attemptSentAt_;
    // The start time of the attempt's server when the attempt began.
    std::int64_t serverStartedAtUnixMs_ = 0;
    // The connection of the attempt had carried other requests.
    bool reusesConnection_ = false;
    // An idle connection to the server had carried a request with the same id and was not used.
    bool repeatsId_ = false;
    // The time at which a placement was requested.
    Clock::time_point placementRequestedAt_;
    bool progressed_ = false;
    Clock::time_point progressedAt_;
    std::vector<std::string> excluded_;
    // Number of attempts in which a server may have run the request.
    unsigned possibleExecutions_ = 0;
    unsigned rejections_ = 0;
    unsigned connectFailures_ = 0;
    unsigned attempts_ = 0;
    // Whether a server has run the request, over all attempts.
    Verdict verdict_ = Verdict::DidNotRun;
    bool finished_ = false;
    // Options::requestBegan has been called.
    bool hasBegun_ = false;

    // The response to the current attempt.
    AttemptResponse response_;
    // The memory of the exchange itself and its connection to a server.
    HeldMemory attemptMemory_;
    // The memory of the body, or of the events that are being assembled.
    HeldMemory heldMemory_;

    // The event stream that is sent to the caller.
    EventStream stream_;
    // Set once the service is known.
    std::optional<StreamVersion> streamVersion_;
    // Set if the stream has ended while its events were held.
    std::optional<HeldEnd> heldEnd_;
};

} // namespace auburn::gateway
