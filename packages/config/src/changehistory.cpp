#include "auburn/config/changehistory.h"

#include <array>
#include <utility>

namespace auburn {

std::string_view changeStatusName(ChangeStatus status)
{
    constexpr std::array<std::string_view, 3> kNames{ "accepted", "conflict", "invalid" };
    return kNames[static_cast<std::size_t>(status)];
}

void ChangeHistory::add(FoldedChange change)
{
    entries_.push_back(std::move(change));
    if (entries_.size() > kLimit)
        entries_.pop_front();
}

} // namespace auburn
