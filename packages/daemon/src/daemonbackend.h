#pragma once

#include "auburn/config/configfollower.h"
#include "auburn/config/configstore.h"
#include "auburn/daemon/operatorbackend.h"

namespace auburn {

// Implements OperatorBackend with the configuration components and the member views of a running
// daemon.
class DaemonBackend : public OperatorBackend
{
public:
    // All references must outlive the backend.
    DaemonBackend(const ConfigStore &store, const ConfigFollower &follower,
                  ConfigPublisher &publisher, const MemberViewSource &views);

    std::shared_ptr<const ConfigState> configState() const override;
    std::shared_ptr<const MemberView> memberView() const override;
    void submit(proto::ConfigChange change, ChangeCallback callback) override;
    std::vector<ChangeHistoryEntry> history() const override;

private:
    const ConfigStore &store_;
    const ConfigFollower &follower_;
    ConfigPublisher &publisher_;
    const MemberViewSource &views_;
};

} // namespace auburn
