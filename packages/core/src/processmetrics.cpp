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

} // namespace auburn
