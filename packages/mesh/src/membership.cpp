#include "auburn/mesh/membership.h"

#include "auburn/core/lasterror.h"

#include <QRandomGenerator>

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>
#include <utility>

namespace auburn {

namespace {

using std::chrono::milliseconds;

// Time after its last use at which the endpoint of a daemon that is in no view is removed.
constexpr std::chrono::seconds kTemporaryPeerLifetime{ 30 };

GossipTime currentTime()
{
    const auto monotonic = std::chrono::steady_clock::now().time_since_epoch();
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    return GossipTime{ .monotonic = std::chrono::duration_cast<milliseconds>(monotonic),
                       .wall = std::chrono::duration_cast<milliseconds>(wall) };
}

std::uint64_t microsecondsSinceEpoch()
{
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::microseconds>(wall).count());
}

} // namespace

class Membership::Impl
{
public:
    Impl(GossipOptions options, MessageBus &bus, PeerDirectory &peers)
        : bus_(bus)
        , peers_(peers)
        , core_(std::move(options), currentTime())
        , view_(core_.view())
    {
        registerHandler(proto::Envelope::kGossip);
        registerHandler(proto::Envelope::kFailureDomainDigests);
    }

    ~Impl() { stop(); }

    void start();
    void stop();

    std::shared_ptr<const MemberView> view() const
    {
        const std::lock_guard lock(viewMutex_);
        return view_;
    }

    // Calls change(core, now), then sends the resulting messages and runs the callbacks.
    template<typename Change>
    void apply(Change change)
    {
        CoreOutput output;
        {
            const std::lock_guard lock(mutex_);
            change(core_, currentTime());
            output = takeCoreOutput();
        }
        dispatch(std::move(output));
        wakeCondition_.notify_one();
    }

    unsigned crashCount(std::uint64_t fingerprint) const
    {
        const std::lock_guard lock(mutex_);
        return core_.crashCount(fingerprint, currentTime());
    }

    bool isRelay() const { return isRelay_; }
    void setViewCallback(ViewCallback callback) { viewCallback_ = std::move(callback); }
    void setRevisionCallback(RevisionCallback callback) { revisionCallback_ = std::move(callback); }

private:
    // What the core wants to be sent or reported after a call.
    struct CoreOutput
    {
        std::vector<GossipMessage> messages;
        std::optional<HigherRevision> higherRevision;
    };

    void registerHandler(proto::Envelope::BodyCase kind);
    CoreOutput takeCoreOutput();
    void dispatch(CoreOutput output);
    void removeTemporaryPeers();
    void publishView();
    void updatePeers(const MemberView &view);
    void run();

    MessageBus &bus_;
    PeerDirectory &peers_;
    ViewCallback viewCallback_;
    RevisionCallback revisionCallback_;
    std::atomic<bool> isRelay_{ false };

    mutable std::mutex mutex_;
    // Guarded by mutex_.
    GossipCore core_;
    bool running_ = false;
    std::condition_variable wakeCondition_;
    std::thread thread_;

    // Serialises the callbacks and keeps the views in order. It is recursive because a callback may
    // change this daemon's own state, which calls dispatch() again.
    std::recursive_mutex callbackMutex_;
    std::map<std::string, std::string> knownPeers_;
    // Time of the last message to each peer that is in no view.
    std::map<std::string, std::chrono::steady_clock::time_point> temporaryPeers_;

    mutable std::mutex viewMutex_;
    std::shared_ptr<const MemberView> view_;
};

void Membership::Impl::registerHandler(proto::Envelope::BodyCase kind)
{
    bus_.setHandler(kind, [this](const std::string &sender, const proto::Envelope &envelope) {
        apply([&](GossipCore &core, GossipTime now) { core.receive(sender, envelope, now); });
    });
}

void Membership::Impl::start()
{
    const std::lock_guard lock(mutex_);
    if (running_)
        return;
    running_ = true;
    thread_ = std::thread([this] { run(); });
}

void Membership::Impl::stop()
{
    {
        const std::lock_guard lock(mutex_);
        if (!running_)
            return;
        running_ = false;
    }
    wakeCondition_.notify_one();
    thread_.join();
}

void Membership::Impl::run()
{
    std::unique_lock lock(mutex_);
    while (running_) {
        const std::chrono::steady_clock::time_point due(core_.nextTick());
        if (std::chrono::steady_clock::now() < due) {
            wakeCondition_.wait_until(lock, due);
            continue;
        }
        core_.tick(currentTime());
        CoreOutput output = takeCoreOutput();
        lock.unlock();
        dispatch(std::move(output));
        lock.lock();
    }
}

Membership::Impl::CoreOutput Membership::Impl::takeCoreOutput()
{
    isRelay_ = core_.isRelay();
    return CoreOutput{ .messages = core_.takeMessages(),
                       .higherRevision = core_.takeHigherRevision() };
}

