#include "auburn/daemon/daemon.h"

#include "auburn/claims/claimclient.h"
#include "auburn/claims/claimowner.h"
#include "auburn/config/configfollower.h"
#include "auburn/config/configpublisher.h"
#include "auburn/config/configstore.h"
#include "auburn/config/logclient.h"
#include "auburn/config/membershiplistclient.h"
#include "auburn/config/snapshotwriter.h"
#include "auburn/core/lasterror.h"
#include "auburn/core/log.h"
#include "auburn/core/metrics.h"
#include "auburn/core/processmetrics.h"
#include "auburn/core/tracer.h"
#include "auburn/daemon/operatorserver.h"
#include "auburn/daemon/statemetrics.h"
#include "auburn/daemon/statusserver.h"
#include "auburn/mesh/membership.h"
#include "auburn/mesh/zmqbus.h"
#include "auburn/relay/callerserver.h"
#include "auburn/schedule/cellowner.h"
#include "auburn/schedule/slotclient.h"
#include "auburn/schedule/slotgateway.h"
#include "claimlogadapter.h"
#include "daemonbackend.h"
#include "loadpoller.h"
#include "requesttelemetry.h"

#include <QMetaObject>
#include <QObject>
#include <QTimer>

#include <algorithm>
#include <atomic>
#include <unistd.h>
#include <utility>

namespace auburn {

namespace {

// Interval of tick(); determines the timer resolution of the slot and claim components.
constexpr std::chrono::milliseconds kTickInterval{ 50 };
// Interval at which the platform membership list is read.
constexpr std::chrono::milliseconds kMembershipListInterval{ 1000 };
// Time for which a departing daemon keeps running after it has announced the status "left", so that
// at least one gossip round propagates it.
constexpr std::chrono::milliseconds kLeaveAnnouncementPeriod{ 1200 };
// Interval at which a draining daemon checks for held slots.
constexpr std::chrono::milliseconds kDrainPollInterval{ 50 };
// Maximum time for which a starting daemon waits for the first other member of its failure domain
// before it becomes ready. Without other members in its view it would consider itself the owner of
// every cell. The wait is limited because a failure domain may have only one daemon.
constexpr std::chrono::seconds kJoinTimeout{ 3 };
// Default share of the VM's memory that callers' connections may hold, in percent. The heap takes
// up to twice of what is accounted for.
constexpr std::size_t kMemoryPercent = 40;

std::size_t memoryLimit(const Settings &settings)
{
    if (settings.memoryLimit > 0)
        return settings.memoryLimit;
    const auto pages = static_cast<std::size_t>(std::max(sysconf(_SC_PHYS_PAGES), 1L));
    return pages / 100 * kMemoryPercent * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

// Idle connections are not closed for lack of memory, so their number is limited to what takes a
// quarter of it.
std::size_t connectionLimit(const Settings &settings)
{
    constexpr std::size_t kBytesPerConnection = std::size_t{ 16 } * 1024;
    return std::min(settings.connectionLimit, memoryLimit(settings) / kBytesPerConnection);
}

} // namespace

class Daemon::Impl
{
public:
    explicit Impl(const Settings &settings)
        : settings_(settings)
    {}

    ~Impl()
    {
        stopServers();
        if (membership_)
            membership_->stop();
        if (bus_)
            bus_->stop();
    }

    bool start()
    {
        return makeTelemetry() && makeMesh() && makeConfig() && makeSchedule() && makeClaims()
               && startMesh() && startServers();
    }

    void stop(std::function<void()> stopped)
    {
        if (stopping_.exchange(true))
            return;
        stoppedCallback_ = std::move(stopped);
        logEvent(LogLevel::Info, "shutdown_begin");
        membership_->setStatus(MemberStatus::Draining);
        QTimer::singleShot(settings_.balancerDelay, &context_, [this] { drain(); });
    }

private:
    bool makeTelemetry()
    {
        std::unique_ptr<SpanSink> sink;
        if (!settings_.traceTarget.empty()) {
            sink = SpanSink::make(settings_.traceTarget);
            if (!sink)
                return false;
        }
        tracer_ = std::make_unique<Tracer>(Tracer::Options{
                .sink = std::move(sink),
                .resource = { { "service.name", "auburnd" },
                              { "service.instance.id", settings_.id },
                              { "auburn.failure_domain", settings_.failureDomain } },
                .sampling = settings_.traceSampling });
        telemetry_ = std::make_unique<RequestTelemetry>(*tracer_, metrics_);
        return true;
    }

