#pragma once

#include "auburn/gateway/gateway.h"
#include "auburn/routing/crashregistry.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace auburn::gateway {

// What a crash under a request may be blamed on.
struct CrashSuspects
{
    // The request that was in progress, for log lines.
    std::string requestId;
    // Identifies equal requests.
    std::uint64_t fingerprint = 0;
    // The parts of the prompt that other requests may have as well.
    std::vector<std::uint64_t> promptParts;
};

// CrashGuard rejects requests that crash backend servers, and decides which broken connections are
// crashes.
//
// A connection that breaks under a request is one, unless it had carried other requests and broke
// before any byte of the response: servers close connections that were idle. Such a server is
// connected to again, and has crashed if it does not accept.
class CrashGuard : public std::enable_shared_from_this<CrashGuard>
{
public:
    struct Options
    {
        RoutingState *state = nullptr;
        // May be null.
        Metrics *metrics = nullptr;
        // See Gateway::Options.
        std::function<void()> serverDisconnected;
        std::function<void()> requestUnblocked;
    };

    CrashGuard(boost::asio::io_context &io, Options options);

    // True if requests with one of the suspects are rejected.
    bool isBlocked(const CrashSuspects &suspects);
    // True if a suspect was blocked after the time.
    bool wasBlockedSince(const CrashSuspects &suspects,
                         std::chrono::steady_clock::time_point since) const;
    // Records that a server crashed while it ran a request with these suspects.
    void recordCrash(const CrashSuspects &suspects);
    // Records a crash if the server at the address does not accept a connection.
    void recordCrashUnlessAccepting(const std::string &address, const CrashSuspects &suspects);
    // Records that a server ran a request with these suspects to its end.
    void recordSuccess(const CrashSuspects &suspects);
    // Records that the parts of the prompt are sound, because a server that has read them goes on.
    // The rest of the request may still crash it.
    void recordSoundPrompt(const CrashSuspects &suspects);

private:
    void probeEnded(const CrashSuspects &suspects, boost::system::error_code error);

    boost::asio::io_context &io_;
    const Options options_;
};

} // namespace auburn::gateway
