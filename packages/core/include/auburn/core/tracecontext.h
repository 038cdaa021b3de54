// TraceContext: identity of a span within its trace, as carried by the W3C traceparent header.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace auburn {

struct TraceContext
{
    // 32 lower-case hexadecimal digits, not all zero.
    std::string traceId;
    // 16 lower-case hexadecimal digits, not all zero.
    std::string spanId;
    bool sampled = false;
};

// The context in a traceparent header; nothing if the header does not follow W3C Trace Context
// level 1. A header of a later version is read as far as level 1 defines it.
std::optional<TraceContext> parseTraceparent(std::string_view header);

// The traceparent header of a context; empty for a context without ids.
std::string formatTraceparent(const TraceContext &context);

} // namespace auburn
