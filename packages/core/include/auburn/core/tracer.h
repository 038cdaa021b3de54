// Tracer: records spans and exports them as OTLP JSON from its own thread.
//
// The request path only appends a finished span to a bounded queue. If the target is slow or down,
// spans are dropped and counted; requests never wait for it.
#pragma once

#include "auburn/core/tracecontext.h"

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

namespace auburn {

// Values are those of the OTLP enumeration SpanKind.
enum class SpanKind { Internal = 1, Server = 2, Client = 3, Producer = 4, Consumer = 5 };

// Values are those of the OTLP enumeration StatusCode.
enum class SpanStatus { Unset = 0, Ok = 1, Error = 2 };

using SpanAttribute = std::variant<std::string, std::int64_t, double, bool>;

// A finished span.
struct SpanRecord
{
    TraceContext context;
    // Empty for the first span of a trace.
    std::string parentSpanId;
    std::string name;
    SpanKind kind = SpanKind::Internal;
    std::chrono::system_clock::time_point start;
    std::chrono::system_clock::time_point end;
    std::vector<std::pair<std::string, SpanAttribute>> attributes;
    SpanStatus status = SpanStatus::Unset;
    std::string statusMessage;
};

// Attributes of the process that made the spans, for example service.name.
using TraceResource = std::vector<std::pair<std::string, std::string>>;

// One ExportTraceServiceRequest in the OTLP JSON encoding, without a line break.
std::string otlpJson(const TraceResource &resource, const std::vector<SpanRecord> &spans);

// Where spans go. Called on the tracer's thread only.
class SpanSink
{
public:
    virtual ~SpanSink() = default;
    // Writes one ExportTraceServiceRequest; false, with lastError() set, if it was not taken.
    virtual bool write(const std::string &request) = 0;

    // Sink for "file:PATH" (appends one request per line) or "http://HOST:PORT/PATH" (OTLP/HTTP;
    // one POST per request, HOST is a name or an IP address). Null with lastError() set for any
    // other target or a file that cannot be opened.
    static std::unique_ptr<SpanSink> make(std::string_view target);
};

// True for a target that SpanSink::make understands; lastError() is set otherwise.
bool isValidTraceTarget(std::string_view target);

class Tracer;

// A span that is being measured; it ends when it is destroyed, at the latest.
class Span
{
public:
    Span() = default;
    Span(Span &&other) noexcept;
    Span &operator=(Span &&other) noexcept;
    ~Span();

    // Context to pass on in messages and requests that this span causes.
    const TraceContext &context() const { return record_.context; }
    void setAttribute(std::string key, SpanAttribute value);
    void setStatus(SpanStatus status, std::string message = {});
    // Ends the span now; later calls have no effect.
    void end();

private:
    friend class Tracer;
    Span(Tracer *tracer, SpanRecord record);

    Tracer *tracer_ = nullptr;
    SpanRecord record_;
};

class Tracer
{
public:
    struct Options
    {
        // Null: spans get ids, which are passed on, but nothing is exported.
        std::unique_ptr<SpanSink> sink;
        TraceResource resource;
        // Share of new traces that is recorded, 0 to 1. The caller's decision in a traceparent
        // takes precedence.
        double sampling = 1;
        std::size_t queueLimit = 4096;
        std::size_t batchLimit = 256;
        // Longest time a span waits for its batch to fill.
        std::chrono::milliseconds batchDelay{ 1000 };
    };

    explicit Tracer(Options options);
    // Calls beginStop() and waits for the thread. All spans must have ended.
    ~Tracer();
    Tracer(const Tracer &) = delete;
    Tracer &operator=(const Tracer &) = delete;

    // Starts a span below the parent, or a new trace without one. Callable from any thread.
    Span start(std::string name, SpanKind kind, const std::optional<TraceContext> &parent = {});

    // Queues a span that was measured elsewhere; not sampled spans are ignored.
    void record(SpanRecord span);

    // Exports what is queued without waiting for full batches; from now on the first failed export
    // drops the rest. The destructor does this as well.
    void beginStop();

    // Waits until all spans queued so far are exported or dropped.
    void flush();

    // Spans lost to a full queue or a failed export, and spans exported.
    std::uint64_t dropped() const;
    std::uint64_t exported() const;

private:
    bool sample(const std::string &traceId) const;
    void run();
    bool exportBatch(const std::vector<SpanRecord> &batch);

    Options options_;
    mutable std::mutex mutex_;
    std::condition_variable wake_;
    std::condition_variable idle_;
    std::vector<SpanRecord> queue_;
    bool exporting_ = false;
    bool flushing_ = false;
    bool stopping_ = false;
    std::uint64_t dropped_ = 0;
    std::uint64_t exported_ = 0;
    std::thread thread_;
};

} // namespace auburn