    bool makeMesh()
    {
        bus_ = ZmqBus::make(ZmqBusOptions{ .daemonId = settings_.id,
                                           .endpoint = settings_.peerBind,
                                           .keys = { .publicKey = settings_.fleetPublicKey,
                                                     .secretKey = settings_.fleetSecretKey },
                                           .acceptedKeys = settings_.acceptedFleetKeys });
        if (!bus_)
            return false;
        membership_ = Membership::make(GossipOptions{ .selfId = settings_.id,
                                                      .failureDomain = settings_.failureDomain,
                                                      .region = settings_.region,
                                                      .endpoint = settings_.peerAdvertised,
                                                      .seeds = settings_.seeds },
                                       *bus_, *bus_);
        return membership_ != nullptr;
    }

    bool makeConfig()
    {
        logClient_ = LogClient::make({ .baseUrl = settings_.logUrl });
        membershipList_ = MembershipListClient::make({ .baseUrl = settings_.listUrl });
        if (!logClient_ || !membershipList_)
            return false;
        follower_ = ConfigFollower::make({}, *logClient_, *bus_, store_);
        publisher_ = ConfigPublisher::make({}, *logClient_, *follower_, store_);
        snapshotWriter_ = SnapshotWriter::make({}, *logClient_, *follower_);
        membership_->onHigherRevision([this](const HigherRevision &higherRevision) {
            follower_->onPeerRevision(higherRevision.peer, higherRevision.revision);
        });
        return true;
    }

    bool makeSchedule()
    {
        const auto config = [this] { return store_.current(); };
        cellOwner_ = CellOwner::make(
                { .selfId = settings_.id,
                  .bus = bus_.get(),
                  .views = membership_.get(),
                  .config = config,
                  .publishLoads =
                          [this](const std::vector<CellLoad> &loads) {
                              membership_->setCellLoads(loads);
                          },
                  // Operators take the announced revision for the one in force, so it is announced
                  // only after the cells apply it.
                  .publishRevision =
                          [this](std::uint64_t revision) {
                              membership_->setConfigRevision(revision);
                          },
                  .poisonRequests = { .crashCount =
                                              [this](std::uint64_t fingerprint) {
                                                  return membership_->crashCount(fingerprint);
                                              },
                                      .recordCrash =
                                              [this](std::uint64_t fingerprint) {
                                                  membership_->addCrash(fingerprint);
                                              } } });
        if (!cellOwner_)
            return false;
        slotClient_ = SlotClient::make(
                { .selfId = settings_.id,
                  .bus = bus_.get(),
                  .views = membership_.get(),
                  .config = config,
                  .localOwner = cellOwner_.get(),
                  .reportUnresponsive = [this](const std::string &id) { membership_->suspect(id); },
                  .crashesBackendServers =
                          [this](std::uint64_t fingerprint) {
                              return membership_->crashCount(fingerprint) >= kCrashLimit;
                          } });
        if (!slotClient_)
            return false;
        slotGateway_ = SlotGateway::make(
                { .bus = bus_.get(), .client = slotClient_.get(), .owner = cellOwner_.get() });
        loadPoller_ = std::make_unique<LoadPoller>(LoadPoller::Options{
                .config = config,
                .views = membership_.get(),
                .report = [this](const std::string &backendServer, BackendServerLoad load) {
                    cellOwner_->reportLoad(backendServer, load);
                } });
        return slotGateway_ != nullptr;
    }

    bool makeClaims()
    {
        claimLog_ = std::make_unique<ClaimLogAdapter>(*logClient_);
        claimOwner_ = ClaimOwner::make({ .selfId = settings_.id,
                                         .bus = bus_.get(),
                                         .views = membership_.get(),
                                         .log = claimLog_.get() });
        if (!claimOwner_)
            return false;
        claimClient_ = ClaimClient::make({ .selfId = settings_.id,
                                           .bus = bus_.get(),
                                           .views = membership_.get(),
                                           .localOwner = claimOwner_.get() });
        return claimClient_ != nullptr;
    }

