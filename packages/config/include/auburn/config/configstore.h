// ConfigStore: the configuration in effect at this daemon.
#pragma once

#include "auburn/config/configstate.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>

namespace auburn {

// Thread-safe.
class ConfigStore
{
public:
    using Listener = std::function<void(const std::shared_ptr<const ConfigState> &)>;
    // Ends the subscription when destroyed; a call that is in progress may still complete.
    using Subscription = std::shared_ptr<void>;

    ConfigStore();

    // Null until the daemon has configuration.
    std::shared_ptr<const ConfigState> current() const;

    // Revision of the current state; 0 if there is none.
    std::uint64_t revision() const;

    // Replaces the state and notifies the subscribers; false if the state is null or its revision
    // is not higher than the current one.
    bool update(const std::shared_ptr<const ConfigState> &state);

    // The listener is called on the thread that updates the store, with no lock held.
    Subscription subscribe(Listener listener);

private:
    struct Listeners;

    mutable std::mutex mutex_;
    std::shared_ptr<const ConfigState> state_;
    std::shared_ptr<Listeners> listeners_;
};

} // namespace auburn
