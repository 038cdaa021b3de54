#include "auburn/config/configstore.h"

#include <map>
#include <utility>
#include <vector>

namespace auburn {

// Outlives the store while a subscription exists.
struct ConfigStore::Listeners
{
    std::mutex mutex;
    std::map<std::uint64_t, Listener> table;
    std::uint64_t nextId = 0;
};

ConfigStore::ConfigStore()
    : listeners_(std::make_shared<Listeners>())
{}

std::shared_ptr<const ConfigState> ConfigStore::current() const
{
    const std::lock_guard lock(mutex_);
    return state_;
}

std::uint64_t ConfigStore::revision() const
{
    const auto state = current();
    return state ? state->revision() : 0;
}

bool ConfigStore::update(const std::shared_ptr<const ConfigState> &state)
{
    {
        const std::lock_guard lock(mutex_);
        if (!state || (state_ && state->revision() <= state_->revision()))
            return false;
        state_ = state;
    }
    std::vector<Listener> called;
    {
        const std::lock_guard lock(listeners_->mutex);
        for (const auto &entry : listeners_->table)
            called.push_back(entry.second);
    }
    for (const Listener &listener : called)
        listener(state);
    return true;
}

ConfigStore::Subscription ConfigStore::subscribe(Listener listener)
{
    const std::lock_guard lock(listeners_->mutex);
    const std::uint64_t id = ++listeners_->nextId;
    listeners_->table.emplace(id, std::move(listener));
    const auto unsubscribe = [listeners = listeners_, id](void *) {
        const std::lock_guard lock(listeners->mutex);
        listeners->table.erase(id);
    };
    return { static_cast<void *>(listeners_.get()), unsubscribe };
}

} // namespace auburn
