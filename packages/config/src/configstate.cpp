#include "auburn/config/configstate.h"

#include <utility>

namespace auburn {

std::shared_ptr<const ConfigState> ConfigState::make(const ItemMap &items, std::uint64_t revision)
{
    ItemIndex index;
    for (const auto &entry : items)
        index.put(entry.second);
    return fromIndex(std::move(index), revision);
}

std::shared_ptr<const ConfigState> ConfigState::fromIndex(ItemIndex index, std::uint64_t revision)
{
    return std::shared_ptr<const ConfigState>(new ConfigState(std::move(index), revision));
}

ConfigState::ConfigState(ItemIndex index, std::uint64_t revision)
    : index_(std::move(index))
    , revision_(revision)
{}

const ConfigState::ItemMap &ConfigState::items() const
{
    std::call_once(itemsBuilt_, [this]() {
        index_.visitAll([this](const ItemPtr &item) { items_.emplace(keyOf(item->value), item); });
    });
    return items_;
}

const Item *ConfigState::find(const ItemKey &key) const
{
    return index_.find({ .kind = key.kind, .name = key.name });
}

template<typename Value>
const Value *ConfigState::findValue(ItemKind kind, const std::string &name) const
{
    const Item *item = index_.find({ .kind = kind, .name = name });
    return item ? std::get_if<Value>(&item->value) : nullptr;
}

const Service *ConfigState::service(const std::string &name) const
{
    return findValue<Service>(ItemKind::Service, name);
}

const RequestClass *ConfigState::requestClass(const std::string &name) const
{
    return findValue<RequestClass>(ItemKind::RequestClass, name);
}

const Organisation *ConfigState::organisation(const std::string &name) const
{
    return findValue<Organisation>(ItemKind::Organisation, name);
}

const BackendServer *ConfigState::backendServer(const std::string &name) const
{
    return findValue<BackendServer>(ItemKind::BackendServer, name);
}

const Caller *ConfigState::callerByToken(const std::string &tokenSha256) const
{
    return index_.callerByToken(tokenSha256);
}

std::vector<const BackendServer *> ConfigState::backendServers(
        const std::string &service, const std::string &failureDomain) const
{
    return index_.backendServers(service, failureDomain);
}

std::vector<const Service *> ConfigState::services() const
{
    return index_.services();
}

} // namespace auburn
