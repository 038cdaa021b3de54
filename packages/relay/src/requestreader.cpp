#include "requestreader.h"

#include "prompt.h"

#include "auburn/core/hash.h"
#include "auburn/core/lasterror.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <charconv>
#include <string_view>
#include <utility>

namespace auburn {

namespace http = boost::beast::http;
using boost::beast::iequals;

namespace {

constexpr std::string_view kServicePrefix = "/v1/services/";

Refusal refusalOf(RefusalCode code, std::string message)
{
    return Refusal{ .code = code, .message = std::move(message) };
}

std::string_view viewOf(boost::beast::string_view text)
{
    return { text.data(), text.size() };
}

std::string_view bearerToken(const RequestHeader &header)
{
    const std::string_view value = viewOf(header[http::field::authorization]);
    constexpr std::string_view kScheme = "bearer ";
    if (value.size() <= kScheme.size())
        return {};
    const boost::beast::string_view scheme(value.data(), kScheme.size());
    if (!iequals(scheme, boost::beast::string_view(kScheme.data(), kScheme.size())))
        return {};
    return value.substr(kScheme.size());
}

// The caller's class, or the one that it asked for if that is not above it.
std::variant<const RequestClass *, Refusal> selectClass(const ConfigState &config,
                                                        const Caller &caller,
                                                        const RequestHeader &header)
{
    const RequestClass *own = config.requestClass(caller.className);
    if (!own)
        return refusalOf(RefusalCode::ClassNotAllowed, "the caller's class is not configured");
    const auto wanted = header.find("Auburn-Class");
    if (wanted == header.end())
        return own;
    const RequestClass *selected = config.requestClass(std::string(wanted->value()));
    if (!selected)
        return refusalOf(RefusalCode::ClassNotAllowed, "unknown class in Auburn-Class");
    if (selected->tier < own->tier)
        return refusalOf(RefusalCode::ClassNotAllowed,
                         "the class in Auburn-Class is above the caller's own");
    return selected;
}

bool isRelayedField(const RequestHeader &header, http::field name, std::string_view nameText)
{
    switch (name) {
    case http::field::authorization:
    case http::field::proxy_authorization:
    case http::field::proxy_connection:
    case http::field::host:
    case http::field::connection:
    case http::field::keep_alive:
    case http::field::transfer_encoding:
    case http::field::content_length:
    case http::field::te:
    case http::field::trailer:
    case http::field::upgrade:
    case http::field::expect:
        return false;
    default:
        break;
    }
    const boost::beast::string_view text(nameText.data(), nameText.size());
    const bool isOurs = iequals(text.substr(0, 7), "auburn-") || iequals(text, "traceparent")
                        || iequals(text, "X-Request-Id") || iequals(text, "Idempotency-Key")
                        || iequals(text, "tracestate");
    if (isOurs)
        return false;
    const auto listed = header[http::field::connection];
    return listed.empty() || !http::token_list(listed).exists(text);
}

std::vector<HeaderField> relayedFields(const RequestHeader &header)
{
    std::vector<HeaderField> fields;
    for (const auto &field : header) {
        const std::string_view name = viewOf(field.name_string());
        if (isRelayedField(header, field.name(), name))
            fields.push_back({ std::string(name), std::string(field.value()) });
    }
    return fields;
}

std::optional<std::chrono::milliseconds> timeoutField(const RequestHeader &header, bool *valid)
{
    *valid = true;
    const auto found = header.find("Auburn-Timeout-Ms");
    if (found == header.end())
        return std::nullopt;
    const std::string_view text = viewOf(found->value());
    std::int64_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    *valid = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size() && value > 0;
    return std::chrono::milliseconds(value);
}

// Fills in what depends on the path: the service, the target and the prompt.
std::optional<Refusal> routeChat(const ConfigState &config, const RequestHeader &header,
                                 RelayRequest &request)
{
    if (header.method() != http::verb::post)
        return refusalOf(RefusalCode::MethodNotAllowed, "chat completions take POST only");
    const std::optional<Prompt> prompt = parsePrompt(request.body);
    if (!prompt)
        return refusalOf(RefusalCode::InvalidRequest, lastError());
    const Service *service = config.service(prompt->model);
    if (!service || service->kind != ServiceKind::Engine)
        return refusalOf(RefusalCode::ModelNotFound, "no such model: " + prompt->model);
    request.service = *service;
    request.target = std::string(header.target());
    request.stream = prompt->stream;
    request.prefixHash = prompt->prefixHash;
    request.promptTokens = prompt->tokens;
    return std::nullopt;
}

std::optional<Refusal> routeService(const ConfigState &config, const RequestHeader &header,
                                    RelayRequest &request)
{
    const std::string_view rest = viewOf(header.target()).substr(kServicePrefix.size());
    const std::size_t end = std::min(rest.find_first_of("/?"), rest.size());
    const std::string name(rest.substr(0, end));
    const Service *service = config.service(name);
    if (!service || service->kind != ServiceKind::Plain)
        return refusalOf(RefusalCode::NotFound, "no such service: " + name);
    request.service = *service;
    request.target = std::string(rest.substr(end));
    if (!request.target.starts_with('/'))
        request.target.insert(0, "/");
    request.fields = relayedFields(header);
    return std::nullopt;
}

std::optional<Refusal> applyHeaders(const RequestHeader &header, RelayRequest &request)
{
    const bool marked = iequals(header["Auburn-Non-Idempotent"], "true");
    request.nonIdempotent = marked || request.service.nonIdempotent;
    if (request.nonIdempotent && request.idempotencyKey.empty())
        return refusalOf(RefusalCode::IdempotencyKeyMissing,
                         "a non-idempotent request needs the header Idempotency-Key");
    bool valid = false;
    const auto timeout = timeoutField(header, &valid);
    if (!valid)
        return refusalOf(RefusalCode::InvalidRequest,
                         "Auburn-Timeout-Ms must be a positive number of milliseconds");
    const auto limit = request.service.requestTimeout;
    request.deadline = request.received + std::min(timeout.value_or(limit), limit);
    return std::nullopt;
}

} // namespace

std::optional<Refusal> checkFraming(const RequestHeader &header)
{
    const auto lengths = header.count(http::field::content_length);
    const bool hasEncoding = header.count(http::field::transfer_encoding) > 0;
    if (lengths > 1)
        return refusalOf(RefusalCode::InvalidRequest, "more than one Content-Length header");
    if (lengths > 0 && hasEncoding)
        return refusalOf(RefusalCode::InvalidRequest, "Content-Length with Transfer-Encoding");
    if (hasEncoding && !iequals(header[http::field::transfer_encoding], "chunked"))
        return refusalOf(RefusalCode::InvalidRequest, "unsupported Transfer-Encoding");
    return std::nullopt;
}

std::variant<CallerIdentity, Refusal> identifyCaller(std::shared_ptr<const ConfigState> config,
                                                     const RequestHeader &header,
                                                     const RelayLimits &limits)
{
    const std::string_view token = bearerToken(header);
    if (token.empty())
        return refusalOf(RefusalCode::Unauthorized, "no bearer token in the Authorization header");
    const Caller *caller = config->callerByToken(sha256Hex(token));
    if (!caller)
        return refusalOf(RefusalCode::Unauthorized, "unknown token");
    if (caller->revoked)
        return refusalOf(RefusalCode::Unauthorized, "the token has been revoked");
    const Organisation *organisation = config->organisation(caller->organisation);
    if (!organisation)
        return refusalOf(RefusalCode::Unauthorized, "the caller's organisation does not exist");
    if (organisation->suspended)
        return refusalOf(RefusalCode::OrganisationSuspended, "the organisation is suspended");
    auto selected = selectClass(*config, *caller, header);
    if (auto *refusal = std::get_if<Refusal>(&selected))
        return std::move(*refusal);
    if (header["Idempotency-Key"].size() > limits.keyCharacters)
        return refusalOf(RefusalCode::IdempotencyKeyInvalid,
                         "the Idempotency-Key is longer than "
                                 + std::to_string(limits.keyCharacters) + " characters");
    return CallerIdentity{ .config = std::move(config),
                           .caller = caller,
                           .organisation = organisation,
                           .requestClass = std::get<const RequestClass *>(selected) };
}

std::variant<RelayRequest, Refusal> readRequest(const CallerIdentity &identity,
                                                const RequestHeader &header, std::string body)
{
    RelayRequest request{ .traceparent = std::string(header["traceparent"]),
                          .caller = identity.caller->name,
                          .organisation = identity.organisation->name,
                          .className = identity.requestClass->name,
                          .tier = identity.requestClass->tier,
                          .method = std::string(header.method_string()),
                          .body = std::move(body),
                          .idempotencyKey = std::string(header["Idempotency-Key"]),
                          .received = std::chrono::steady_clock::now() };
    const std::string_view target = viewOf(header.target());
    const std::string_view path = target.substr(0, target.find('?'));
    std::optional<Refusal> refusal;
    if (path == "/v1/chat/completions")
        refusal = routeChat(*identity.config, header, request);
    else if (target.starts_with(kServicePrefix))
        refusal = routeService(*identity.config, header, request);
    else
        refusal = refusalOf(RefusalCode::NotFound, "no such path: " + std::string(path));
    if (!refusal)
        refusal = applyHeaders(header, request);
    if (refusal)
        return std::move(*refusal);
    request.fingerprint = stableHash(request.body, stableHash(request.organisation));
    return request;
}

std::string modelList(const ConfigState &config)
{
    QJsonArray models;
    for (const Service *service : config.services()) {
        if (service->kind != ServiceKind::Engine)
            continue;
        models.append(QJsonObject{ { "id", QString::fromStdString(service->name) },
                                   { "object", "model" },
                                   { "owned_by", "auburnworks" } });
    }
    const QJsonObject list{ { "object", "list" }, { "data", models } };
    return QJsonDocument(list).toJson(QJsonDocument::Compact).toStdString();
}

} // namespace auburn
