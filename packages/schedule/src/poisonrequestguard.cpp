#include "auburn/schedule/poisonrequestguard.h"

#include <utility>

namespace auburn {

namespace {

Refusal crashesBackendServers(const char *message)
{
    return Refusal{ .code = RefusalCode::CrashesBackendServers,
                    .verdict = Verdict::DidNotRun,
                    .message = message,
                    .retryAfter = std::nullopt };
}

} // namespace

PoisonRequestGuard::PoisonRequestGuard(Options options)
    : options_(std::move(options))
{}

std::optional<Refusal> PoisonRequestGuard::admit(std::uint64_t fingerprint, TimePoint now)
{
    const unsigned crashes = fingerprint != 0 && options_.crashCount
                                     ? options_.crashCount(fingerprint)
                                     : 0;
    if (crashes == 0)
        return std::nullopt;
    if (crashes >= kCrashLimit)
        return crashesBackendServers("the request has crashed its backend servers");
    const std::lock_guard lock(mutex_);
    std::erase_if(trials_, [now](const auto &trial) { return trial.second <= now; });
    if (!trials_.emplace(fingerprint, now + kSuspectTrial).second)
        return crashesBackendServers(
                "the request has crashed a backend server and is being tried once more");
    return std::nullopt;
}

void PoisonRequestGuard::attemptEnded(std::uint64_t fingerprint, bool crashed)
{
    if (fingerprint == 0)
        return;
    // Counted before the trial ends, so that no request is admitted in between.
    if (crashed && options_.recordCrash)
        options_.recordCrash(fingerprint);
    const std::lock_guard lock(mutex_);
    trials_.erase(fingerprint);
}

} // namespace auburn
