// Metrics of the process itself and of its tracer.
#pragma once

#include "auburn/core/metrics.h"
#include "auburn/core/tracer.h"

namespace auburn {

// Adds process_cpu_seconds_total, process_resident_memory_bytes and process_start_time_seconds, the
// names that all Prometheus clients use; they are measured at each Metrics::text().
void addProcessMetrics(Metrics &metrics);

// Adds auburn_trace_spans_exported_total and auburn_trace_spans_dropped_total. The tracer must
// outlive the metrics.
void addTracerMetrics(Metrics &metrics, const Tracer &tracer);

} // namespace auburn
