// OperatorBackend: what the operators' interface needs from the rest of the daemon.
//
// The interface is abstract so that commands can be tested without a log or other daemons.
#pragma once

#include "auburn/config/configpublisher.h"
#include "auburn/config/configstate.h"
#include "auburn/mesh/memberview.h"

#include "auburn.pb.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace auburn {

using ChangeResult = PublishResult;

// One folded record of the configuration stream.
struct ChangeHistoryEntry
{
    proto::ConfigChange change;
    // Log offset of the record.
    std::uint64_t offset = 0;
    // False if its base revision was not the item's current one.
    bool accepted = true;
};

// Lowest and highest configuration revision in force in one failure domain.
struct FailureDomainProgress
{
    std::string failureDomain;
    std::string region;
    bool reachable = true;
    unsigned daemons = 0;
    std::uint64_t minRevision = 0;
    std::uint64_t maxRevision = 0;
};

// All functions are callable from any thread and do not block.
class OperatorBackend
{
public:
    // Called exactly once, from any thread.
    using ChangeCallback = std::function<void(ChangeResult)>;

    virtual ~OperatorBackend() = default;

    // Null while the daemon has no configuration.
    virtual std::shared_ptr<const ConfigState> configState() const = 0;
    // Null while the daemon has no member table.
    virtual std::shared_ptr<const MemberView> memberView() const = 0;
    virtual void submit(proto::ConfigChange change, ChangeCallback callback) = 0;
    // Recent changes that this daemon has folded, oldest first; bounded by the backend.
    virtual std::vector<ChangeHistoryEntry> history() const = 0;
    // Progress of every known failure domain, this one included. The default derives it from
    // memberView().
    virtual std::vector<FailureDomainProgress> progress() const;
};

// Progress of this failure domain from its live members, and of the other failure domains from
// their digests.
std::vector<FailureDomainProgress> failureDomainProgress(const MemberView &view);

} // namespace auburn
