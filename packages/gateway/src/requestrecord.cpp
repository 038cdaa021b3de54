#include "requestrecord.h"

#include "auburn/core/hash.h"
#include "auburn/core/log.h"
#include "auburn/routing/serverlimits.h"

#include <string>

namespace auburn::gateway {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using Clock = BootClock;

namespace {

constexpr std::string_view kServed = "served";

// Returns the ids of the prompt's shared parts in hexadecimal, separated by commas.
std::string sharedPartsText(const routing::PromptParts &parts)
{
    std::string text;
    for (const std::uint64_t part : routing::sharedPartIds(parts))
        text.append(text.empty() ? "" : ",").append(toHexadecimal(part));
    return text;
}

void updateRequestMetrics(const RequestEndRecord &record, Clock::time_point now, Metrics &metrics)
{
    const CallerRequest &request = record.request;
    const MetricLabels labels{ { "kind",
                                 std::string(routing::requestKindName(request.route->kind)) },
                               { "reason", std::string(record.reason) } };
    metrics.counter("auburn_requests_total", "Requests by kind and end", labels).add();
    metrics.histogram("auburn_request_seconds", "Time from the first byte to the last",
                      { labels[0] })
            .observe(std::chrono::duration<double>(now - request.received).count());
    if (const auto firstEventAt = record.stream.firstEventAt())
        metrics.histogram("auburn_first_event_seconds",
                          "Time from the first byte to the first event", { labels[0] })
                .observe(std::chrono::duration<double>(*firstEventAt - request.received).count());
}

const char *connectionName(bool reused)
{
    return reused ? "reused" : "new";
}

const char *yesOrNo(bool value)
{
    return value ? "yes" : "no";
}

void updateAttemptMetrics(const AttemptRecord &record, Metrics &metrics)
{
    const std::string service(record.service);
    metrics.counter("auburn_attempts_total", "Attempts at backend servers by end",
                    { { "service", service },
                      { "outcome", std::string(routing::attemptOutcomeName(record.outcome)) } })
            .add();
    if (record.outcome != routing::AttemptOutcome::Rejected)
        return;
    metrics.counter("auburn_rejections_total", "Rejections by backend servers",
                    { { "service", service },
                      { "connection", connectionName(record.reusedConnection) },
                      { "id_repeated", yesOrNo(record.repeatsId) },
                      { "identified", yesOrNo(record.identified) } })
            .add();
}

} // namespace

void recordOutdatedChoice(const CallerRequest &request,
                          const std::optional<routing::PlacementChoice> &choice, milliseconds age,
                          milliseconds timeLeft)
{
    logEvent(LogLevel::Info, "choice_outdated",
             { { "id", request.id },
               { "server", choice ? choice->serverId : std::string() },
               { "age_ms", static_cast<long long>(age.count()) },
               { "left_ms", static_cast<long long>(timeLeft.count()) } });
}

void recordPlacement(const PlacementRecord &record)
{
    const routing::PlacementChoice &choice = record.choice;
    logEvent(LogLevel::Info, "request_placed",
             { { "id", record.request.id },
               { "attempt", static_cast<long long>(record.attempt) },
               { "service", record.service },
               { "server", choice.serverId },
               { "address", choice.address },
               { "owner", choice.owner.empty() ? std::string("self") : choice.owner },
               { "predicted_ms", static_cast<long long>(choice.predicted.count() / 1000) },
               { "uncached_tokens", static_cast<long long>(choice.uncachedTokens) },
               { "copy_source", choice.copySource },
               { "in_flight", static_cast<long long>(choice.inFlight) },
               { "urgency", static_cast<long long>(choice.urgency) },
               { "report_age_ms",
                 choice.reportAge ? static_cast<long long>(choice.reportAge->count()) : -1LL },
               { "config", static_cast<long long>(record.request.config->version()) },
               { "connection", connectionName(record.reusesConnection) },
               { "id_repeated", yesOrNo(record.repeatsId) },
               { "version", record.softwareVersion },
               { "last_event", record.lastEventId },
               { "resumes", record.request.resumedId },
               { "left_ms", static_cast<long long>(record.timeLeft.count()) } });
}

void recordAttempt(const AttemptRecord &record, Metrics *metrics)
{
    if (metrics)
        updateAttemptMetrics(record, *metrics);
    if (record.outcome == routing::AttemptOutcome::Succeeded)
        return;
    logEvent(LogLevel::Info, "attempt_failed",
             { { "id", record.request.id },
               { "attempt", static_cast<long long>(record.attempt) },
               { "server", record.server },
               { "reason", record.reason },
               { "status", static_cast<long long>(record.status) },
               { "verdict", verdictName(record.verdict) },
               { "prompt_parts", sharedPartsText(record.request.prompt) },
               { "connection", connectionName(record.reusedConnection) },
               { "id_repeated", yesOrNo(record.repeatsId) },
               { "identified", yesOrNo(record.identified) },
               { "ms", static_cast<long long>(record.duration.count()) } });
}

void recordUnframedEnd(const UnframedEndRecord &record, Metrics *metrics)
{
    const std::string_view result = record.complete ? "complete" : "broken_off";
    if (metrics)
        metrics->counter("auburn_unframed_responses_total",
                         "Responses without a length that ended with their connection",
                         { { "service", std::string(record.service) },
                           { "result", std::string(result) } })
                .add();
    logEvent(LogLevel::Info, "unframed_response_ended",
             { { "id", record.request.id },
               { "server", record.server },
               { "result", result },
               { "status", static_cast<long long>(record.status) },
               { "events", static_cast<long long>(record.events) },
               { "pending_bytes", static_cast<long long>(record.pendingBytes) },
               { "reason", record.reason } });
}

void recordRetry(const RetryRecord &record, Metrics *metrics)
{
    if (metrics)
        metrics->counter("auburn_retries_total", "Decisions of the retry budget",
                         { { "service", std::string(record.service) },
                           { "decision", record.granted ? "granted" : "refused" } })
                .add();
    logEvent(LogLevel::Info, record.granted ? "retry_granted" : "retry_refused",
             { { "id", record.request.id },
               { "service", record.service },
               { "reason", record.reason },
               { "available", static_cast<long long>(record.available) },
               { "daemons", static_cast<long long>(record.daemons.value_or(0)) } });
}

void recordStreamVersion(const CallerRequest &request, std::string_view service,
                         const std::optional<std::string> &version)
{
    logEvent(LogLevel::Info, "stream_resumed",
             { { "id", request.id },
               { "resumes", request.resumedId },
               { "service", service },
               { "last_event", request.lastEventId },
               { "version", version.value_or("unknown") } });
}

void recordLimitChange(const LimitChangeRecord &record)
{
    logEvent(LogLevel::Info, "server_limit_changed",
             { { "server", record.server },
               { "service", record.service },
               { "id", record.requestId },
               { "before", routing::limitText(record.before) },
               { "per_second", routing::limitText(record.now) } });
}

void recordRequestEnd(const RequestEndRecord &record, Metrics *metrics)
{
    const CallerRequest &request = record.request;
    const auto now = Clock::now();
    const auto age = [&request](Clock::time_point at) {
        return static_cast<long long>(duration_cast<milliseconds>(at - request.received).count());
    };
    const bool failed = record.status >= 400 || record.reason != kServed;
    const auto firstEventAt = record.stream.firstEventAt();
    logEvent(failed ? LogLevel::Warning : LogLevel::Info, "request_ended",
             { { "id", request.id },
               { "route", request.route->name },
               { "organisation", request.organisation ? request.organisation->name : "" },
               { "kind", routing::requestKindName(request.route->kind) },
               { "status", static_cast<long long>(record.status) },
               { "reason", record.reason },
               { "verdict", verdictName(record.verdict) },
               { "attempts", static_cast<long long>(record.attempts) },
               { "first_ms", firstEventAt ? age(*firstEventAt) : -1LL },
               { "gap_ms", static_cast<long long>(record.stream.longestGap().count()) },
               { "events", static_cast<long long>(record.stream.eventCount()) },
               { "ms", age(now) } });
    if (metrics)
        updateRequestMetrics(record, now, *metrics);
}

} // namespace auburn::gateway
