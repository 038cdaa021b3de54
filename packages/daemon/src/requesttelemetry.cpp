#include "requesttelemetry.h"

#include "auburn/core/log.h"

#include <optional>
#include <string>
#include <utility>

namespace auburn {

namespace {

double seconds(std::chrono::microseconds time)
{
    return std::chrono::duration<double>(time).count();
}

// Buckets in seconds. Gaps between tokens are around 26 ms, so the buckets start at 0.25 ms.
constexpr HistogramOptions kTokenGapBuckets{ .lowest = 0.00025, .highest = 8.192, .steps = 15 };

// Records the spans and metrics of one request. All calls come from the worker thread of the
// request.
class RequestTelemetryTrace : public RequestTrace
{
public:
    RequestTelemetryTrace(Tracer &tracer, Metrics &metrics, const RelayRequest &request)
        : tracer_(tracer)
        , metrics_(metrics)
        , requestId_(request.id)
        , organisation_(request.organisation)
        , labels_{ { "service", request.service.name }, { "class", request.className } }
        , callerSpan_(
                  tracer.start("caller", SpanKind::Server, parseTraceparent(request.traceparent)))
        , tokenGaps_(metrics.histogram("auburn_token_gap_seconds",
                                       "Time between tokens to the caller.", labels_,
                                       kTokenGapBuckets))
        , tokenCount_(metrics.counter("auburn_tokens_total", "Tokens relayed to callers.", labels_))
    {
        callerSpan_.setAttribute("auburn.request_id", request.id);
        callerSpan_.setAttribute("auburn.organisation", request.organisation);
        callerSpan_.setAttribute("auburn.class", request.className);
        callerSpan_.setAttribute("auburn.service", request.service.name);
    }

    std::string traceparent() const override { return formatTraceparent(callerSpan_.context()); }

    void queueBegin() override { queueSpan_.emplace(startChildSpan("queue", SpanKind::Client)); }

    void queueEnd(bool granted) override { endSpan(queueSpan_, granted, "not granted"); }

    void claimBegin() override { claimSpan_.emplace(startChildSpan("claim", SpanKind::Client)); }

    void claimEnd(bool won) override { endSpan(claimSpan_, won, "not won"); }

    std::string attemptBegin(const std::string &backendServer, unsigned number) override
    {
        attemptSpan_.emplace(startChildSpan("attempt", SpanKind::Internal));
        attemptSpan_->setAttribute("auburn.attempt", static_cast<std::int64_t>(number));
        backendServerSpan_.emplace(
                tracer_.start("backend_server", SpanKind::Client, attemptSpan_->context()));
        backendServerSpan_->setAttribute("auburn.backend_server", backendServer);
        return formatTraceparent(backendServerSpan_->context());
    }

    void firstToken(std::chrono::microseconds sinceReceived) override
    {
        metrics_.histogram("auburn_first_token_seconds", "Time from receipt to the first token.",
                           labels_)
                .observe(seconds(sinceReceived));
        if (backendServerSpan_)
            backendServerSpan_->setAttribute("auburn.first_token_us",
                                             static_cast<std::int64_t>(sinceReceived.count()));
    }

    void tokenGap(std::chrono::microseconds gap) override { tokenGaps_.observe(seconds(gap)); }

    void attemptEnd(const AttemptEnd &end) override
    {
        if (backendServerSpan_) {
            backendServerSpan_->setAttribute("auburn.tokens",
                                             static_cast<std::int64_t>(end.tokens));
            backendServerSpan_->setAttribute("auburn.verdict",
                                             std::string(verdictName(end.verdict)));
        }
        endSpan(backendServerSpan_, end.complete, end.error);
        endSpan(attemptSpan_, end.complete, end.error);
    }

    void end(const RequestEnd &end) override
    {
        countRequest(end);
        logRequest(end);
        callerSpan_.setAttribute("http.response.status_code",
                                 static_cast<std::int64_t>(end.httpStatus));
        callerSpan_.setAttribute("auburn.verdict", std::string(verdictName(end.verdict)));
        callerSpan_.setStatus(end.complete ? SpanStatus::Ok : SpanStatus::Error, outcome(end));
        callerSpan_.end();
    }

private:
    Span startChildSpan(std::string name, SpanKind kind)
    {
        return tracer_.start(std::move(name), kind, callerSpan_.context());
    }

    static void endSpan(std::optional<Span> &span, bool succeeded, const std::string &reason)
    {
        if (!span)
            return;
        span->setStatus(succeeded ? SpanStatus::Ok : SpanStatus::Error,
                        succeeded ? std::string() : reason);
        span.reset();
    }

    static std::string outcome(const RequestEnd &end)
    {
        if (end.refusal)
            return std::string(refusalCodeName(*end.refusal));
        if (end.callerGone)
            return "caller_gone";
        return end.complete ? "complete" : "incomplete";
    }

    void countRequest(const RequestEnd &end)
    {
        MetricLabels labels = labels_;
        labels.emplace_back("outcome", outcome(end));
        metrics_.counter("auburn_requests_total", "Requests by outcome.", labels).add();
        tokenCount_.add(end.tokens);
        metrics_.counter("auburn_wasted_tokens_total", "Tokens of attempts that were discarded.",
                         labels_)
                .add(end.wastedTokens);
        metrics_.histogram("auburn_request_seconds",
                           "Time from receipt to the end of the response.", labels_)
                .observe(seconds(end.duration));
    }

    void logRequest(const RequestEnd &end) const
    {
        logEvent(LogLevel::Info, "request_end",
                 { { "request_id", requestId_ },
                   { "class", labels_[1].second },
                   { "organisation", organisation_ },
                   { "service", labels_[0].second },
                   { "outcome", outcome(end) },
                   { "verdict", verdictName(end.verdict) },
                   { "status", static_cast<long long>(end.httpStatus) },
                   { "attempts", static_cast<long long>(end.attempts) },
                   { "tokens", static_cast<long long>(end.tokens) },
                   { "duration_us", static_cast<long long>(end.duration.count()) } });
    }

    Tracer &tracer_;
    Metrics &metrics_;
    const std::string requestId_;
    const std::string organisation_;
    const MetricLabels labels_;
    Span callerSpan_;
    std::optional<Span> queueSpan_;
    std::optional<Span> claimSpan_;
    std::optional<Span> attemptSpan_;
    std::optional<Span> backendServerSpan_;
    HistogramSeries &tokenGaps_;
    Counter &tokenCount_;
};

} // namespace

RequestTelemetry::RequestTelemetry(Tracer &tracer, Metrics &metrics)
    : tracer_(tracer)
    , metrics_(metrics)
{}

std::unique_ptr<RequestTrace> RequestTelemetry::received(const RelayRequest &request)
{
    return std::make_unique<RequestTelemetryTrace>(tracer_, metrics_, request);
}

void RequestTelemetry::rejected(const Refusal &refusal)
{
    const std::string code(refusalCodeName(refusal.code));
    metrics_.counter("auburn_rejected_total", "Requests refused before routing, by code.",
                     { { "code", code } })
            .add();
    if (const auto dropped = rejectionLines_.takeLine(LogLimit::Clock::now()))
        logEvent(LogLevel::Info, "request_rejected",
                 { { "code", code },
                   { "reason", refusal.message },
                   { "dropped_lines", static_cast<long long>(*dropped) } });
}

} // namespace auburn
