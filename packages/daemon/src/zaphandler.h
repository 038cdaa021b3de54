#pragma once

#include "auburn/daemon/settings.h"

#include <map>
#include <string>
#include <vector>
#include <zmq.hpp>

namespace auburn {

// Authenticates connections to the operator endpoint: accepts only the CURVE keys of configured
// operators (ZAP, ZeroMQ RFC 27).
class ZapHandler
{
public:
    // Binds the ZAP endpoint of the context. The handler must exist before any server socket of the
    // context is bound, because ZeroMQ accepts every key while there is no handler.
    ZapHandler(zmq::context_t &context, const std::vector<OperatorKey> &operators);

    // Socket to poll for requests.
    zmq::socket_t &socket() { return socket_; }

    // Handles one authentication request, if any. The operator's name becomes the "User-Id"
    // property of the connection's messages.
    void handleRequest();

private:
    // Returns the name of the operator with this key (32 raw bytes), or an empty string if the key
    // is unknown.
    std::string operatorForKey(const std::string &keyBytes) const;
    // Accepts the connection in the name of the operator, or rejects it if the name is empty.
    void sendReply(const std::string &requestId, const std::string &operatorName);

    zmq::socket_t socket_;
    // Operator names by public key (32 raw bytes).
    std::map<std::string, std::string> namesByKey_;
};

} // namespace auburn
