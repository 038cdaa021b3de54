// RequestObserver: receives the events of every request, for spans and metrics.
//
// The relay knows nothing of the tracer; the daemon implements this interface with it.
#pragma once

#include "auburn/core/refusal.h"
#include "auburn/relay/relayrequest.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace auburn {

struct AttemptEnd
{
    Verdict verdict = Verdict::DidNotRun;
    bool complete = false;
    // Reason of a failure; empty if the attempt completed.
    std::string error;
    unsigned tokens = 0;
};

struct RequestEnd
{
    Verdict verdict = Verdict::DidNotRun;
    // Status that the caller got; 0 if the caller was gone before the head was sent.
    int httpStatus = 0;
    // Set if the system refused the request or ended its stream with an error event.
    std::optional<RefusalCode> refusal;
    // The caller got the whole answer of a backend server.
    bool complete = false;
    bool callerGone = false;
    // Tokens relayed to the caller.
    unsigned tokens = 0;
    // Tokens of attempts whose output was discarded.
    unsigned wastedTokens = 0;
    std::uint64_t bytesToCaller = 0;
    unsigned attempts = 0;
    std::chrono::microseconds duration{ 0 };
};

// Events of one request, all called on the request's worker thread; must not block.
class RequestTrace
{
public:
    virtual ~RequestTrace() = default;

    // Sent with the slot demand, as the parent of the owner's spans; may be empty.
    virtual std::string traceparent() const = 0;
    virtual void queueBegin() = 0;
    virtual void queueEnd(bool granted) = 0;
    virtual void claimBegin() = 0;
    virtual void claimEnd(bool won) = 0;
    // The traceparent that the backend server gets; may be empty. Number counts from 1.
    virtual std::string attemptBegin(const std::string &backendServer, unsigned number) = 0;
    // Time from the receipt of the request to the first token that goes to the caller.
    virtual void firstToken(std::chrono::microseconds sinceReceived) = 0;
    // Time since the previous token; called once for tokens that arrive together.
    virtual void tokenGap(std::chrono::microseconds gap) = 0;
    virtual void attemptEnd(const AttemptEnd &end) = 0;
    virtual void end(const RequestEnd &end) = 0;
};

class RequestObserver
{
public:
    virtual ~RequestObserver() = default;

    // A request was accepted for routing; called from any worker thread. Null means that the
    // request is not observed.
    virtual std::unique_ptr<RequestTrace> received(const RelayRequest &request) = 0;
    // A request was refused before it was accepted: malformed, not authorised, unknown model or
    // over its organisation's limit. Called from any worker thread.
    virtual void rejected(const Refusal &refusal) = 0;
};

} // namespace auburn
