// StatusClient: reads one document from the metrics port of a daemon.
#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <variant>

namespace auburn {

// Longer responses are not read.
constexpr std::size_t kMaxStatusBytes = std::size_t{ 1024 } * 1024;

// Why there is no document.
enum class StatusFailure {
    // The address is not IP:PORT.
    Usage,
    // No connection, or no complete response in time.
    Unavailable,
    // The response is malformed or too large.
    Unreadable,
};

struct StatusError
{
    StatusFailure failure = StatusFailure::Unavailable;
    std::string message;
};

struct StatusDocument
{
    // The HTTP status.
    int status = 0;
    std::string body;
};

// Sends one GET request over a new connection; it is not repeated if it fails. The timeout covers
// the entire call.
std::variant<StatusDocument, StatusError> readStatus(const std::string &address,
                                                     const std::string &target,
                                                     std::chrono::milliseconds timeout);

} // namespace auburn
