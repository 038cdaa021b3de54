// Exchange: one request of a caller from its acceptance to the end of its answer.
//
// It sends the request to one backend server after the other, as far as the kind of request and the
// retry limit allow, and keeps whether a server may have run it: only a request that certainly did
// not run is answered with a status that says so.
#pragma once

#include "answersink.h"
#include "callerrequest.h"
#include "gatewaycore.h"
#include "streamanswer.h"

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
    , private CallEvents
{
public:
    // The sink must live until it was told the end of the answer, or until callerGone().
    Exchange(GatewayCore &core, CallerRequest request, AnswerSink *sink);
    ~Exchange() override;

    void start();
    // The caller has left. Work that may be repeated is cancelled; an unsafe request goes on.
    void callerGone();
    // The caller has taken what was waiting for it.
    void callerReady();

private:
    // Callers count their deadlines while this VM is suspended, too.
    using Clock = BootClock;

    // Why the exchange ended, for logs and metrics.
    struct Ending
    {
        int status = 0;
        const char *reason = "";
    };

    void nextAttempt();
    void placed(const std::optional<routing::PlacementChoice> &choice);
    // The choice was made too long ago to hold.
    bool isOutdated() const;
    // Gives a placement back that is not used.
    void returnPlacement(const routing::PlacementChoice &choice);
    void startAttempt(const routing::PlacementChoice &choice);
    OutboundRequest buildRequest(const routing::PlacementChoice &choice) const;
    // Only requests that may run again are given up for being slow.
    void watchForStall();
    std::chrono::milliseconds stallLimit() const;
    void stalled();
    // Bytes of an attempt that ends without an answer may be at work.
    void noteUnansweredAttempt();
    void deadlinePassed();

    AnswerOwner ownerOf(const AnswerHeader &header) override;
    void answerBegun(const AnswerHeader &header) override;
    void answerData(const std::vector<std::string_view> &data) override;
    void callEnded(const CallResult &result) override;

    void noteLoad(const AnswerHeader &header);
    void noteProgress();
    void forwardEvents();
    // Sends the head of the answer before the first event.
    void beginStream();
    void streamComplete();
    void wholeAnswerComplete();
    void passAnswer();
    void serverRejected();
    void attemptBroken(const CallResult &result);
    void endAttempt(routing::AttemptOutcome outcome, std::string_view reason);

    bool isRepeatable() const;
    // Another server may run the request; takes one retry from the ledger.
    bool takeRetry();
    routing::PlacementQuery placementQuery() const;

    // Final answers.
    void refuse(const char *reason);
    void failUnknown(const char *reason);
    void finish(Ending ending);
    std::chrono::milliseconds retryAfter() const;
    std::chrono::milliseconds timeLeft() const;

    GatewayCore &core_;
    const CallerRequest request_;
    const std::uint64_t fingerprint_;
    const routing::Service *service_ = nullptr;
    AnswerSink *sink_;
    // Keeps the exchange alive while its call may report.
    std::shared_ptr<Exchange> self_;
    const Clock::time_point deadlineAt_;
    LazyDeadline deadline_;
    LazyDeadline stall_;
    std::shared_ptr<OutboundConnection> connection_;

    std::optional<routing::PlacementChoice> attempt_;
    Clock::time_point attemptStart_;
    // When a server was asked for.
    Clock::time_point askedAt_;
    bool progressed_ = false;
    std::vector<std::string> excluded_;
    // Attempts whose request may have reached a server's work.
    unsigned runs_ = 0;
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
    StreamAnswer stream_;
};

} // namespace auburn::gateway
