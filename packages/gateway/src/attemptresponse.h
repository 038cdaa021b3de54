#pragma once

#include "auburn/core/headerfield.h"
#include "auburn/gateway/headernames.h"
#include "auburn/gateway/outboundconnection.h"
#include "auburn/routing/placement.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburn::gateway {

// AttemptResponse is what a backend server has responded to one attempt so far.
struct AttemptResponse
{
    // 0 until the header has arrived.
    int status = 0;
    // The server has marked the response as its own. A success without it is not forwarded.
    bool sealed = false;
    // The server declares that it has not run the request.
    bool notExecuted = false;
    // The response carries the id of the request.
    bool identified = false;
    // The body is a stream of events, which EventStream assembles.
    bool isStream = false;
    // The end-to-end header fields.
    std::vector<HeaderField> fields;
    // The body received so far, unless it is a stream.
    std::string body;

    bool isServerError() const { return status >= 500; }
    bool isUnsealedSuccess() const { return status < 300 && !sealed; }
    // True if the status would tell a caller that the request has not run.
    bool statusMeansNotRun() const { return status == 503 || status == 429 || status == 408; }
};

// Reads the header of a response. mayStream is true if the route responds with streams.
AttemptResponse readAttemptResponse(const ResponseHeader &header, const HeaderNames &headerNames,
                                    bool mayStream);

// Parses "RUNNING,WAITING,SLOTS" or "RUNNING,WAITING,SLOTS,WORKTIME", the load that a server states
// in its response; the work time is in hundredths of the usual time. Returns nullopt if the first
// three values have another form. A work time that is zero, negative, above 10,000 or unreadable is
// ignored.
std::optional<routing::LoadReport> parseLoadReport(std::string_view text);

} // namespace auburn::gateway