    bool startMesh()
    {
        if (!bus_->start())
            return false;
        membership_->setStatus(MemberStatus::Starting);
        membership_->start();
        follower_->start();
        loadPoller_->start();
        startTimer(kTickInterval, [this] { tick(); });
        startTimer(kMembershipListInterval, [this] { readMembershipList(); });
        return true;
    }

    bool startServers()
    {
        callerServer_ = CallerServer::make({ .address = settings_.callerListen.host,
                                             .port = settings_.callerListen.port,
                                             .threads = settings_.threads,
                                             .limits = { .bodyBytes = settings_.bodyLimit,
                                                         .connections = connectionLimit(settings_),
                                                         .memoryBytes = memoryLimit(settings_) },
                                             .config = [this] { return store_.current(); },
                                             .slots = slotClient_.get(),
                                             .claims = claimClient_.get(),
                                             .observer = telemetry_.get(),
                                             .metrics = &metrics_ });
        if (!callerServer_)
            return false;
        operatorBackend_ = std::make_unique<DaemonBackend>(store_, *follower_, *publisher_,
                                                           *membership_);
        stateMetrics_ = std::make_unique<StateMetrics>(metrics_, *operatorBackend_);
        metrics_.addCollector([this] { collectMetrics(); });
        addProcessMetrics(metrics_);
        addTracerMetrics(metrics_, *tracer_);
        statusServer_ = StatusServer::make(
                { .listen = settings_.statusListen, .metrics = metrics_, .notReadyReason = [this] {
                     return notReadyReason();
                 } });
        if (!statusServer_)
            return false;
        operatorServer_ = OperatorServer::make({ .bind = settings_.operatorBind,
                                                 .publicKey = settings_.fleetPublicKey,
                                                 .secretKey = settings_.fleetSecretKey,
                                                 .operators = settings_.operators },
                                               *operatorBackend_);
        return operatorServer_ != nullptr;
    }

    void stopServers()
    {
        operatorServer_.reset();
        statusServer_.reset();
        callerServer_.reset();
    }

    template<typename Work>
    void startTimer(std::chrono::milliseconds interval, Work work)
    {
        auto *timer = new QTimer(&context_);
        QObject::connect(timer, &QTimer::timeout, &context_, work);
        timer->start(interval);
    }

    std::optional<std::string> notReadyReason() const
    {
        if (stopping_)
            return "shutting down";
        if (!store_.current())
            return "no configuration yet";
        if (!announcedReady_)
            return "joining the other daemons of the failure domain";
        return std::nullopt;
    }

    void tick()
    {
        const auto now = std::chrono::steady_clock::now();
        cellOwner_->tick(now);
        slotClient_->tick(now);
        slotGateway_->tick(now);
        claimOwner_->tick(now);
        claimClient_->tick(now);
        updateReadinessAndRole();
    }

    bool hasJoined() const
    {
        return membership_->view()->members.size() > 1
               || std::chrono::steady_clock::now() - started_ >= kJoinTimeout;
    }

    // Announces readiness once, and starts or stops the relay's duties when the role changes.
    void updateReadinessAndRole()
    {
        if (!announcedReady_ && store_.current() && hasJoined() && !stopping_) {
            announcedReady_ = true;
            membership_->setStatus(MemberStatus::Ready);
            logEvent(LogLevel::Info, "ready",
                     { { "revision", static_cast<long long>(store_.revision()) } });
        }
        const bool relay = membership_->isRelay();
        if (relay == isRelay_)
            return;
        isRelay_ = relay;
        follower_->setFollowing(relay);
        snapshotWriter_->setActive(relay);
        logEvent(LogLevel::Info, "role_change", { { "relay", relay ? "true" : "false" } });
    }

    // Relays read the list to determine their position; a daemon that knows no other member reads
    // it to discover one.
    void readMembershipList()
    {
        if (!isRelay_ && membership_->view()->members.size() > 1)
            return;
        if (listReadPending_)
            return;
        listReadPending_ = true;
        membershipList_->list([this](const std::optional<std::vector<ListedMember>> &members) {
            listReadPending_ = false;
            if (members)
                membership_->setPlatformList(*members);
        });
    }

