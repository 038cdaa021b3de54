// Metrics of the process itself, under the names that all Prometheus clients use.
#pragma once

#include "auburn/core/metrics.h"

namespace auburn {

// Adds process_cpu_seconds_total, process_resident_memory_bytes and process_start_time_seconds;
// they are measured at each Metrics::text().
void addProcessMetrics(Metrics &metrics);

} // namespace auburn
