// AnswerSink: the caller's side of one request, which takes the answer.
#pragma once

#include "auburn/core/headerfield.h"

#include <string>
#include <string_view>
#include <vector>

namespace auburn::gateway {

struct ResponseHead
{
    int status = 200;
    std::vector<HeaderField> fields;
};

class ResponseWriter
{
public:
    virtual ~ResponseWriter() = default;

    virtual void sendResponse(ResponseHead head, std::string body) = 0;
    virtual void beginStream(ResponseHead head) = 0;
    virtual void sendStreamData(std::string_view data) = 0;
    // An incomplete stream ends so that the caller can tell.
    virtual void endStream(bool complete) = 0;
    // The caller is too slow; the sender pauses until callerReady().
    virtual bool isCongested() const = 0;
};

} // namespace auburn::gateway
