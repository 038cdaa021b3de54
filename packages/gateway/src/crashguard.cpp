#include "crashguard.h"

#include "auburn/core/endpoint.h"
#include "auburn/core/hash.h"
#include "auburn/core/log.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <utility>

namespace auburn::gateway {

using boost::asio::ip::tcp;
using Clock = std::chrono::steady_clock;
using ErrorCode = boost::system::error_code;

namespace {

// A server whose VM has failed does not respond at all.
constexpr std::chrono::milliseconds kProbeTimeout{ 300 };

// A connection that only shows whether a server accepts connections.
struct Probe
{
    explicit Probe(boost::asio::io_context &io)
        : socket(io)
        , timer(io)
    {}

    tcp::socket socket;
    boost::asio::steady_timer timer;
};

} // namespace

CrashGuard::CrashGuard(boost::asio::io_context &io, Options options)
    : io_(io)
    , options_(std::move(options))
{}

bool CrashGuard::isBlocked(const CrashSuspects &suspects)
{
    const auto now = Clock::now();
    return options_.state->crashes.blockedCause({ suspects.fingerprint }, now)
           || options_.state->promptCrashes.blockedCause(suspects.promptParts, now);
}

bool CrashGuard::wasBlockedSince(const CrashSuspects &suspects, Clock::time_point since) const
{
    return options_.state->crashes.wasBlockedSince({ suspects.fingerprint }, since)
           || options_.state->promptCrashes.wasBlockedSince(suspects.promptParts, since);
}

void CrashGuard::recordCrash(const CrashSuspects &suspects)
{
    const auto now = Clock::now();
    routing::CrashRegistry &crashes = options_.state->crashes;
    crashes.recordCrash({ suspects.fingerprint }, now);
    options_.state->promptCrashes.recordCrash(suspects.promptParts, now);
    logEvent(LogLevel::Info, "server_crash_recorded",
             { { "id", suspects.requestId },
               { "fingerprint", toHexadecimal(suspects.fingerprint) },
               { "crashes", static_cast<long long>(crashes.crashes(suspects.fingerprint, now)) } });
    if (options_.serverDisconnected)
        options_.serverDisconnected();
}

void CrashGuard::recordCrashUnlessAccepting(const std::string &address,
                                            const CrashSuspects &suspects)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint)
        return;
    const auto probe = std::make_shared<Probe>(io_);
    probe->timer.expires_after(kProbeTimeout);
    probe->timer.async_wait([probe](ErrorCode error) {
        ErrorCode ignored;
        if (!error)
            probe->socket.close(ignored);
    });
    probe->socket.async_connect(*endpoint,
                                [guard = weak_from_this(), probe, suspects](ErrorCode error) {
                                    probe->timer.cancel();
                                    if (const auto self = guard.lock())
                                        self->probeEnded(suspects, error);
                                });
}

void CrashGuard::probeEnded(const CrashSuspects &suspects, ErrorCode error)
{
    const std::string_view result = error ? "crashed" : "accepts";
    if (options_.metrics)
        options_.metrics
                ->counter("auburn_examined_servers_total",
                          "Servers that were connected to because a reused connection broke",
                          { { "result", std::string(result) } })
                .add();
    logEvent(LogLevel::Info, "broken_connection_examined",
             { { "id", suspects.requestId },
               { "fingerprint", toHexadecimal(suspects.fingerprint) },
               { "result", result },
               { "reason", error ? error.message() : std::string() } });
    if (error)
        recordCrash(suspects);
}

void CrashGuard::recordSuccess(const CrashSuspects &suspects)
{
    recordSoundPrompt(suspects);
    routing::CrashRegistry &crashes = options_.state->crashes;
    if (crashes.recordSuccess({ suspects.fingerprint }, Clock::now()) && options_.requestUnblocked)
        options_.requestUnblocked();
}

void CrashGuard::recordSoundPrompt(const CrashSuspects &suspects)
{
    routing::CrashRegistry &crashes = options_.state->promptCrashes;
    if (crashes.recordSuccess(suspects.promptParts, Clock::now()) && options_.requestUnblocked)
        options_.requestUnblocked();
}

} // namespace auburn::gateway
