#include "auburn/config/itemindex.h"

#include <variant>

namespace auburn {

namespace {

template<typename Value>
auto position(std::vector<const Value *> &values, const Value &wanted)
{
    return std::lower_bound(
            values.begin(), values.end(), wanted,
            [](const Value *left, const Value &right) { return left->name < right.name; });
}

template<typename Value>
void insertSorted(std::vector<const Value *> &values, const Value &value)
{
    values.insert(position(values, value), &value);
}

template<typename Value>
void eraseSorted(std::vector<const Value *> &values, const Value &value)
{
    values.erase(position(values, value));
}

} // namespace

ByKey::Key ByKey::keyOf(const Item &item)
{
    return { .kind = static_cast<ItemKind>(item.value.index()),
             .name = std::visit([](const auto &value) { return std::string_view(value.name); },
                                item.value) };
}

const Caller *ItemIndex::callerByToken(std::string_view tokenSha256) const
{
    const Item *item = callers_.find(tokenSha256);
    return item ? std::get_if<Caller>(&item->value) : nullptr;
}

const std::vector<const BackendServer *> &ItemIndex::backendServers(
        const std::string &service, const std::string &failureDomain) const
{
    static const std::vector<const BackendServer *> kNone;
    const auto found = pools_->find({ service, failureDomain });
    return found == pools_->end() ? kNone : found->second;
}

void ItemIndex::put(ItemPtr item)
{
    if (const Item *previous = find(ByKey::keyOf(*item)))
        unlink(*previous);
    link(item);
    items_.put(std::move(item));
}

void ItemIndex::erase(const ItemKeyView &key)
{
    const Item *item = find(key);
    if (!item)
        return;
    unlink(*item);
    items_.erase(key);
}

void ItemIndex::link(const ItemPtr &item)
{
    if (std::holds_alternative<Caller>(item->value)) {
        callers_.put(item);
    } else if (const auto *backendServer = std::get_if<BackendServer>(&item->value)) {
        auto pools = std::make_shared<Pools>(*pools_);
        insertSorted((*pools)[{ backendServer->service, backendServer->failureDomain }],
                     *backendServer);
        pools_ = std::move(pools);
    } else if (const auto *service = std::get_if<Service>(&item->value)) {
        auto services = std::make_shared<Services>(*services_);
        insertSorted(*services, *service);
        services_ = std::move(services);
    }
}

void ItemIndex::unlink(const Item &item)
{
    if (const auto *caller = std::get_if<Caller>(&item.value)) {
        if (callers_.find(caller->tokenSha256) == &item)
            callers_.erase(caller->tokenSha256);
    } else if (const auto *backendServer = std::get_if<BackendServer>(&item.value)) {
        auto pools = std::make_shared<Pools>(*pools_);
        const auto pool = pools->find({ backendServer->service, backendServer->failureDomain });
        eraseSorted(pool->second, *backendServer);
        if (pool->second.empty())
            pools->erase(pool);
        pools_ = std::move(pools);
    } else if (const auto *service = std::get_if<Service>(&item.value)) {
        auto services = std::make_shared<Services>(*services_);
        eraseSorted(*services, *service);
        services_ = std::move(services);
    }
}

} // namespace auburn
