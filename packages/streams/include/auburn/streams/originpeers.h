// OriginPeers asks the other daemons about a stream that this daemon does not know.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace auburn::streams {

// One process of a daemon; a daemon that is restarted gets another incarnation.
struct DaemonProcess
{
    std::string vm;
    std::uint64_t incarnation = 0;

    std::string name() const { return vm + "/" + std::to_string(incarnation); }
    bool operator==(const DaemonProcess &) const = default;
};

struct OriginQuestion
{
    // Chosen by the daemon that asks; the reply repeats it.
    std::uint64_t number = 0;
    // Hash of the request id; empty if the caller does not name the stream.
    std::optional<std::uint64_t> stream;
    std::string service;
};

struct StreamVersionOfService
{
    std::string service;
    std::string softwareVersion;
};

struct OriginReply
{
    std::uint64_t number = 0;
    DaemonProcess process;
    // Empty if the process does not know the stream, so that it has not begun it.
    std::optional<StreamVersionOfService> origin;
    // The versions that servers of the service had lately, as far as the process has seen.
    std::vector<std::string> versions;
    // The process has seen the service for the lifetime of a stream.
    bool hasSeenLifetime = false;
};

class OriginPeers
{
public:
    virtual ~OriginPeers() = default;

    // Sends the question to all live daemons; it may be lost.
    virtual void ask(const OriginQuestion &question) = 0;
};

} // namespace auburn::streams
