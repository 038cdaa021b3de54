#include "callerrequest.h"

#include "beastview.h"

#include "auburn/core/hash.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <charconv>
#include <iterator>
#include <utility>

namespace auburn::gateway {

namespace http = boost::beast::http;
using boost::beast::iequals;

namespace {

// True for fields that apply to one connection only, and for Content-Length, which the daemon sets
// itself.
bool isHopByHopField(http::field name)
{
    switch (name) {
    case http::field::connection:
    case http::field::keep_alive:
    case http::field::proxy_connection:
    case http::field::proxy_authenticate:
    case http::field::proxy_authorization:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::upgrade:
    case http::field::content_length:
        return true;
    default:
        return false;
    }
}

bool isReserved(std::string_view name, const HeaderNames &headerNames)
{
    const auto matches = [name](const std::string &reserved) {
        return iequals(boost::beast::string_view(name.data(), name.size()),
                       boost::beast::string_view(reserved.data(), reserved.size()));
    };
    return std::any_of(headerNames.reserved.begin(), headerNames.reserved.end(), matches);
}

template<typename Number>
std::optional<Number> parseNumber(std::string_view text, int base = 10)
{
    Number number{};
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number, base);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != text.data() + text.size())
        return std::nullopt;
    return number;
}

std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && text.front() == ' ')
        text.remove_prefix(1);
    while (!text.empty() && text.back() == ' ')
        text.remove_suffix(1);
    return text;
}

// Parses "ID:TOKENS".
std::optional<routing::PromptPart> parsePromptPart(std::string_view text)
{
    const std::size_t colon = text.find(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    const auto tokens = parseNumber<std::uint64_t>(text.substr(colon + 1));
    if (!tokens)
        return std::nullopt;
    const std::string_view name = text.substr(0, colon);
    const auto id = parseNumber<std::uint64_t>(name, 16);
    return routing::PromptPart{ .id = id ? *id : stableHash(name), .tokens = *tokens };
}

// Parses a number of milliseconds, which may have a fraction; the fraction is dropped.
std::optional<std::chrono::milliseconds> parseMilliseconds(std::string_view text)
{
    double ms = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), ms);
    if (text.empty() || parsed.ec != std::errc() || !(ms >= 0) || ms > 1e9)
        return std::nullopt;
    return std::chrono::milliseconds(static_cast<std::int64_t>(ms));
}

} // namespace

std::vector<HeaderField> endToEndFields(const http::fields &fields, std::string_view keptName)
{
    std::vector<HeaderField> result;
    const auto connection = fields[http::field::connection];
    result.reserve(static_cast<std::size_t>(std::distance(fields.begin(), fields.end())));
    for (const auto &field : fields) {
        if (isHopByHopField(field.name()))
            continue;
        const bool listed = !connection.empty()
                            && http::token_list(connection).exists(field.name_string());
        if (!listed || iequals(field.name_string(), { keptName.data(), keptName.size() }))
            result.push_back({ .name = std::string(toStringView(field.name_string())),
                               .value = std::string(toStringView(field.value())) });
    }
    return result;
}

routing::PromptParts parsePromptParts(std::string_view text)
{
    routing::PromptParts parts;
    while (!text.empty()) {
        const std::size_t comma = std::min(text.find(','), text.size());
        const auto part = parsePromptPart(trimmed(text.substr(0, comma)));
        if (part)
            parts.push_back(*part);
        text.remove_prefix(std::min(comma + 1, text.size()));
    }
    return parts;
}

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

CallerRequest readCallerRequest(const RequestHeader &header, HeldString body,
                                const HeaderNames &headerNames)
{
    CallerRequest request;
    request.id = std::string(toStringView(header[headerNames.requestId]));
    request.method = std::string(toStringView(header.method_string()));
    request.target = std::string(toStringView(header.target()));
    request.host = std::string(toStringView(header[http::field::host]));
    request.apiKey = std::string(toStringView(header[headerNames.apiKey]));
    request.lastEventId = std::string(toStringView(header[headerNames.lastEventId]));
    request.resumedId = std::string(toStringView(header[headerNames.resumedRequest]));
    request.prompt = parsePromptParts(toStringView(header[headerNames.promptParts]));
    request.deadline = parseMilliseconds(toStringView(header[headerNames.deadline]));
    for (HeaderField &field : endToEndFields(header, headerNames.requestId)) {
        const bool setByDaemon = iequals(field.name, "Host") || iequals(field.name, "Expect");
        if (!setByDaemon && !isReserved(field.name, headerNames))
            request.fields.push_back(std::move(field));
    }
    if (!body.text.empty()) {
        const auto held = std::make_shared<const HeldString>(std::move(body));
        request.body = std::shared_ptr<const std::string>(held, &held->text);
    }
    return request;
}

std::uint64_t requestFingerprint(const CallerRequest &request)
{
    std::uint64_t hash = stableHash(request.body ? *request.body : std::string());
    hash = stableHash(request.target, hash);
    hash = stableHash(request.method, hash);
    return stableHash(request.organisation ? request.organisation->name : std::string(), hash);
}

} // namespace auburn::gateway
