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

// Membership runs the gossip protocol over a message bus and publishes the resulting views.
//
// It owns one thread for the periodic rounds, while messages are handled on the bus thread. Views
// are immutable, and reading them blocks on neither thread.
class Membership : public MemberViewSource
{
public:
    using ViewCallback = std::function<void(const std::shared_ptr<const MemberView> &)>;
    using RevisionCallback = std::function<void(const HigherRevision &)>;

    // Creates a Membership and registers its handlers of Gossip and FailureDomainDigests with the
    // bus. It must therefore be created before the bus starts, and the bus must be stopped before
    // the Membership is destroyed. A random seed of 0 is replaced by random bits, and an
    // incarnation of 0 by the current time. Returns null and sets lastError() if the id, the
    // failure domain or the endpoint is missing.
    static std::unique_ptr<Membership> make(GossipOptions options, MessageBus &bus,
                                            PeerDirectory &peers);
    ~Membership() override;

    // Callbacks must be set before start(). They run one at a time on the bus thread, the gossip
    // thread or the thread that calls a setter below. They may call the functions below and must
    // not block.
    void onViewChange(ViewCallback callback);
    void onHigherRevision(RevisionCallback callback);

    // Starts the gossip thread. The bus must have been started.
    void start();
    // Stops the gossip thread. A daemon that shuts down calls setStatus(MemberStatus::Left) first.
    void stop();

    // Returns the current view, which is never null. Callable from any thread, as are all functions
    // below.
    std::shared_ptr<const MemberView> view() const override;
    bool isRelay() const;

    void setStatus(MemberStatus status);
    void setConfigRevision(std::uint64_t revision);
    // Replaces the loads of all cells that this daemon owns. It may be called at any rate; changed
    // loads are published once per round.
    void setCellLoads(const std::vector<CellLoad> &loads);
    void setPlatformList(const std::vector<ListedMember> &list);
    void markLeaving(const std::string &backendServer, bool leaving);
    // Marks a peer that did not respond as suspected.
    void suspect(const std::string &daemonId);
    void addCrash(std::uint64_t fingerprint);
    // Returns the number of crashes in this failure domain that the fingerprint is known to have
    // caused.
    unsigned crashCount(std::uint64_t fingerprint) const;

private:
    class Impl;
    explicit Membership(std::unique_ptr<Impl> impl);

    std::unique_ptr<Impl> impl_;
};

} // namespace auburn
