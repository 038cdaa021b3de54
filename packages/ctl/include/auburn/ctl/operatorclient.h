// OperatorClient: sends one command to a daemon's operators' endpoint and waits for the reply.
#pragma once

#include "auburn.pb.h"

#include <chrono>
#include <string>
#include <variant>

namespace auburn {

// Why there is no reply.
enum class ClientFailure {
    // An option is unusable, for example a key that is not Z85.
    Usage,
    // The daemon refused the operator's key; nothing was sent.
    Unauthorised,
    // No connection was made in time; nothing was sent.
    NotSent,
    // The command was sent, but no reply came in time.
    NoReply,
};

struct ClientError
{
    ClientFailure failure = ClientFailure::NotSent;
    std::string message;
};

struct OperatorClientOptions
{
    // tcp://IP:PORT
    std::string endpoint;
    // Keys in Z85, 40 characters each.
    std::string serverKey;
    std::string publicKey;
    std::string secretKey;
    std::chrono::milliseconds timeout{ 30000 };
};

// Runs one command over a new connection.
std::variant<proto::OperatorReply, ClientError> callOperator(const OperatorClientOptions &options,
                                                             proto::OperatorRequest request);

} // namespace auburn
