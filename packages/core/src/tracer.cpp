#include "auburn/core/tracer.h"

#include "auburn/core/ids.h"
#include "auburn/core/lasterror.h"
#include "auburn/core/log.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>
#include <limits>

namespace auburn {

namespace {

QString text(const std::string &value)
{
    return QString::fromStdString(value);
}

QString nanoseconds(std::chrono::system_clock::time_point time)
{
    const auto sinceEpoch = std::chrono::duration_cast<std::chrono::nanoseconds>(
            time.time_since_epoch());
    return QString::number(sinceEpoch.count());
}

struct ToAnyValue
{
    // OTLP JSON writes 64-bit integers as strings.
    QJsonObject operator()(std::int64_t value) const
    {
        return { { "intValue", QString::number(value) } };
    }
    QJsonObject operator()(double value) const { return { { "doubleValue", value } }; }
    QJsonObject operator()(bool value) const { return { { "boolValue", value } }; }
    QJsonObject operator()(const std::string &value) const
    {
        return { { "stringValue", text(value) } };
    }
};

QJsonObject keyValue(const std::string &key, const SpanAttribute &value)
{
    return { { "key", text(key) }, { "value", std::visit(ToAnyValue{}, value) } };
}

QJsonObject spanObject(const SpanRecord &span)
{
    QJsonArray attributes;
    for (const auto &[key, value] : span.attributes)
        attributes.append(keyValue(key, value));
    QJsonObject status;
    if (span.status != SpanStatus::Unset)
        status["code"] = static_cast<int>(span.status);
    if (!span.statusMessage.empty())
        status["message"] = text(span.statusMessage);
    QJsonObject object{
        { "traceId", text(span.context.traceId) },
        { "spanId", text(span.context.spanId) },
        { "name", text(span.name) },
        { "kind", static_cast<int>(span.kind) },
        { "startTimeUnixNano", nanoseconds(span.start) },
        { "endTimeUnixNano", nanoseconds(span.end) },
        { "attributes", attributes },
        { "status", status },
    };
    if (!span.parentSpanId.empty())
        object["parentSpanId"] = text(span.parentSpanId);
    return object;
}

} // namespace

std::string otlpJson(const TraceResource &resource, const std::vector<SpanRecord> &spans)
{
    QJsonArray resourceAttributes;
    for (const auto &[key, value] : resource)
        resourceAttributes.append(keyValue(key, value));
    QJsonArray spanArray;
    for (const SpanRecord &span : spans)
        spanArray.append(spanObject(span));
    const QJsonObject scopeSpans{ { "scope", QJsonObject{ { "name", "auburnworks" } } },
                                  { "spans", spanArray } };
    const QJsonObject resourceSpans{
        { "resource", QJsonObject{ { "attributes", resourceAttributes } } },
        { "scopeSpans", QJsonArray{ scopeSpans } },
    };
    const QJsonObject request{ { "resourceSpans", QJsonArray{ resourceSpans } } };
    return QJsonDocument(request).toJson(QJsonDocument::Compact).toStdString();
}

Span::Span(Tracer *tracer, SpanRecord record)
    : tracer_(tracer)
    , record_(std::move(record))
{}

Span::Span(Span &&other) noexcept
    : tracer_(std::exchange(other.tracer_, nullptr))
    , record_(std::move(other.record_))
{}

Span &Span::operator=(Span &&other) noexcept
{
    if (this != &other) {
        end();
        tracer_ = std::exchange(other.tracer_, nullptr);
        record_ = std::move(other.record_);
    }
    return *this;
}

Span::~Span()
{
    end();
}

void Span::setAttribute(std::string key, SpanAttribute value)
{
    if (tracer_ && record_.context.sampled)
        record_.attributes.emplace_back(std::move(key), std::move(value));
}

void Span::setStatus(SpanStatus status, std::string message)
{
    record_.status = status;
    record_.statusMessage = std::move(message);
}

void Span::end()
{
    Tracer *tracer = std::exchange(tracer_, nullptr);
    if (!tracer || !record_.context.sampled)
        return;
    record_.end = std::chrono::system_clock::now();
    SpanRecord finished = record_;
    tracer->record(std::move(finished));
}

Tracer::Tracer(Options options)
    : options_(std::move(options))
{
    if (options_.sink)
        thread_ = std::thread([this] { run(); });
}

Tracer::~Tracer()
{
    beginStop();
    if (thread_.joinable())
        thread_.join();
}

void Tracer::beginStop()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    wake_.notify_all();
}

