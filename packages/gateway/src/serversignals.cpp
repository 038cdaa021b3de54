#include "serversignals.h"

#include "attemptresponse.h"
#include "beastview.h"
#include "requestrecord.h"
#include "retryafter.h"

#include "auburn/core/log.h"

#include <optional>

namespace auburn::gateway {

using std::chrono::steady_clock;

namespace {

constexpr unsigned kMisdirectedRequest = 421;
constexpr unsigned kServiceUnavailable = 503;

void recordLoad(const ResponseHeader &header, const HeaderNames &headerNames,
                const SignalSource &source, RoutingState &state)
{
    const auto report = parseLoadReport(toStringView(header[headerNames.serverLoad]));
    if (report)
        state.placement.recordLoadReport(source.server, *report, steady_clock::now());
}

void recordLimit(const ResponseHeader &header, const HeaderNames &headerNames,
                 const SignalSource &source, RoutingState &state)
{
    // Another server responds at the address.
    if (header.result_int() == kMisdirectedRequest)
        return;
    const auto text = toStringView(header[headerNames.serverLimit]);
    const auto limit = routing::parseServerLimit(text);
    // A field that cannot be read says neither that there is a limit nor that there is none.
    if (!limit && !text.empty())
        return;
    const auto before = state.limits.limitOf(source.server);
    const bool changed = limit ? state.limits.recordLimit(source.server, *limit,
                                                          steady_clock::now())
                               : state.limits.recordNoLimit(source.server, source.sentAt);
    if (changed)
        recordLimitChange({ .server = source.server,
                            .service = source.service,
                            .requestId = source.requestId,
                            .before = before,
                            .now = state.limits.limitOf(source.server) });
}

void recordLeaving(const ResponseHeader &header, const HeaderNames &headerNames,
                   const SignalSource &source, RoutingState &state)
{
    const bool isLeaving = !header[headerNames.serverLeaving].empty();
    if (isLeaving && state.directory.withdraw(source.server))
        logEvent(LogLevel::Info, "server_withdrawn",
                 { { "server", source.server },
                   { "service", source.service },
                   { "id", source.requestId } });
}

void recordBackoff(const ResponseHeader &header, const SignalSource &source, RoutingState &state)
{
    const auto wait = header.result_int() == kServiceUnavailable
                              ? parseRetryAfter(toStringView(header["Retry-After"]))
                              : std::nullopt;
    if (!wait)
        return;
    const auto now = steady_clock::now();
    state.directory.backOff(source.server, now + *wait, now);
    logEvent(LogLevel::Info, "server_backoff",
             { { "server", source.server },
               { "service", source.service },
               { "id", source.requestId },
               { "ms", static_cast<long long>(wait->count()) } });
}

} // namespace

void recordServerSignals(const ResponseHeader &header, const HeaderNames &headerNames,
                         const SignalSource &source, RoutingState &state)
{
    recordLoad(header, headerNames, source, state);
    recordLimit(header, headerNames, source, state);
    recordLeaving(header, headerNames, source, state);
    recordBackoff(header, source, state);
}

} // namespace auburn::gateway
