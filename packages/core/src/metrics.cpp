#include "auburn/core/metrics.h"

#include <algorithm>
#include <boost/histogram.hpp>
#include <charconv>
#include <cmath>
#include <limits>

namespace auburn {

namespace {

enum class Type { Counter, MeasuredTotal, Gauge, Histogram };

// Each thread keeps the shard that it got at its first update.
std::size_t shardIndex()
{
    static std::atomic<std::size_t> next{ 0 };
    thread_local const std::size_t index = next.fetch_add(1, std::memory_order_relaxed)
                                           % kMetricShards;
    return index;
}

std::string validName(std::string_view name, bool allowColon)
{
    std::string result(name);
    for (char &c : result) {
        const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
        const bool digit = c >= '0' && c <= '9';
        if (!letter && !digit && c != '_' && !(allowColon && c == ':'))
            c = '_';
    }
    if (result.empty() || (result[0] >= '0' && result[0] <= '9'))
        result.insert(result.begin(), '_');
    return result;
}

std::string escaped(std::string_view value, bool quotes)
{
    std::string result;
    for (const char c : value) {
        if (c == '\\')
            result += "\\\\";
        else if (c == '\n')
            result += "\\n";
        else if (c == '"' && quotes)
            result += "\\\"";
        else
            result += c;
    }
    return result;
}

std::string numberText(double value)
{
    if (std::isnan(value))
        return "NaN";
    if (std::isinf(value))
        return value > 0 ? "+Inf" : "-Inf";
    char buffer[64];
    const auto end = std::to_chars(buffer, buffer + sizeof(buffer), value);
    return { buffer, end.ptr };
}

// Text between the braces, without them.
std::string labelText(const MetricLabels &labels)
{
    std::string result;
    for (const auto &[name, value] : labels) {
        if (!result.empty())
            result += ',';
        result += validName(name, false) + "=\"" + escaped(value, true) + '"';
    }
    return result;
}

std::string inBraces(const std::string &labels)
{
    return labels.empty() ? std::string() : '{' + labels + '}';
}

MetricLabels overflowLabels(const MetricLabels &labels)
{
    MetricLabels result = labels;
    for (auto &label : result)
        label.second = "other";
    return result;
}

std::string_view typeName(Type type)
{
    switch (type) {
    case Type::Counter:
    case Type::MeasuredTotal:
        return "counter";
    case Type::Gauge:
        return "gauge";
    case Type::Histogram:
        return "histogram";
    }
    return "untyped";
}

void writeLine(std::string &out, const std::string &name, const std::string &labels,
               const std::string &value)
{
    out += name;
    out += inBraces(labels);
    out += ' ';
    out += value;
    out += '\n';
}

void writeHistogram(std::string &out, const std::string &name, const std::string &labels,
                    const HistogramSeries::Snapshot &snapshot)
{
    for (std::size_t i = 0; i < snapshot.cumulative.size(); ++i) {
        std::string withBound = labels.empty() ? labels : labels + ',';
        withBound += "le=\"";
        withBound += i < snapshot.bounds.size() ? numberText(snapshot.bounds[i]) : "+Inf";
        withBound += '"';
        writeLine(out, name + "_bucket", withBound, std::to_string(snapshot.cumulative[i]));
    }
    writeLine(out, name + "_sum", labels, numberText(snapshot.sum));
    writeLine(out, name + "_count", labels, std::to_string(snapshot.cumulative.back()));
}

} // namespace

void Counter::add(std::uint64_t amount)
{
    shards_[shardIndex()].value.fetch_add(amount, std::memory_order_relaxed);
}

std::uint64_t Counter::value() const
{
    std::uint64_t total = 0;
    for (const Shard &shard : shards_)
        total += shard.value.load(std::memory_order_relaxed);
    return total;
}

namespace {

namespace histogram = boost::histogram;
using LogAxis = histogram::axis::regular<double, histogram::axis::transform::log>;
using BucketCounts =
        histogram::histogram<std::tuple<LogAxis>, histogram::dense_storage<std::uint64_t>>;

} // namespace

struct HistogramSeries::Shard
{
    explicit Shard(const HistogramOptions &options)
        : counts(histogram::make_histogram_with(
                histogram::dense_storage<std::uint64_t>(),
                LogAxis(options.steps, options.lowest, options.highest)))
    {}