Span Tracer::start(std::string name, SpanKind kind, const std::optional<TraceContext> &parent)
{
    SpanRecord record;
    record.context.traceId = parent ? parent->traceId : makeRandomId();
    record.context.spanId = makeShortId();
    record.context.sampled = parent ? parent->sampled : sample(record.context.traceId);
    record.parentSpanId = parent ? parent->spanId : std::string();
    record.name = std::move(name);
    record.kind = kind;
    record.start = std::chrono::system_clock::now();
    return { this, std::move(record) };
}

bool Tracer::sample(const std::string &traceId) const
{
    if (options_.sampling >= 1)
        return true;
    if (options_.sampling <= 0)
        return false;
    // Trace ids are random, so their first 60 bits are a uniform random number.
    const auto number = std::stoull(traceId.substr(0, 15), nullptr, 16);
    return static_cast<double>(number) < options_.sampling * static_cast<double>(1ULL << 60U);
}

void Tracer::record(SpanRecord span)
{
    if (!options_.sink || !span.context.sampled)
        return;
    bool full = false;
    {
        const std::lock_guard lock(mutex_);
        if (queue_.size() >= options_.queueLimit) {
            ++dropped_;
            return;
        }
        queue_.push_back(std::move(span));
        full = queue_.size() >= options_.batchLimit;
    }
    if (full)
        wake_.notify_one();
}

void Tracer::flush()
{
    if (!options_.sink)
        return;
    std::unique_lock lock(mutex_);
    flushing_ = true;
    wake_.notify_all();
    idle_.wait(lock, [this] { return queue_.empty() && !exporting_; });
    flushing_ = false;
}

std::uint64_t Tracer::dropped() const
{
    const std::lock_guard lock(mutex_);
    return dropped_;
}

std::uint64_t Tracer::exported() const
{
    const std::lock_guard lock(mutex_);
    return exported_;
}

void Tracer::run()
{
    std::unique_lock lock(mutex_);
    while (!stopping_ || !queue_.empty()) {
        wake_.wait_for(lock, options_.batchDelay, [this] {
            return stopping_ || (flushing_ && !queue_.empty())
                   || queue_.size() >= options_.batchLimit;
        });
        if (queue_.empty())
            continue;
        const std::size_t count = std::min(queue_.size(), options_.batchLimit);
        const auto last = queue_.begin() + static_cast<std::ptrdiff_t>(count);
        std::vector<SpanRecord> batch(std::make_move_iterator(queue_.begin()),
                                      std::make_move_iterator(last));
        queue_.erase(queue_.begin(), last);
        exporting_ = true;
        lock.unlock();
        const bool written = exportBatch(batch);
        lock.lock();
        exporting_ = false;
        // A target that is down must not hold up the end of the process, batch after batch.
        if (stopping_ && !written) {
            dropped_ += queue_.size();
            queue_.clear();
        }
        if (queue_.empty())
            idle_.notify_all();
    }
}

bool Tracer::exportBatch(const std::vector<SpanRecord> &batch)
{
    const bool written = options_.sink->write(otlpJson(options_.resource, batch));
    if (!written)
        logEvent(LogLevel::Debug, "trace_export_failed", { { "reason", lastError() } });
    const std::lock_guard lock(mutex_);
    (written ? exported_ : dropped_) += batch.size();
    return written;
}

} // namespace auburn
