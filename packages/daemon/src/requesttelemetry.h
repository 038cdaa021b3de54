#pragma once

#include "auburn/core/loglimit.h"
#include "auburn/core/metrics.h"
#include "auburn/core/tracer.h"
#include "auburn/relay/requestobserver.h"

#include <memory>

namespace auburn {

// Records spans, metrics and one log line for each request that the relay handles.
class RequestTelemetry : public RequestObserver
{
public:
    // The tracer and the metrics must outlive this object and every trace that received() returns.
    RequestTelemetry(Tracer &tracer, Metrics &metrics);

    std::unique_ptr<RequestTrace> received(const RelayRequest &request) override;
    void rejected(const Refusal &refusal) override;

private:
    Tracer &tracer_;
    Metrics &metrics_;
    // Bounds the log lines of rejected requests, in lines a second.
    LogLimit rejectionLines_{ 50 };
};

} // namespace auburn