    std::mutex mutex;
    BucketCounts counts;
    double sum = 0;
};

HistogramSeries::HistogramSeries(HistogramOptions options)
    : options_(options)
{
    for (std::size_t i = 0; i < kMetricShards; ++i)
        shards_.push_back(std::make_unique<Shard>(options_));
}

HistogramSeries::~HistogramSeries() = default;

void HistogramSeries::observe(double value)
{
    if (std::isnan(value))
        return;
    Shard &shard = *shards_[shardIndex()];
    // The logarithm is not defined at or below 0; such values belong to the lowest bucket.
    const double inAxis = value > 0 ? value : options_.lowest / 2;
    const std::lock_guard lock(shard.mutex);
    shard.counts(inAxis);
    shard.sum += value;
}

HistogramSeries::Snapshot HistogramSeries::snapshot() const
{
    Snapshot result;
    const auto &axis = shards_.front()->counts.axis(0);
    for (int i = 0; i <= axis.size(); ++i)
        result.bounds.push_back(axis.value(i));
    result.cumulative.assign(result.bounds.size() + 1, 0);
    for (const auto &shard : shards_) {
        const std::lock_guard lock(shard->mutex);
        // Index -1 is the underflow bin and size() the overflow bin of the axis.
        int bin = -1;
        for (std::uint64_t &count : result.cumulative)
            count += shard->counts.at(bin++);
        result.sum += shard->sum;
    }
    for (std::size_t i = 1; i < result.cumulative.size(); ++i)
        result.cumulative[i] += result.cumulative[i - 1];
    return result;
}

struct Metrics::Series
{
    Series(Type type, const HistogramOptions &options)
    {
        if (type == Type::Histogram)
            histogram = std::make_unique<HistogramSeries>(options);
    }

    Counter counter;
    Gauge gauge;
    std::unique_ptr<HistogramSeries> histogram;
};

struct Metrics::Family
{
    Type type = Type::Counter;
    std::string help;
    HistogramOptions options;
    // By label text.
    std::map<std::string, std::unique_ptr<Series>> series;
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

Metrics::Series &Metrics::series(std::string_view name, std::string_view help, int type,
                                 const MetricLabels &labels, const HistogramOptions &options)
{
    const auto wanted = static_cast<Type>(type);
    const std::lock_guard lock(mutex_);
    std::unique_ptr<Family> &family = families_[validName(name, true)];
    if (!family) {
        family = std::make_unique<Family>(
                Family{ .type = wanted, .help = std::string(help), .options = options });
    }
    if (family->type != wanted) {
        std::unique_ptr<Series> &unwritten = unwritten_[type];
        if (!unwritten)
            unwritten = std::make_unique<Series>(wanted, options);
        return *unwritten;
    }
    std::string key = labelText(labels);
    if (!family->series.contains(key) && family->series.size() >= kMaxLabelSets)
        key = labelText(overflowLabels(labels));
    std::unique_ptr<Series> &found = family->series[key];
    if (!found)
        found = std::make_unique<Series>(wanted, family->options);
    return *found;
}

Counter &Metrics::counter(std::string_view name, std::string_view help, const MetricLabels &labels)
{
    return series(name, help, static_cast<int>(Type::Counter), labels, {}).counter;
}

Gauge &Metrics::gauge(std::string_view name, std::string_view help, const MetricLabels &labels)
{
    return series(name, help, static_cast<int>(Type::Gauge), labels, {}).gauge;
}

Gauge &Metrics::measuredTotal(std::string_view name, std::string_view help,
                              const MetricLabels &labels)
{
    return series(name, help, static_cast<int>(Type::MeasuredTotal), labels, {}).gauge;
}

HistogramSeries &Metrics::histogram(std::string_view name, std::string_view help,
                                    const MetricLabels &labels, HistogramOptions options)
{
    return *series(name, help, static_cast<int>(Type::Histogram), labels, options).histogram;
}

void Metrics::addCollector(std::function<void()> collector)
{
    const std::lock_guard lock(mutex_);
    collectors_.push_back(std::move(collector));
}

std::string Metrics::text() const
{
    std::vector<std::function<void()>> collectors;
    {
        const std::lock_guard lock(mutex_);
        collectors = collectors_;
    }
    // Collectors look up series, which takes the lock.
    for (const auto &collector : collectors)
        collector();

    std::string out;
    const std::lock_guard lock(mutex_);
    for (const auto &[name, family] : families_) {
        out += "# HELP " + name + ' ' + escaped(family->help, false) + '\n';
        out += "# TYPE " + name + ' ' + std::string(typeName(family->type)) + '\n';
        for (const auto &[labels, series] : family->series) {
            if (family->type == Type::Histogram)
                writeHistogram(out, name, labels, series->histogram->snapshot());
            else if (family->type == Type::Counter)
                writeLine(out, name, labels, std::to_string(series->counter.value()));
            else
                writeLine(out, name, labels, numberText(series->gauge.value()));
        }
    }
    return out;
}

} // namespace auburn
