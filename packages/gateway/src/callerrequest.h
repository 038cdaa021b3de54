#pragma once

#include "auburn/core/bootclock.h"
#include "auburn/core/headerfield.h"
#include "auburn/core/memorybudget.h"
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

// Request line and header fields of a request, as parsed by Boost.Beast.
using RequestHeader = boost::beast::http::request_header<>;

// CallerRequest holds a complete request of a caller, with its route and organisation.
struct CallerRequest
{
    // The request id set by the caller, unique among its requests.
    std::string id;
    std::string method;
    // Path and query, as sent by the caller.
    std::string target;
    std::string host;
    // End-to-end header fields, without the reserved ones.
    std::vector<HeaderField> fields;
    std::shared_ptr<const std::string> body;
    std::string apiKey;
    std::string lastEventId;
    // The id of the attempt that brought the first event of the stream that the caller resumes.
    std::string resumedId;
    routing::PromptParts prompt;
    // The time at which the first byte arrived.
    BootClock::time_point received;
    // The time limit set by the caller, counted from received.
    std::optional<std::chrono::milliseconds> deadline;

    std::shared_ptr<const routing::TrafficConfig> config;
    // Owned by config.
    const routing::Route *route = nullptr;
    // Null on public routes.
    const routing::Organisation *organisation = nullptr;
};

// Reads everything that the request itself contains. The reception time, the configuration, the
// route and the organisation are left empty.
CallerRequest readCallerRequest(const RequestHeader &header, HeldString body,
                                const HeaderNames &headerNames);

// Parses "ID:TOKENS,...". An ID that is not hexadecimal is hashed; entries without a valid token
// count are skipped.
routing::PromptParts parsePromptParts(std::string_view text);

// Returns the path of a request target, without its query.
std::string_view pathOf(std::string_view target);

// Hashes organisation, method, target and body. Repetitions of a request have equal fingerprints.
std::uint64_t requestFingerprint(const CallerRequest &request);

// Returns the header fields of a request or response without the hop-by-hop ones. A field with the
// kept name is end-to-end even if the Connection field lists it.
std::vector<HeaderField> endToEndFields(const boost::beast::http::fields &fields,
                                        std::string_view keptName = {});

} // namespace auburn::gateway
