#include "foldmodel.h"

#include "auburn/config/configfold.h"

#include <algorithm>

namespace auburn::tests {

using proto::ConfigItem;

bool FoldModel::fold(std::uint64_t offset, const proto::ConfigChange &change)
{
    if (isRepeated(change.change_id()))
        return false;
    ids_.push_back(change.change_id());
    const ConfigItem &item = change.item();
    const std::pair<int, std::string> key(item.value_case(), item.name());
    const auto found = items.find(key);
    const std::uint64_t current = found == items.end() ? 0 : found->second.revision();
    if (change.base_revision() != current)
        return false;
    if (change.remove()) {
        if (found == items.end() || isUsed(item))
            return false;
        items.erase(found);
        return true;
    }
    if (!isValid(item))
        return false;
    items[key] = item;
    items[key].set_revision(offset);
    return true;
}

bool FoldModel::isRepeated(const std::string &id) const
{
    const auto window = static_cast<std::ptrdiff_t>(std::min(ids_.size(), kRecentChangeIds));
    return std::find(ids_.end() - window, ids_.end(), id) != ids_.end();
}

bool FoldModel::isValid(const ConfigItem &item) const
{
    if (item.has_class_item())
        return item.class_item().tier() < 8;
    if (item.has_backend_server())
        return item.backend_server().slots() > 0
               && exists(ConfigItem::kService, item.backend_server().service());
    if (!item.has_caller())
        return true;
    const auto sharesToken = [&item](const auto &entry) {
        return entry.second.has_caller() && entry.second.name() != item.name()
               && entry.second.caller().token_sha256() == item.caller().token_sha256();
    };
    return exists(ConfigItem::kOrganisation, item.caller().organisation())
           && exists(ConfigItem::kClassItem, item.caller().class_name())
           && std::none_of(items.begin(), items.end(), sharesToken);
}

bool FoldModel::isUsed(const ConfigItem &item) const
{
    return std::any_of(items.begin(), items.end(), [&item](const auto &entry) {
        const ConfigItem &other = entry.second;
        return (item.has_service() && other.backend_server().service() == item.name())
               || (item.has_class_item() && other.caller().class_name() == item.name())
               || (item.has_organisation() && other.caller().organisation() == item.name());
    });
}

} // namespace auburn::tests
