#pragma once

#include "auburn/core/headerfield.h"

#include <string>
#include <string_view>
#include <vector>

namespace auburn::gateway {

// Status and header fields of a response to a caller.
struct ResponseHead
{
    int status = 200;
    std::vector<HeaderField> fields;
};

// ResponseWriter sends the response to one request to its caller.
class ResponseWriter
{
public:
    virtual ~ResponseWriter() = default;

    // Sends a complete response with a Content-Length.
    virtual void sendResponse(ResponseHead head, std::string body) = 0;
    // Sends the head of a response of unknown length, whose body follows in parts.
    virtual void beginStream(ResponseHead head) = 0;
    virtual void sendStreamData(std::string_view data) = 0;
    // Ends the stream. If it is incomplete, the connection is closed without the end of the body,
    // so that the caller can tell.
    virtual void endStream(bool complete) = 0;
    // True if too many bytes wait to be sent to a slow caller. The sender must pause until
    // Exchange::callerWritable().
    virtual bool isCongested() const = 0;
};

} // namespace auburn::gateway
