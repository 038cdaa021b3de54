// RequestTelemetry: turns the relay's request events into spans, metrics and one log line per
// request.
#pragma once

#include "auburn/core/metrics.h"
#include "auburn/core/tracer.h"
#include "auburn/relay/requestobserver.h"

#include <memory>

namespace auburn {

class RequestTelemetry : public RequestObserver
{
public:
    // Tracer and metrics must outlive the telemetry and every trace that it hands out.
    RequestTelemetry(Tracer &tracer, Metrics &metrics);

    std::unique_ptr<RequestTrace> received(const RelayRequest &request) override;
    void rejected(const Refusal &refusal) override;

private:
    Tracer &tracer_;
    Metrics &metrics_;
};

} // namespace auburn
