#include "attemptresponse.h"

#include "beastview.h"
#include "callerrequest.h"

#include <charconv>
#include <system_error>

namespace auburn::gateway {

AttemptResponse readAttemptResponse(const ResponseHeader &header, const HeaderNames &headerNames,
                                    bool mayStream)
{
    constexpr int kOk = 200;
    constexpr int kMisdirectedRequest = 421;
    const int status = static_cast<int>(header.result_int());
    const bool sealed = !header[headerNames.responseSeal].empty();
    return { .status = status,
             .sealed = sealed,
             .notExecuted = !header[headerNames.notExecuted].empty()
                            || status == kMisdirectedRequest,
             .identified = !header[headerNames.requestId].empty(),
             .isStream = mayStream && status == kOk && sealed,
             .fields = endToEndFields(header) };
}

namespace {

// A server that takes 100 times as long as usual does not work; a larger figure is a fault.
constexpr unsigned kMaxWorkTimePercent = 10000;

// Returns nullopt unless the text, up to the next separator, is a usable figure.
std::optional<unsigned> parseWorkTime(std::string_view text)
{
    unsigned percent = 0;
    const char *last = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), last, percent);
    const bool complete = parsed.ptr == last || *parsed.ptr == ',';
    if (parsed.ec != std::errc() || !complete || percent == 0 || percent > kMaxWorkTimePercent)
        return std::nullopt;
    return percent;
}

} // namespace

std::optional<routing::LoadReport> parseLoadReport(std::string_view text)
{
    routing::LoadReport report;
    const char *last = text.data() + text.size();
    auto parsed = std::from_chars(text.data(), last, report.running);
    if (parsed.ec != std::errc() || parsed.ptr == last)
        return std::nullopt;
    parsed = std::from_chars(parsed.ptr + 1, last, report.waiting);
    if (parsed.ec != std::errc() || parsed.ptr == last)
        return std::nullopt;
    parsed = std::from_chars(parsed.ptr + 1, last, report.slots);
    if (parsed.ec != std::errc())
        return std::nullopt;
    if (parsed.ptr != last && *parsed.ptr == ',')
        report.workTimePercent = parseWorkTime({ parsed.ptr + 1, last });
    return report;
}

} // namespace auburn::gateway
