// BackendServerKind: how one kind of backend server is spoken to. Kinds are plug-ins and register
// themselves with Registry<BackendServerKind>: "openai" (engines) and "plain" (plain services).
#pragma once

#include "auburn/core/registry.h"
#include "auburn/relay/relayrequest.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace auburn {

// One HTTP request to a backend server. Host, Connection, Content-Length and X-Request-Id are added
// by the client.
struct BackendServerMessage
{
    std::string method;
    std::string target;
    // Sent as X-Request-Id; no two messages have the same. Without an id, or if the answer does not
    // repeat it, the connection carries no other message.
    std::string requestId = {};
    std::vector<HeaderField> fields;
    std::shared_ptr<const std::string> body;
};

class BackendServerKind
{
public:
    virtual ~BackendServerKind() = default;

    // The request of one attempt, with attemptId as its request id.
    virtual BackendServerMessage message(const RelayRequest &request, const std::string &attemptId,
                                         const std::string &traceparent) const = 0;
    // Asks for the rest of a broken stream; nothing if the kind cannot resume.
    virtual std::optional<BackendServerMessage> resume(const std::string &attemptId,
                                                       const std::string &lastEventId) const = 0;
    // Cancels an attempt; nothing if the kind cannot be told.
    virtual std::optional<BackendServerMessage> cancel(const std::string &attemptId) const = 0;
    // Tokens in a whole answer; 0 if the kind has none.
    virtual unsigned tokensIn(const std::string &answerBody) const = 0;
};

using BackendServerKindRegistry = Registry<BackendServerKind>;

} // namespace auburn
