#include "crashguard.h"

#include "auburn/core/endpoint.h"
#include "auburn/core/hash.h"
#include "auburn/core/log.h"

#include <utility>

namespace auburn::gateway {

using boost::asio::ip::tcp;
using Clock = std::chrono::steady_clock;

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

void CrashGuard::examine(const BrokenConnection &connection)
{
    const auto endpoint = parseEndpoint(connection.address);
    if (!endpoint)
        return;
    const SuspectedCrashes::Number number = suspected_.add(connection, Clock::now());
    Examination &examination = examinations_[connection.address];
    examination.suspicions.push_back(number);
    if (examination.probe)
        examination.probe->extend();
    else
        startProbe(connection.address, *endpoint);
}

void CrashGuard::startProbe(const std::string &address, tcp::endpoint endpoint)
{
    const auto probe = std::make_shared<ServerProbe>(
            io_, std::move(endpoint),
            [guard = weak_from_this(), address](const std::string &reason) {
                if (const auto self = guard.lock())
                    self->probeEnded(address, reason);
            });
    examinations_[address].probe = probe;
    probe->start();
}

void CrashGuard::probeEnded(const std::string &address, const std::string &reason)
{
    const auto node = examinations_.extract(address);
    for (const SuspectedCrashes::Number number : node.mapped().suspicions) {
        const auto connection = reason.empty() ? std::nullopt : suspected_.confirm(number);
        if (connection) {
            recordExamination(*connection, "accepts_no_connection", reason);
            recordCrash(connection->suspects);
        } else if (const BrokenConnection *suspicion = suspected_.find(number)) {
            // The connection may have been accepted by the server's successor, so the suspicion
            // stays.
            recordExamination(*suspicion, "accepts", {});
        }
    }
    // The server may have been registered again before its connection broke.
    serverStarted();
}

void CrashGuard::serverStarted()
{
    if (suspected_.size() == 0)
        return;
    for (const BrokenConnection &connection :
         suspected_.confirmRestarted(options_.state->directory, Clock::now())) {
        recordExamination(connection, "restarted", {});
        recordCrash(connection.suspects);
    }
}

void CrashGuard::recordExamination(const BrokenConnection &connection, std::string_view result,
                                   const std::string &reason)
{
    if (options_.metrics)
        options_.metrics
                ->counter("auburn_examined_servers_total",
                          "Servers that were examined because a reused connection broke",
                          { { "result", std::string(result) } })
                .add();
    logEvent(LogLevel::Info, "broken_connection_examined",
             { { "id", connection.suspects.requestId },
               { "server", connection.serverId },
               { "fingerprint", toHexadecimal(connection.suspects.fingerprint) },
               { "result", result },
               { "reason", reason } });
}

void CrashGuard::recordSuccess(const CrashSuspects &suspects)
{
    recordSoundPrompt(suspects);
    suspected_.dropEqualRequests(suspects.fingerprint);
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
