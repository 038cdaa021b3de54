// RequestReader: turns a caller's HTTP request into a RelayRequest, or says why it is refused.
#pragma once

#include "auburn/config/configstate.h"
#include "auburn/core/refusal.h"
#include "auburn/relay/relaylimits.h"
#include "auburn/relay/relayrequest.h"

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace auburn {

// A caller that has been recognised.
struct CallerIdentity
{
    std::shared_ptr<const ConfigState> config;
    const Caller *caller = nullptr;
    const Organisation *organisation = nullptr;
    const RequestClass *requestClass = nullptr;
};

using RequestHeader = boost::beast::http::request_header<>;

// Framing that two HTTP implementations could read differently is refused.
std::optional<Refusal> checkFraming(const RequestHeader &header);

// Authentication, class selection and the checks that need no body.
std::variant<CallerIdentity, Refusal> identifyCaller(std::shared_ptr<const ConfigState> config,
                                                     const RequestHeader &header,
                                                     const RelayLimits &limits);

// The routed request. The id is set by the caller of this function.
std::variant<RelayRequest, Refusal> readRequest(const CallerIdentity &identity,
                                                const RequestHeader &header, std::string body);

// The answer to GET /v1/models: all engine services.
std::string modelList(const ConfigState &config);

} // namespace auburn
