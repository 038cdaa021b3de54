// OperatorServer: the operators' endpoint, a ZeroMQ ROUTER with CURVE on its own thread.
//
// The server has a ZeroMQ context of its own: a context has one ZAP handler, and the operators'
// allow-list must not be mixed with the fleet's.
#pragma once

#include "auburn/daemon/commandexecutor.h"
#include "auburn/daemon/settings.h"

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace auburn {

// Largest request, in bytes; the connection of a peer that sends more is closed.
constexpr std::size_t kMaxOperatorRequestBytes = 65536;

class OperatorServer
{
public:
    struct Options
    {
        // tcp://IP:PORT; port * chooses a free one.
        std::string bind;
        // The server's CURVE keys in Z85, which is the fleet's key pair.
        std::string publicKey;
        std::string secretKey;
        std::vector<OperatorKey> operators;
    };

    // Starts serving. Null with lastError() set if the endpoint cannot be bound or a key is wrong.
    // The backend must outlive the server.
    static std::unique_ptr<OperatorServer> make(const Options &options, OperatorBackend &backend);

    // Closes the endpoint; changes in progress get no answer.
    ~OperatorServer();
    OperatorServer(const OperatorServer &) = delete;
    OperatorServer &operator=(const OperatorServer &) = delete;

    // The bound endpoint with its port, for example "tcp://127.0.0.1:8083".
    const std::string &endpoint() const;

private:
    class Worker;
    explicit OperatorServer(std::unique_ptr<Worker> worker);
    std::unique_ptr<Worker> worker_;
};

} // namespace auburn
