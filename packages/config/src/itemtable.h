// ItemTable: the items under construction in a fold, with the references between them.
#pragma once

#include "auburn/config/configstate.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace auburn {

class ItemTable
{
public:
    const Item *find(const ItemKey &key) const;
    // Inserts or replaces an item.
    void put(Item item);
    void erase(const ItemKey &key);

    // Why the value cannot be put: a reference to a missing item, or a token of another caller.
    std::optional<std::string> putFault(const ItemValue &value) const;
    // Why the item cannot be erased: another item refers to it.
    std::optional<std::string> eraseFault(const ItemKey &key) const;

    std::shared_ptr<const ConfigState> snapshot(std::uint64_t revision) const;

    // Calls visit(ItemPtr) for all items; the order depends only on their keys.
    template<typename Visitor>
    void visitAll(Visitor visit) const
    {
        index_.visitAll(visit);
    }

private:
    void countUsers(const ItemValue &value);
    void discountUsers(const ItemValue &value);

    ItemIndex index_;
    // Number of items that refer to a service, class or organisation; without zeros.
    std::map<ItemKey, std::size_t> users_;
};

} // namespace auburn
