// ConfigPublisher: appends configuration changes to the log and reports their outcome.
//
// Readers decide on a change when they fold it, so a change is reported as accepted only after this
// daemon has folded its own record. A lost append is repeated under the same change id, which
// readers count once. The log is read before the first append, so that a change
// is refused for certain, not with an unknown outcome, while the log is unavailable.
#pragma once

#include "auburn/config/configfollower.h"
#include "auburn/config/configstore.h"
#include "auburn/config/logclient.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace auburn {

struct ChangeAccepted
{
    std::uint64_t revision = 0;
};

// Another change of the item came first.
struct ChangeConflict
{
    std::string reason;
};

struct ChangeInvalid
{
    std::string reason;
};

// The change is not on the log and will not be appended later.
struct ChangeUnavailable
{
    std::string reason;
};

// The change may be on the log; its outcome was not seen in time.
struct ChangeUnknown
{
    std::string reason;
};

using PublishResult = std::variant<ChangeAccepted, ChangeConflict, ChangeInvalid, ChangeUnavailable,
                                   ChangeUnknown>;

struct ConfigPublisherOptions
{
    std::string stream = "config";
    // Longest time from the submission to the result.
    std::chrono::milliseconds deadline{ 10000 };
    // Delay before an append is repeated.
    std::chrono::milliseconds retryDelay{ 200 };
    // Attempts that are certain to have failed before the result is ChangeUnavailable.
    unsigned attempts = 3;
};

// Made and destroyed on the thread of Qt's event loop.
class ConfigPublisher
{
public:
    // Called once, on the thread of Qt's event loop, unless the publisher is destroyed before.
    using Callback = std::function<void(PublishResult)>;

    virtual ~ConfigPublisher() = default;

    // The log, follower and store must outlive the publisher.
    static std::unique_ptr<ConfigPublisher> make(ConfigPublisherOptions options, LogClient &log,
                                                 ConfigFollower &follower, ConfigStore &store);

    // Submits a change; an empty change id or time is filled in. Callable from any thread.
    virtual void submit(proto::ConfigChange change, Callback callback) = 0;
};

} // namespace auburn
