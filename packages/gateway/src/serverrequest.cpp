#include "serverrequest.h"

#include <utility>

namespace auburn::gateway {

OutboundRequest makeServerRequest(const CallerRequest &request, const HeaderNames &headerNames,
                                  const ServerRequestFields &fields)
{
    constexpr std::size_t kUsualHeadBytes = 1024;
    std::string head;
    head.reserve(kUsualHeadBytes);
    const auto add = [&head](std::string_view name, std::string_view value) {
        head.append(name).append(": ").append(value).append("\r\n");
    };
    head.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
    add("Host", request.host);
    for (const HeaderField &field : request.fields)
        add(field.name, field.value);
    add(headerNames.deadline, std::to_string(fields.deadline.count()));
    add(headerNames.expectedServer, fields.expectedServer);
    if (request.organisation)
        add(headerNames.organisation, request.organisation->name);
    if (fields.urgency)
        add(headerNames.urgency, std::to_string(*fields.urgency));
    if (!fields.copySource.empty())
        add(headerNames.copySource, fields.copySource);
    if (!fields.lastEventId.empty())
        add(headerNames.lastEventId, fields.lastEventId);
    if (request.body)
        add("Content-Length", std::to_string(request.body->size()));
    else if (request.method != "GET" && request.method != "HEAD")
        add("Content-Length", "0");
    head.append("\r\n");
    return { .head = std::move(head), .body = request.body, .requestId = request.id };
}

} // namespace auburn::gateway
