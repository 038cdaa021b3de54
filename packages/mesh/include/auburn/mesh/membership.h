// Membership: runs the gossip protocol over a message bus and publishes the resulting views.
//
// It owns one thread for the periodic rounds; messages are handled on the bus thread. Views are
// immutable and read without waiting for either.
#pragma once

#include "auburn/mesh/bus.h"
#include "auburn/mesh/gossipcore.h"
#include "auburn/mesh/memberview.h"
#include "auburn/mesh/peerdirectory.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace auburn {

class Membership : public MemberViewSource
{
public:
    using ViewCallback = std::function<void(const std::shared_ptr<const MemberView> &)>;
    using RevisionCallback = std::function<void(const HigherRevision &)>;

    // Registers the handlers of Gossip and FailureDomainDigests with the bus, so it must be made
    // before the bus starts, and the bus must be stopped before the Membership is destroyed. A
    // random seed and an incarnation of 0 are replaced by random bits and the current time. Null
    // with lastError() set if the id, the failure domain or the endpoint is missing.
    static std::unique_ptr<Membership> make(GossipOptions options, MessageBus &bus,
                                            PeerDirectory &peers);
    ~Membership() override;

    // Callbacks are set before start() and run on the bus thread or the gossip thread, without a
    // lock held, never two at a time; they must not block.
    void onViewChange(ViewCallback callback);
    void onHigherRevision(RevisionCallback callback);

    // Starts the rounds; the bus must have been started.
    void start();
    // Ends the rounds. A daemon that shuts down calls setStatus(MemberStatus::Left) before.
    void stop();

    // Never null; callable from any thread, as are all functions below.
    std::shared_ptr<const MemberView> view() const override;
    bool isRelay() const;

    void setStatus(MemberStatus status);
    void setConfigRevision(std::uint64_t revision);
    // Loads of all cells that this daemon owns, at any rate; published once per round if changed.
    void setCellLoads(const std::vector<CellLoad> &loads);
    void setPlatformList(const std::vector<ListedMember> &list);
    void markLeaving(const std::string &backendServer, bool leaving);
    // Reports that a peer did not answer.
    void suspect(const std::string &daemonId);
    void addCrash(std::uint64_t fingerprint);
    // Crashes that the fingerprint is known to have caused in this failure domain.
    unsigned crashCount(std::uint64_t fingerprint) const;

private:
    class Impl;
    explicit Membership(std::unique_ptr<Impl> impl);

    std::unique_ptr<Impl> impl_;
};

} // namespace auburn
