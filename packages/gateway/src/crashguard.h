#pragma once

#include "serverprobe.h"
#include "suspectedcrashes.h"

#include "auburn/gateway/gateway.h"
#include "auburn/routing/crashregistry.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace auburn::gateway {

// CrashGuard rejects requests that crash backend servers, and decides which broken connections are
// crashes.
//
// A connection that breaks under a request is one, unless it had carried other requests and broke
// before any byte of the response: servers close connections that were idle. Such a server is
// examined, and has crashed if it accepts no other connection, or if the registry later names
// another process in its place.
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
    // Records a crash if the server turns out to have crashed.
    void examine(const BrokenConnection &connection);
    // To be called after the directory has got a new or restarted server.
    void serverStarted();
    // Records that a server ran a request with these suspects to its end.
    void recordSuccess(const CrashSuspects &suspects);
    // Records that the parts of the prompt are sound, because a server that has read them goes on.
    // The rest of the request may still crash it.
    void recordSoundPrompt(const CrashSuspects &suspects);

private:
    // The examination of one address, on behalf of all connections to it that broke meanwhile.
    struct Examination
    {
        std::shared_ptr<ServerProbe> probe;
        std::vector<SuspectedCrashes::Number> suspicions;
    };

    void startProbe(const std::string &address, boost::asio::ip::tcp::endpoint endpoint);
    // The reason tells why the server accepts no connections; empty if it does.
    void probeEnded(const std::string &address, const std::string &reason);
    // Logs and counts what the examination of a server has shown.
    void recordExamination(const BrokenConnection &connection, std::string_view result,
                           const std::string &reason);

    boost::asio::io_context &io_;
    const Options options_;
    SuspectedCrashes suspected_;
    std::map<std::string, Examination> examinations_;
};

} // namespace auburn::gateway
