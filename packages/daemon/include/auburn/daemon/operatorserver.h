#pragma once

#include "auburn/daemon/commandexecutor.h"
#include "auburn/daemon/settings.h"

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace auburn {

// Maximum size of a request in bytes; the connection of a peer that sends more is closed.
constexpr std::size_t kMaxOperatorRequestBytes = 65536;

// Serves commands of operators (auburnctl) on a ZeroMQ ROUTER socket with CURVE, on its own thread.
//
// The server has its own ZeroMQ context: a context has only one ZAP handler, and the allow-list of
// operators must not be mixed with that of the fleet.
class OperatorServer
{
public:
    struct Options
    {
        // tcp://IP:PORT; port * selects a free port.
        std::string bind;
        // The server's CURVE key pair in Z85; the same as the fleet's.
        std::string publicKey;
        std::string secretKey;
        std::vector<OperatorKey> operators;
    };

    // Starts serving. Returns null with lastError() set if the endpoint cannot be bound or a key is
    // invalid. The backend must outlive the server.
    static std::unique_ptr<OperatorServer> make(const Options &options, OperatorBackend &backend);

    // Closes the endpoint. Pending changes get no reply.
    ~OperatorServer();
    OperatorServer(const OperatorServer &) = delete;
    OperatorServer &operator=(const OperatorServer &) = delete;

    // Bound endpoint with the actual port, for example "tcp://127.0.0.1:8083".
    const std::string &endpoint() const;

private:
    class Worker;
    explicit OperatorServer(std::unique_ptr<Worker> worker);
    std::unique_ptr<Worker> worker_;
};

} // namespace auburn
