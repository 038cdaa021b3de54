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
    if (const auto *backendServer = std::get_if<BackendServer>(&value))
        return { ItemKey{ ItemKind::Service, backendServer->service } };
    return {};
}

} // namespace

const Item *ItemTable::find(const ItemKey &key) const
{
    return index_.find({ .kind = key.kind, .name = key.name });
}

void ItemTable::put(Item item)
{
    if (const Item *previous = index_.find(ByKey::keyOf(item)))
        discountUsers(previous->value);
    countUsers(item.value);
    index_.put(std::make_shared<const Item>(std::move(item)));
}

void ItemTable::erase(const ItemKey &key)
{
    const Item *item = find(key);
    if (!item)
        return;
    discountUsers(item->value);
    index_.erase({ .kind = key.kind, .name = key.name });
}

void ItemTable::countUsers(const ItemValue &value)
{
    for (const ItemKey &key : referencesOf(value))
        ++users_[key];
}

void ItemTable::discountUsers(const ItemValue &value)
{
    for (const ItemKey &key : referencesOf(value)) {
        const auto found = users_.find(key);
        if (--found->second == 0)
            users_.erase(found);
    }
}

std::optional<std::string> ItemTable::putFault(const ItemValue &value) const
{
    for (const ItemKey &key : referencesOf(value)) {
        if (!find(key))
            return describe(key) + " does not exist";
    }
    if (const auto *caller = std::get_if<Caller>(&value)) {
        const Caller *holder = index_.callerByToken(caller->tokenSha256);
        if (holder && holder->name != caller->name)
            return "token is already in use by caller '" + holder->name + "'";
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
    return ConfigState::fromIndex(index_, revision);
}

} // namespace auburn
