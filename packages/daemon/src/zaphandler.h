// ZapHandler: accepts only the configured operators' CURVE keys (ZeroMQ RFC 27).
#pragma once

#include "auburn/daemon/settings.h"

#include <map>
#include <string>
#include <vector>
#include <zmq.hpp>

namespace auburn {

class ZapHandler
{
public:
    // Binds the context's ZAP endpoint; must exist before any server socket of the context is
    // bound, because ZeroMQ accepts every key while there is no handler.
    ZapHandler(zmq::context_t &context, const std::vector<OperatorKey> &operators);

    // Socket to poll for requests.
    zmq::socket_t &socket() { return socket_; }

    // Answers one request. The operator's name becomes the "User-Id" of the connection's messages.
    void handleRequest();

private:
    // Empty if the key is unknown.
    std::string operatorForKey(const std::string &keyBytes) const;
    void sendReply(const std::string &requestId, const std::string &operatorName);

    zmq::socket_t socket_;
    std::map<std::string, std::string> namesByKey_;
};

} // namespace auburn
