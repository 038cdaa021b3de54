#include "auburn/core/tracecontext.h"

#include <algorithm>

namespace auburn {

namespace {

// Lengths of version, trace id, parent id and flags with the dashes between them.
constexpr std::size_t kHeaderLength = 2 + 1 + 32 + 1 + 16 + 1 + 2;

bool isLowerHex(std::string_view text)
{
    return std::all_of(text.begin(), text.end(),
                       [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
}

bool isAllZero(std::string_view text)
{
    return text.find_first_not_of('0') == std::string_view::npos;
}

bool lowestBitSet(char hexDigit)
{
    const int value = hexDigit <= '9' ? hexDigit - '0' : hexDigit - 'a' + 10;
    return (value & 1) != 0;
}

} // namespace

std::optional<TraceContext> parseTraceparent(std::string_view header)
{
    if (header.size() < kHeaderLength)
        return std::nullopt;
    const std::string_view version = header.substr(0, 2);
    const std::string_view traceId = header.substr(3, 32);
    const std::string_view spanId = header.substr(36, 16);
    const std::string_view flags = header.substr(53, 2);
    if (header[2] != '-' || header[35] != '-' || header[52] != '-')
        return std::nullopt;
    if (!isLowerHex(version) || !isLowerHex(traceId) || !isLowerHex(spanId) || !isLowerHex(flags))
        return std::nullopt;
    if (version == "ff" || isAllZero(traceId) || isAllZero(spanId))
        return std::nullopt;
    // Version 00 has exactly these fields; later versions may append "-..." to them.
    if (header.size() > kHeaderLength && (version == "00" || header[kHeaderLength] != '-'))
        return std::nullopt;
    return TraceContext{ .traceId = std::string(traceId),
                         .spanId = std::string(spanId),
                         .sampled = lowestBitSet(flags[1]) };
}

std::string formatTraceparent(const TraceContext &context)
{
    if (context.traceId.empty() || context.spanId.empty())
        return {};
    return "00-" + context.traceId + '-' + context.spanId + (context.sampled ? "-01" : "-00");
}

} // namespace auburn
