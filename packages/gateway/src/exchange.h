// Exchange: one request of a caller from its acceptance to the end of its answer.
//
// It sends the request to one backend server after the other, as far as the kind of request and the
// retry limit allow, and keeps whether a server may have run it: only a request that certainly did
// not run is answered with a status that says so.
#pragma once

#include "callerrequest.h"
#include "eventstream.h"
#include "gatewaycontext.h"
#include "responsewriter.h"

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

class Exchange
    : public std::enable_shared_from_this<Exchange>
    , private CallHandler
{
public:
    // The sink must live until it was told the end of the answer, or until callerGone().
    Exchange(GatewayContext &context, CallerRequest request, ResponseWriter *writer);
    ~Exchange() override;

    void start();
    // The caller has left. Work that may be repeated is cancelled; an unsafe request goes on.
    void callerDisconnected();
    // The caller has taken what was waiting for it.
    void callerWritable();

private:
    // Callers count their deadlines while this VM is suspended, too.
    using Clock = BootClock;

    // Why the exchange ended, for logs and metrics.
    struct FinalResult
    {
        int status = 0;
        const char *reason = "";
    };

    void requestPlacement();
    void placementReceived(const std::optional<routing::PlacementChoice> &choice);
    // The choice was made too long ago to hold.
    bool isChoiceExpired() const;
    // Gives a placement back that is not used.
    void releasePlacement(const routing::PlacementChoice &choice);
    void startAttempt(const routing::PlacementChoice &choice);
    OutboundRequest buildRequest(const routing::PlacementChoice &choice) const;
    // Only requests that may run again are given up for being slow.
    void startStallTimer();
    std::chrono::milliseconds stallTimeout() const;
    void attemptStalled();
    // Bytes of an attempt that ends without an answer may be at work.
    void recordPossibleExecution();
    void deadlinePassed();

    ResponseMatch matchResponse(const ResponseHeader &header) override;
    void responseStarted(const ResponseHeader &header) override;
    void responseData(const std::vector<std::string_view> &data) override;
    void callEnded(const CallResult &result) override;

    void reportLoad(const ResponseHeader &header);
    void reportProgress();
    void forwardEvents();
    // Sends the head of the answer before the first event.
    void beginStream();
    void streamComplete();
    void responseComplete();
    void forwardResponse();
    void attemptRejected();
    void attemptFailed(const CallResult &result);
    void endAttempt(routing::AttemptOutcome outcome, std::string_view reason);

    bool isRepeatable() const;
    // Another server may run the request; takes one retry from the ledger.
    bool takeRetry();
    routing::PlacementQuery placementQuery() const;

    // Final answers.
    void refuse(const char *reason);
    void failWithUnknownOutcome(const char *reason);
    void finish(FinalResult result);
    std::chrono::milliseconds retryAfter() const;
    std::chrono::milliseconds timeLeft() const;

    GatewayContext &context_;
    const CallerRequest request_;
    const std::uint64_t fingerprint_;
    const routing::Service *service_ = nullptr;
    ResponseWriter *writer_;
    // Keeps the exchange alive while its call may report.
    std::shared_ptr<Exchange> self_;
    const Clock::time_point deadlineAt_;
    LazyDeadline deadlineTimer_;
    LazyDeadline stallTimer_;
    std::shared_ptr<OutboundConnection> connection_;

    std::optional<routing::PlacementChoice> attempt_;
    Clock::time_point attemptStart_;
    // When a server was asked for.
    Clock::time_point placementRequestedAt_;
    bool progressed_ = false;
    std::vector<std::string> excluded_;
    // Attempts whose request may have reached a server's work.
    unsigned possibleExecutions_ = 0;
    unsigned rejections_ = 0;
    unsigned connectFailures_ = 0;
    unsigned attempts_ = 0;
    Verdict verdict_ = Verdict::DidNotRun;
    bool finished_ = false;

    // The answer of the current attempt.
    int status_ = 0;
    bool sealed_ = false;
    bool notExecuted_ = false;
    bool isStream_ = false;
    std::vector<HeaderField> fields_;
    std::string body_;

    // The answer that the caller gets.
    EventStream stream_;
};

} // namespace auburn::gateway
