#include "auburn/core/processmetrics.h"

#include <chrono>
#include <fstream>
#include <sys/resource.h>
#include <unistd.h>

namespace auburn {

namespace {

double seconds(const timeval &time)
{
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
}

double cpuSeconds()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

// 0 if the system does not tell.
double residentBytes()
{
    std::ifstream file("/proc/self/statm");
    double totalPages = 0;
    double residentPages = 0;
    file >> totalPages >> residentPages;
    return residentPages * static_cast<double>(sysconf(_SC_PAGESIZE));
}

double epochSeconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration<double>(now).count();
}

} // namespace

void addProcessMetrics(Metrics &metrics)
{
    metrics.gauge("process_start_time_seconds", "Start of the process, Unix time.")
            .set(epochSeconds());
    Gauge &cpu = metrics.measuredTotal("process_cpu_seconds_total", "CPU time, user and system.");
    Gauge &memory = metrics.gauge("process_resident_memory_bytes", "Resident memory.");
    metrics.addCollector([&cpu, &memory] {
        cpu.set(cpuSeconds());
        memory.set(residentBytes());
    });
}

void addTracerMetrics(Metrics &metrics, const Tracer &tracer)
{
    Gauge &exported = metrics.measuredTotal("auburn_trace_spans_exported_total",
                                            "Spans taken by the trace target.");
    Gauge &dropped = metrics.measuredTotal("auburn_trace_spans_dropped_total",
                                           "Spans lost to a full queue or a failed export.");
    metrics.addCollector([&exported, &dropped, &tracer] {
        exported.set(static_cast<double>(tracer.exported()));
        dropped.set(static_cast<double>(tracer.dropped()));
    });
}

} // namespace auburn
