// Metrics: counters, gauges and histograms of the process, written as Prometheus text.
//
// Updates go to one of several shards, picked by thread, so that worker threads do not contend for
// one cache line. Every family holds a bounded number of label sets; label sets beyond the bound
// share one series whose label values are all "other". Without the bound, a label such as the
// organisation would add a series for each of the 21,000 organisations.
#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace auburn {

// Label names and values of one series, in the order in which they are written.
using MetricLabels = std::vector<std::pair<std::string, std::string>>;

constexpr std::size_t kMetricShards = 8;

// Bound of label sets in one family. Three models, eight tiers and a few outcomes make fewer
// series.
constexpr std::size_t kMaxLabelSets = 200;

// A total that only grows. Callable from any thread.
class Counter
{
public:
    void add(std::uint64_t amount = 1);
    std::uint64_t value() const;

private:
    struct alignas(64) Shard
    {
        std::atomic<std::uint64_t> value{ 0 };
    };
    std::array<Shard, kMetricShards> shards_;
};

// A value that goes up and down. Callable from any thread.
class Gauge
{
public:
    void set(double value) { value_.store(value, std::memory_order_relaxed); }
    void add(double amount) { value_.fetch_add(amount, std::memory_order_relaxed); }
    double value() const { return value_.load(std::memory_order_relaxed); }

private:
    std::atomic<double> value_{ 0 };
};

// Buckets with equal widths on a logarithmic scale. A value equal to a bound is counted in the
// bucket above it, unlike in other Prometheus clients. The defaults suit times in seconds from 1 ms
// to 128 s with a factor of 2 between bounds.
struct HistogramOptions
{
    // Upper bound of the lowest bucket; must be above 0.
    double lowest = 0.001;
    // Upper bound of the highest bucket that is not +Inf.
    double highest = 131.072;
    // Number of steps between both bounds.
    unsigned steps = 17;
};

// Distribution of observed values. Callable from any thread.
class HistogramSeries
{
public:
    struct Snapshot
    {
        // Bucket bounds without +Inf, ascending.
        std::vector<double> bounds;
        // Observations at or below each bound, then all of them.
        std::vector<std::uint64_t> cumulative;
        double sum = 0;
    };

    explicit HistogramSeries(HistogramOptions options);
    ~HistogramSeries();

    // Not-a-number values are ignored.
    void observe(double value);
    Snapshot snapshot() const;

private:
    struct Shard;
    HistogramOptions options_;
    std::vector<std::unique_ptr<Shard>> shards_;
};

// Owner of all series. The references that it returns stay valid as long as it lives; a caller on a
// hot path keeps them, because each look-up takes a lock.
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    // The series of the family and labels, created at the first use. Characters that Prometheus
    // does not allow in names become '_'. A family keeps the type and help of its first use; a use
    // with another type gets a series that is not written.
    Counter &counter(std::string_view name, std::string_view help, const MetricLabels &labels = {});
    Gauge &gauge(std::string_view name, std::string_view help, const MetricLabels &labels = {});
    // A total that is measured elsewhere, such as CPU time; written as a counter.
    Gauge &measuredTotal(std::string_view name, std::string_view help,
                         const MetricLabels &labels = {});
    HistogramSeries &histogram(std::string_view name, std::string_view help,
                               const MetricLabels &labels = {}, HistogramOptions options = {});

    // Adds a function that sets gauges; it is called before each text(), on the caller's thread.
    void addCollector(std::function<void()> collector);

    // All series in the Prometheus text exposition format 0.0.4, families sorted by name.
    std::string text() const;

private:
    struct Family;
    struct Series;

    Series &series(std::string_view name, std::string_view help, int type,
                   const MetricLabels &labels, const HistogramOptions &options);

    mutable std::mutex mutex_;
    std::map<std::string, std::unique_ptr<Family>> families_;
    // By type, for uses that do not match their family's type.
    std::map<int, std::unique_ptr<Series>> unwritten_;
    std::vector<std::function<void()>> collectors_;
};

} // namespace auburn
