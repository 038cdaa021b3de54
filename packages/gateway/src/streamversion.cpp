#include "streamversion.h"

#include <utility>

namespace auburn::gateway {

void StreamVersion::find(const std::string &resumedId, std::chrono::milliseconds timeLimit,
                         std::function<void(bool found)> handler)
{
    origins_->find(resumedId, service_, timeLimit,
                   [this, handler = std::move(handler)](std::optional<std::string> version) {
                       version_ = std::move(version);
                       handler(version_.has_value());
                   });
}

std::optional<std::string> StreamVersion::required() const
{
    if (version_ || !origins_ || ignoresPreference_)
        return version_;
    return origins_->preferredVersion(service_);
}

bool StreamVersion::dropPreference()
{
    if (version_ || !origins_ || !origins_->preferredVersion(service_))
        return false;
    return !std::exchange(ignoresPreference_, true);
}

bool StreamVersion::preferenceYieldsToLatency() const
{
    return !version_ && origins_ && origins_->preferenceYieldsToLatency(service_);
}

std::optional<std::string> StreamVersion::replacement() const
{
    if (!origins_ || ignoresPreference_)
        return std::nullopt;
    std::optional<std::string> preferred = origins_->preferredVersion(service_);
    return preferred && preferred != version_ ? preferred : std::nullopt;
}

void StreamVersion::beginAnew()
{
    version_.reset();
    dropHeld();
}

void StreamVersion::attemptStarted(const std::string &version)
{
    attemptVersion_ = version;
    if (origins_ && !version_)
        origins_->streamSent(
                { .requestId = requestId_, .service = service_, .softwareVersion = version });
}

void StreamVersion::eventReceived(const std::function<void(bool findable)> &released)
{
    if (!origins_ || version_)
        return;
    version_ = attemptVersion_;
    isHeld_ = true;
    origins_->whenFindable(requestId_, [this, released](bool findable) {
        isHeld_ = false;
        released(findable);
    });
}

} // namespace auburn::gateway
