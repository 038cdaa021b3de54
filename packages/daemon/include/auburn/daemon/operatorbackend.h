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

// A configuration change that this daemon has read from the log, with the decision on it.
struct ChangeHistoryEntry
{
    proto::ConfigChange change;
    // Offset of the change's record on the log.
    std::uint64_t offset = 0;
    // False if the change's base revision was not the item's current revision.
    bool accepted = true;
};

// Lowest and highest configuration revision in force among the live daemons of one failure domain.
struct FailureDomainProgress
{
    std::string failureDomain;
    std::string region;
    bool reachable = true;
    // Number of live daemons.
    unsigned daemons = 0;
    std::uint64_t minRevision = 0;
    std::uint64_t maxRevision = 0;
};

// Gives operator commands and metrics access to the configuration and the member table of a daemon.
//
// The interface is abstract so that commands can be tested without a log or other daemons. All
// functions are thread-safe and do not block.
class OperatorBackend
{
public:
    // Called exactly once per change, on any thread.
    using ChangeCallback = std::function<void(ChangeResult)>;

    virtual ~OperatorBackend() = default;

    // Null while the daemon has no configuration.
    virtual std::shared_ptr<const ConfigState> configState() const = 0;
    // Null while the daemon has no member table.
    virtual std::shared_ptr<const MemberView> memberView() const = 0;
    // Submits the change to the log and reports the result to the callback.
    virtual void submit(proto::ConfigChange change, ChangeCallback callback) = 0;
    // Recent changes that this daemon has read from the log, oldest first. The backend limits their
    // number.
    virtual std::vector<ChangeHistoryEntry> history() const = 0;
    // Progress of every known failure domain, including this one; empty without a member table. The
    // default implementation derives it from memberView().
    virtual std::vector<FailureDomainProgress> progress() const;
};

// Returns the progress of every failure domain: this one from its live members, the others from the
// digests that they publish.
std::vector<FailureDomainProgress> failureDomainProgress(const MemberView &view);

} // namespace auburn
