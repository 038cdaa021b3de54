#include "auburn/core/metrics.h"
#include "auburn/core/processmetrics.h"

#include <boost/test/unit_test.hpp>
#include <limits>
#include <thread>

namespace auburn {

namespace {

bool hasLine(const std::string &text, const std::string &line)
{
    return ('\n' + text).find('\n' + line + '\n') != std::string::npos;
}

std::size_t countOf(const std::string &text, const std::string &part)
{
    std::size_t count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++count;
    return count;
}

} // namespace

BOOST_AUTO_TEST_SUITE(metrics)

// Guards against text that a Prometheus server cannot parse: raw quotes or line breaks in labels.
BOOST_AUTO_TEST_CASE(text_counterWithAwkwardLabel_isEscaped)
{
    Metrics metrics;
    metrics.counter("auburn_refusals_total", "Refused\nrequests.", { { "code", "a\"b\\c\nd" } })
            .add(3);
    const std::string text = metrics.text();
    BOOST_TEST(hasLine(text, "# HELP auburn_refusals_total Refused\\nrequests."));
    BOOST_TEST(hasLine(text, "# TYPE auburn_refusals_total counter"));
    BOOST_TEST(hasLine(text, "auburn_refusals_total{code=\"a\\\"b\\\\c\\nd\"} 3"));
}

// Guards against buckets that are not cumulative, or lost underflow, overflow and zero values.
BOOST_AUTO_TEST_CASE(text_histogram_bucketsAreCumulative)
{
    Metrics metrics;
    HistogramSeries &series = metrics.histogram("wait_seconds", "Wait.", { { "tier", "0" } },
                                                { .lowest = 0.01, .highest = 1, .steps = 2 });
    for (const double value : { 0.0, -1.0, 0.001, 0.05, 0.5, 7.0 })
        series.observe(value);
    series.observe(std::numeric_limits<double>::quiet_NaN());
    const HistogramSeries::Snapshot snapshot = series.snapshot();
    BOOST_TEST(snapshot.cumulative == std::vector<std::uint64_t>({ 3, 4, 5, 6 }),
               boost::test_tools::per_element());
    const std::string text = metrics.text();
    BOOST_TEST(hasLine(text, "# TYPE wait_seconds histogram"));
    BOOST_TEST(hasLine(text, "wait_seconds_bucket{tier=\"0\",le=\"+Inf\"} 6"));
    BOOST_TEST(hasLine(text, "wait_seconds_count{tier=\"0\"} 6"));
}

// Guards against one series per organisation.
BOOST_AUTO_TEST_CASE(counter_manyLabelSets_shareOneSeries)
{
    Metrics metrics;
    for (int i = 0; i < 21000; ++i)
        metrics.counter("requests_total", "Requests.", { { "organisation", std::to_string(i) } })
                .add();
    const std::string text = metrics.text();
    BOOST_TEST(countOf(text, "requests_total{") == kMaxLabelSets + 1);
    BOOST_TEST(hasLine(text, "requests_total{organisation=\"other\"} "
                                     + std::to_string(21000 - kMaxLabelSets)));
}

// Guards against updates that are lost between threads.
BOOST_AUTO_TEST_CASE(update_manyThreads_nothingIsLost)
{
    Metrics metrics;
    Counter &counter = metrics.counter("c", "C.");
    Gauge &gauge = metrics.gauge("g", "G.");
    HistogramSeries &histogram = metrics.histogram("h", "H.");
    std::vector<std::thread> threads;
    threads.reserve(12);
    for (int t = 0; t < 12; ++t) {
        threads.emplace_back([&] {
            for (int i = 0; i < 5000; ++i) {
                counter.add();
                gauge.add(1);
                histogram.observe(0.5);
            }
        });
    }
    for (std::thread &thread : threads)
        thread.join();
    BOOST_TEST(counter.value() == 60000U);
    BOOST_TEST(gauge.value() == 60000.0);
    BOOST_TEST(histogram.snapshot().cumulative.back() == 60000U);
    BOOST_TEST(histogram.snapshot().sum == 30000.0);
}

// Guards against a deadlock of a collector that looks up its gauge, and against a clash of types.
BOOST_AUTO_TEST_CASE(text_collectorAndTypeClash_areHandled)
{
    Metrics metrics;
    metrics.addCollector([&] { metrics.gauge("up-time", "Up.").set(2.5); });
    metrics.counter("clash", "First.").add(1);
    metrics.gauge("clash", "Second.").set(9);
    const std::string text = metrics.text();
    BOOST_TEST(hasLine(text, "up_time 2.5"));
    BOOST_TEST(hasLine(text, "clash 1"));
    BOOST_TEST(countOf(text, "\nclash ") == 1U);
}

// Guards against process metrics that stay at their first value or have the wrong type.
BOOST_AUTO_TEST_CASE(processMetrics_text_isMeasured)
{
    Metrics metrics;
    addProcessMetrics(metrics);
    const Tracer tracer({});
    addTracerMetrics(metrics, tracer);
    const std::string text = metrics.text();
    BOOST_TEST(hasLine(text, "# TYPE process_cpu_seconds_total counter"));
    BOOST_TEST(hasLine(text, "auburn_trace_spans_dropped_total 0"));
    BOOST_TEST(metrics.gauge("process_resident_memory_bytes", "").value() > 100000.0);
    BOOST_TEST(metrics.measuredTotal("process_cpu_seconds_total", "").value() > 0.0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn
