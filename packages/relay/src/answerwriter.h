// AnswerWriter: how a session answers its caller.
#pragma once

#include "auburn/core/refusal.h"
#include "auburn/relay/relayrequest.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace auburn {

struct AnswerHead
{
    int status = 200;
    std::vector<HeaderField> fields;
};

// Exactly one of refuse(), sendWhole() and beginStream() ... endStream() is called. All functions
// are called on the connection's thread, and none calls back into the session.
class AnswerWriter
{
public:
    virtual ~AnswerWriter() = default;

    virtual void refuse(const Refusal &refusal) = 0;
    virtual void sendWhole(AnswerHead head, std::string body) = 0;
    // Writes the head together with the first data. False if the caller is behind: the session
    // stops reading from the backend server until RelaySession::callerReady().
    virtual bool beginStream(const AnswerHead &head, const std::vector<std::string_view> &data) = 0;
    virtual bool sendData(const std::vector<std::string_view> &data) = 0;
    // Ends the stream. After a broken one the connection is closed as well.
    virtual void endStream(bool complete) = 0;
    // Bytes given to the caller's connection for this answer.
    virtual std::uint64_t bytesSent() const = 0;
};

} // namespace auburn
