#include "auburn/gateway/requestoutlook.h"

#include "retryafter.h"
#include "startupqueue.h"

#include <algorithm>

namespace auburn::gateway {

using std::chrono::milliseconds;

namespace {

// A request is not sent to a server if it has less time left than this.
constexpr milliseconds kMinTimeLeft{ 15 };
constexpr milliseconds kMinRetryAfter{ 100 };
constexpr milliseconds kMaxRetryAfter{ 1000 };

} // namespace

std::string_view requestDecisionName(RequestDecision decision)
{
    switch (decision) {
    case RequestDecision::Forwarded:
        return "forwarded";
    case RequestDecision::Waits:
        return "waits";
    case RequestDecision::Rejected:
        return "rejected";
    }
    return "unknown";
}

bool hasTimeForAttempt(milliseconds timeLeft)
{
    return timeLeft >= kMinTimeLeft;
}

RetryDelays refusalRetryDelays(const routing::ServerDirectory &directory,
                               const routing::Service *service, milliseconds timeLeft,
                               std::chrono::steady_clock::time_point now)
{
    const bool isAvailable = !service || !directory.availableServers(service->name, now).empty();
    const auto returnAt = isAvailable ? std::nullopt : directory.firstReturn(service->name, now);
    if (returnAt)
        return serviceRetryDelays(std::chrono::ceil<milliseconds>(*returnAt - now), timeLeft);
    const milliseconds delay = std::clamp(timeLeft / 4, kMinRetryAfter, kMaxRetryAfter);
    return { .earliest = delay, .limit = delay };
}

RequestOutlook predictOutcome(const RoutingState &state, const NewRequest &request,
                              std::chrono::steady_clock::time_point now)
{
    const routing::PlacementQuery &query = request.query;
    const milliseconds wait = startupWaitLimit(request.deadline);
    if (!state.canRoute() && wait.count() > 0)
        return { .decision = RequestDecision::Waits, .longestWait = wait };
    RequestOutlook outlook{ .retryAfter = refusalRetryDelays(state.directory, query.service,
                                                             request.timeLeft, now),
                            .blockedPart = state.promptCrashes.findBlockedCause(
                                    routing::sharedPartIds(query.prompt), now) };
    if (outlook.blockedPart)
        outlook.reason = "crashes_servers";
    else if (!hasTimeForAttempt(request.timeLeft))
        outlook.reason = "deadline";
    else if (!request.choice)
        outlook.reason = "no_server";
    else
        return {};
    outlook.decision = RequestDecision::Rejected;
    return outlook;
}

} // namespace auburn::gateway