    void collectMetrics()
    {
        metrics_.gauge("auburn_requests_in_flight", "Requests whose response is not complete.")
                .set(static_cast<double>(callerServer_->inFlight()));
        metrics_.gauge("auburn_caller_connections", "Open connections of callers.")
                .set(static_cast<double>(callerServer_->connections()));
        metrics_.gauge("auburn_held_bytes",
                       "Memory that the connections and requests of callers hold.")
                .set(static_cast<double>(callerServer_->heldBytes()));
        metrics_.gauge("auburn_slots_pending", "Slot requests without a grant or refusal.")
                .set(static_cast<double>(slotClient_->pendingCount()));
        metrics_.gauge("auburn_slots_held", "Slots held for requests of this daemon.")
                .set(static_cast<double>(slotClient_->heldCount()));
        for (const MessageKindTraffic &kind : bus_->counters().kinds)
            collectBusTraffic(kind);
    }

    void collectBusTraffic(const MessageKindTraffic &kind)
    {
        const auto set = [&](const char *name, const char *help, const char *direction,
                             std::uint64_t value) {
            metrics_.gauge(name, help, { { "kind", kind.kind }, { "direction", direction } })
                    .set(static_cast<double>(value));
        };
        set("auburn_bus_bytes", "Bytes of messages between daemons.", "in", kind.bytesIn);
        set("auburn_bus_bytes", "Bytes of messages between daemons.", "out", kind.bytesOut);
        set("auburn_bus_messages", "Messages between daemons.", "in", kind.messagesIn);
        set("auburn_bus_messages", "Messages between daemons.", "out", kind.messagesOut);
    }

    void drain()
    {
        callerServer_->drain([this] {
            QMetaObject::invokeMethod(&context_, [this] { waitForGatewaySlots(); });
        });
    }

    // Waits until the slots that this daemon holds for requesters in other failure domains are
    // released, which happens when their requests end.
    void waitForGatewaySlots()
    {
        if (slotGateway_->heldCount() > 0) {
            QTimer::singleShot(kDrainPollInterval, &context_, [this] { waitForGatewaySlots(); });
            return;
        }
        membership_->setStatus(MemberStatus::Left);
        QTimer::singleShot(kLeaveAnnouncementPeriod, &context_, [this] {
            logEvent(LogLevel::Info, "shutdown_end");
            stoppedCallback_();
        });
    }

    const Settings settings_;
    Metrics metrics_;
    std::unique_ptr<Tracer> tracer_;
    std::unique_ptr<RequestTelemetry> telemetry_;
    ConfigStore store_;
    std::unique_ptr<ZmqBus> bus_;
    std::unique_ptr<Membership> membership_;
    std::unique_ptr<LogClient> logClient_;
    std::unique_ptr<MembershipListClient> membershipList_;
    std::unique_ptr<ConfigFollower> follower_;
    std::unique_ptr<ConfigPublisher> publisher_;
    std::unique_ptr<SnapshotWriter> snapshotWriter_;
    std::unique_ptr<CellOwner> cellOwner_;
    std::unique_ptr<SlotClient> slotClient_;
    std::unique_ptr<SlotGateway> slotGateway_;
    std::unique_ptr<LoadPoller> loadPoller_;
    std::unique_ptr<ClaimLogAdapter> claimLog_;
    std::unique_ptr<ClaimOwner> claimOwner_;
    std::unique_ptr<ClaimClient> claimClient_;
    std::unique_ptr<CallerServer> callerServer_;
    std::unique_ptr<StatusServer> statusServer_;
    std::unique_ptr<DaemonBackend> operatorBackend_;
    std::unique_ptr<StateMetrics> stateMetrics_;
    std::unique_ptr<OperatorServer> operatorServer_;
    std::function<void()> stoppedCallback_;
    std::atomic<bool> stopping_{ false };
    std::atomic<bool> announcedReady_{ false };
    const std::chrono::steady_clock::time_point started_ = std::chrono::steady_clock::now();
    bool isRelay_ = false;
    bool listReadPending_ = false;
    // Parent of the timers. Calls posted to it are dropped when it is destroyed.
    QObject context_;
};

std::unique_ptr<Daemon> Daemon::make(const Settings &settings)
{
    auto impl = std::make_unique<Impl>(settings);
    if (!impl->start())
        return nullptr;
    return std::unique_ptr<Daemon>(new Daemon(std::move(impl)));
}

Daemon::Daemon(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl))
{}

Daemon::~Daemon() = default;

void Daemon::stop(std::function<void()> stopped)
{
    impl_->stop(std::move(stopped));
}

} // namespace auburn
