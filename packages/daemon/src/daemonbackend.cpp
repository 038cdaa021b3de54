#include "daemonbackend.h"

#include <utility>

namespace auburn {

namespace {

ChangeHistoryEntry historyEntry(const FoldedChange &folded)
{
    ChangeHistoryEntry entry;
    entry.offset = folded.offset;
    entry.accepted = folded.status == ChangeStatus::Accepted;
    entry.change.set_change_id(folded.changeId);
    entry.change.set_operator_name(folded.operatorName);
    entry.change.set_time_ms(static_cast<std::uint64_t>(folded.time.count()));
    entry.change.set_base_revision(folded.baseRevision);
    entry.change.set_remove(folded.removal);
    *entry.change.mutable_item() = folded.item;
    return entry;
}

} // namespace

DaemonBackend::DaemonBackend(const ConfigStore &store, const ConfigFollower &follower,
                             ConfigPublisher &publisher, const MemberViewSource &views)
    : store_(store)
    , follower_(follower)
    , publisher_(publisher)
    , views_(views)
{}

std::shared_ptr<const ConfigState> DaemonBackend::configState() const
{
    return store_.current();
}

std::shared_ptr<const MemberView> DaemonBackend::memberView() const
{
    return views_.view();
}

void DaemonBackend::submit(proto::ConfigChange change, ChangeCallback callback)
{
    publisher_.submit(std::move(change), std::move(callback));
}

std::vector<ChangeHistoryEntry> DaemonBackend::history() const
{
    std::vector<ChangeHistoryEntry> entries;
    for (const FoldedChange &folded : follower_.history())
        entries.push_back(historyEntry(folded));
    return entries;
}

} // namespace auburn
