// ChangeHistory: the last accepted and rejected configuration changes, for operators.
#pragma once

#include "auburn/config/configstate.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

namespace auburn {

enum class ChangeStatus { Accepted, Conflict, Invalid };

// "accepted", "conflict" or "invalid".
std::string_view changeStatusName(ChangeStatus status);

// The outcome of one change, the same at every reader.
struct FoldedChange
{
    std::uint64_t offset = 0;
    std::string changeId;
    std::string operatorName;
    // Time of the submission by the publisher's clock, since the epoch.
    std::chrono::milliseconds time{ 0 };
    ItemKey key;
    bool removal = false;
    // The item as the change wrote it.
    proto::ConfigItem item;
    std::uint64_t baseRevision = 0;
    ChangeStatus status = ChangeStatus::Accepted;
    // Why the change was rejected; empty if it was accepted.
    std::string reason;
};

class ChangeHistory
{
public:
    static constexpr std::size_t kLimit = 1000;

    void add(FoldedChange change);
    // Oldest first.
    const std::deque<FoldedChange> &entries() const { return entries_; }

private:
    std::deque<FoldedChange> entries_;
};

} // namespace auburn
