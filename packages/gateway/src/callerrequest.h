// CallerRequest: one whole request of a caller with its route and organisation.
#pragma once

#include "auburn/core/bootclock.h"
#include "auburn/core/headerfield.h"
#include "auburn/gateway/headernames.h"
#include "auburn/routing/promptpart.h"
#include "auburn/routing/trafficconfig.h"

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburn::gateway {

using RequestHeader = boost::beast::http::request_header<>;

struct CallerRequest
{
    // As the caller sent it; unique for each of its requests.
    std::string id;
    std::string method;
    // Path and query, unchanged.
    std::string target;
    std::string host;
    // End-to-end headers without the reserved ones.
    std::vector<HeaderField> fields;
    std::shared_ptr<const std::string> body;
    std::string apiKey;
    std::string lastEventId;
    routing::PromptParts prompt;
    // When the first byte arrived.
    BootClock::time_point received;
    // Time that the caller gives the request from then on.
    std::optional<std::chrono::milliseconds> deadline;

    std::shared_ptr<const routing::TrafficConfig> config;
    // Points into the configuration.
    const routing::Route *route = nullptr;
    // Null on public routes.
    const routing::Organisation *organisation = nullptr;
};

// Reads the request's own fields; route and organisation are left empty.
CallerRequest readCallerRequest(const RequestHeader &header, std::string body,
                                const HeaderNames &headerNames);

// "ID:TOKENS,..." with hexadecimal ids; entries that cannot be read are left out.
routing::PromptParts parsePromptParts(std::string_view text);

// The path of a request target without its query.
std::string_view pathOf(std::string_view target);

// Hash of organisation, method, path and body; equal for repetitions of one request.
std::uint64_t requestFingerprint(const CallerRequest &request);

// The fields of an answer or request that are not bound to one connection.
std::vector<HeaderField> endToEndFields(const boost::beast::http::fields &fields);

} // namespace auburn::gateway
