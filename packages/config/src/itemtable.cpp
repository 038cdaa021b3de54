#include "itemtable.h"

#include <utility>

namespace auburn {

namespace {

std::string describe(const ItemKey &key)
{
    return std::string(itemKindName(key.kind)) + " '" + key.name + "'";
}

// Items that the value refers to.
std::vector<ItemKey> referencesOf(const ItemValue &value)
{
    if (const auto *caller = std::get_if<Caller>(&value)) {
        return { ItemKey{ ItemKind::Organisation, caller->organisation },
                 ItemKey{ ItemKind::RequestClass, caller->className } };
    }
    if (const auto *runner = std::get_if<Runner>(&value))
        return { ItemKey{ ItemKind::Service, runner->service } };
    return {};
}

} // namespace

const Item *ItemTable::find(const ItemKey &key) const
{
    const auto found = items_.find(key);
    return found == items_.end() ? nullptr : found->second.get();
}

void ItemTable::put(Item item)
{
    ItemKey key = keyOf(item.value);
    auto &slot = items_[std::move(key)];
    if (slot)
        unlink(slot->value);
    link(item.value);
    slot = std::make_shared<const Item>(std::move(item));
}

void ItemTable::erase(const ItemKey &key)
{
    const auto found = items_.find(key);
    if (found == items_.end())
        return;
    unlink(found->second->value);
    items_.erase(found);
}

void ItemTable::link(const ItemValue &value)
{
    for (const ItemKey &key : referencesOf(value))
        ++users_[key];
    if (const auto *caller = std::get_if<Caller>(&value))
        callerByToken_[caller->tokenSha256] = caller->name;
}

void ItemTable::unlink(const ItemValue &value)
{
    for (const ItemKey &key : referencesOf(value)) {
        const auto found = users_.find(key);
        if (--found->second == 0)
            users_.erase(found);
    }
    if (const auto *caller = std::get_if<Caller>(&value))
        callerByToken_.erase(caller->tokenSha256);
}

std::optional<std::string> ItemTable::putFault(const ItemValue &value) const
{
    for (const ItemKey &key : referencesOf(value)) {
        if (!find(key))
            return describe(key) + " does not exist";
    }
    if (const auto *caller = std::get_if<Caller>(&value)) {
        const auto found = callerByToken_.find(caller->tokenSha256);
        if (found != callerByToken_.end() && found->second != caller->name)
            return "token is already in use by caller '" + found->second + "'";
    }
    return std::nullopt;
}

std::optional<std::string> ItemTable::eraseFault(const ItemKey &key) const
{
    const auto found = users_.find(key);
    if (found == users_.end())
        return std::nullopt;
    return describe(key) + " is in use by " + std::to_string(found->second) + " other items";
}

std::shared_ptr<const ConfigState> ItemTable::snapshot(std::uint64_t revision) const
{
    return ConfigState::make(items_, revision);
}

} // namespace auburn
