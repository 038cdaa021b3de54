// Metrics that more than one class of this package updates.
#pragma once

#include "auburn/core/metrics.h"

namespace auburn::usage {

inline Counter &lateRequestsCounter(Metrics &metrics)
{
    return metrics.counter("auburn_usage_late_requests_total",
                           "Requests that were not reported because their window was closed");
}

} // namespace auburn::usage