void Membership::Impl::dispatch(CoreOutput output)
{
    const std::lock_guard lock(callbackMutex_);
    publishView();
    for (GossipMessage &message : output.messages) {
        if (!message.endpoint.empty())
            peers_.setPeer(message.peer, message.endpoint);
        if (!message.endpoint.empty() && !knownPeers_.contains(message.peer))
            temporaryPeers_[message.peer] = std::chrono::steady_clock::now();
        bus_.send(message.peer, std::move(message.envelope));
    }
    if (output.higherRevision && revisionCallback_)
        revisionCallback_(*output.higherRevision);
    removeTemporaryPeers();
}

// Removes peers that were contacted by endpoint only. Without removal, the endpoints of all daemons
// that were ever replaced would accumulate.
void Membership::Impl::removeTemporaryPeers()
{
    const auto now = std::chrono::steady_clock::now();
    for (auto entry = temporaryPeers_.begin(); entry != temporaryPeers_.end();) {
        const auto current = entry++;
        if (now - current->second < kTemporaryPeerLifetime)
            continue;
        if (!knownPeers_.contains(current->first))
            peers_.removePeer(current->first);
        temporaryPeers_.erase(current);
    }
}

void Membership::Impl::publishView()
{
    std::shared_ptr<const MemberView> current;
    {
        const std::lock_guard lock(mutex_);
        current = core_.view();
    }
    {
        const std::lock_guard lock(viewMutex_);
        if (view_ == current)
            return;
        view_ = current;
    }
    updatePeers(*current);
    if (viewCallback_)
        viewCallback_(current);
}

// Registers the endpoints of all daemons in the view with the peer directory, and removes those
// that are no longer in it.
void Membership::Impl::updatePeers(const MemberView &view)
{
    std::map<std::string, std::string> peers;
    for (const Member &member : view.members) {
        if (member.id != view.selfId && member.status != MemberStatus::Left)
            peers[member.id] = member.endpoint;
    }
    for (const FailureDomainView &failureDomain : view.failureDomains) {
        for (const Member &contact : failureDomain.contacts)
            peers[contact.id] = contact.endpoint;
    }
    for (const auto &[id, endpoint] : peers) {
        const auto known = knownPeers_.find(id);
        if (known == knownPeers_.end() || known->second != endpoint)
            peers_.setPeer(id, endpoint);
    }
    for (const auto &entry : knownPeers_) {
        if (!peers.contains(entry.first))
            peers_.removePeer(entry.first);
    }
    knownPeers_ = std::move(peers);
}

std::unique_ptr<Membership> Membership::make(GossipOptions options, MessageBus &bus,
                                             PeerDirectory &peers)
{
    if (options.selfId.empty() || options.failureDomain.empty() || options.endpoint.empty()) {
        setLastError("membership requires a daemon id, a failure domain and a peer endpoint");
        return nullptr;
    }
    if (options.randomSeed == 0)
        options.randomSeed = QRandomGenerator::system()->generate64();
    if (options.incarnation == 0)
        options.incarnation = microsecondsSinceEpoch();
    return std::unique_ptr<Membership>(
            new Membership(std::make_unique<Impl>(std::move(options), bus, peers)));
}

Membership::Membership(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl))
{}

Membership::~Membership() = default;

void Membership::onViewChange(ViewCallback callback)
{
    impl_->setViewCallback(std::move(callback));
}

void Membership::onHigherRevision(RevisionCallback callback)
{
    impl_->setRevisionCallback(std::move(callback));
}

void Membership::start()
{
    impl_->start();
}

void Membership::stop()
{
    impl_->stop();
}

std::shared_ptr<const MemberView> Membership::view() const
{
    return impl_->view();
}

bool Membership::isRelay() const
{
    return impl_->isRelay();
}

void Membership::setStatus(MemberStatus status)
{
    impl_->apply([&](GossipCore &core, GossipTime now) { core.setStatus(status, now); });
}

void Membership::setConfigRevision(std::uint64_t revision)
{
    impl_->apply([&](GossipCore &core, GossipTime now) { core.setConfigRevision(revision, now); });
}

void Membership::setCellLoads(const std::vector<CellLoad> &loads)
{
    impl_->apply([&](GossipCore &core, GossipTime) { core.setCellLoads(loads); });
}

void Membership::setPlatformList(const std::vector<ListedMember> &list)
{
    impl_->apply([&](GossipCore &core, GossipTime now) { core.setPlatformList(list, now); });
}

void Membership::markLeaving(const std::string &backendServer, bool leaving)
{
    impl_->apply([&](GossipCore &core, GossipTime now) {
        core.markLeaving(backendServer, leaving, now);
    });
}

void Membership::suspect(const std::string &daemonId)
{
    impl_->apply([&](GossipCore &core, GossipTime now) { core.suspect(daemonId, now); });
}

void Membership::addCrash(std::uint64_t fingerprint)
{
    impl_->apply([&](GossipCore &core, GossipTime now) { core.addCrash(fingerprint, now); });
}

unsigned Membership::crashCount(std::uint64_t fingerprint) const
{
    return impl_->crashCount(fingerprint);
}

} // namespace auburn
