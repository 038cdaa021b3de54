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

#include <atomic>
#include <utility>

namespace auburn {

namespace {

// Resolution of the schedulers' timers.
constexpr std::chrono::milliseconds kScheduleTick{ 50 };
constexpr std::chrono::milliseconds kListInterval{ 1000 };
// A departing daemon announces "left" and stays for this time, so that a gossip round carries it.
constexpr std::chrono::milliseconds kLeaveNoticeTime{ 1200 };
constexpr std::chrono::milliseconds kDrainPoll{ 50 };
// A daemon that is ready before it knows its neighbours takes itself for the owner of every cell.
// It waits this long for the first of them; a failure domain may have one daemon only.
constexpr std::chrono::seconds kJoinWait{ 3 };

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
        return startTelemetry() && makeMesh() && makeConfig() && makeSchedule() && makeClaims()
               && startMesh() && startServers();
    }

    void stop(std::function<void()> stopped)
    {
        if (stopping_.exchange(true))
            return;
        stopped_ = std::move(stopped);
        logEvent(LogLevel::Info, "shutdown_begin");
        membership_->setStatus(MemberStatus::Draining);
        QTimer::singleShot(settings_.balancerDelay, &context_, [this] { drain(); });
    }

private:
    bool startTelemetry()
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
        log_ = LogClient::make({ .baseUrl = settings_.logUrl });
        list_ = MembershipListClient::make({ .baseUrl = settings_.listUrl });
        if (!log_ || !list_)
            return false;
        follower_ = ConfigFollower::make({}, *log_, *bus_, store_);
        publisher_ = ConfigPublisher::make({}, *log_, *follower_, store_);
        snapshots_ = SnapshotWriter::make({}, *log_, *follower_);
        subscription_ = store_.subscribe([this](const std::shared_ptr<const ConfigState> &state) {
            membership_->setConfigRevision(state->revision());
        });
        membership_->onHigherRevision([this](const HigherRevision &higher) {
            follower_->onPeerRevision(higher.peer, higher.revision);
        });
        return true;
    }

    bool makeSchedule()
    {
        const auto config = [this] { return store_.current(); };
        owner_ = CellOwner::make(
                { .selfId = settings_.id,
                  .bus = bus_.get(),
                  .views = membership_.get(),
                  .config = config,
                  .publishLoads =
                          [this](const std::vector<CellLoad> &loads) {
                              membership_->setCellLoads(loads);
                          },
                  .poisonRequests = { .crashCount =
                                              [this](std::uint64_t fingerprint) {
                                                  return membership_->crashCount(fingerprint);
                                              },
                                      .recordCrash =
                                              [this](std::uint64_t fingerprint) {
                                                  membership_->addCrash(fingerprint);
                                              } } });
        if (!owner_)
            return false;
        slots_ = SlotClient::make(
                { .selfId = settings_.id,
                  .bus = bus_.get(),
                  .views = membership_.get(),
                  .config = config,
                  .localOwner = owner_.get(),
                  .reportUnresponsive = [this](const std::string &id) { membership_->suspect(id); },
                  .crashesBackendServers =
                          [this](std::uint64_t fingerprint) {
                              return membership_->crashCount(fingerprint) >= kCrashLimit;
                          } });
        if (!slots_)
            return false;
        gateway_ = SlotGateway::make(
                { .bus = bus_.get(), .client = slots_.get(), .owner = owner_.get() });
        poller_ = std::make_unique<LoadPoller>(LoadPoller::Options{
                .config = config,
                .views = membership_.get(),
                .report = [this](const std::string &backendServer, BackendServerLoad load) {
                    owner_->reportLoad(backendServer, load);
                } });
        return gateway_ != nullptr;
    }

    bool makeClaims()
    {
        claimLog_ = std::make_unique<ClaimLogAdapter>(*log_);
        claimOwner_ = ClaimOwner::make({ .selfId = settings_.id,
                                         .bus = bus_.get(),
                                         .views = membership_.get(),
                                         .log = claimLog_.get() });
        if (!claimOwner_)
            return false;
        claims_ = ClaimClient::make({ .selfId = settings_.id,
                                      .bus = bus_.get(),
                                      .views = membership_.get(),
                                      .localOwner = claimOwner_.get() });
        return claims_ != nullptr;
    }

    bool startMesh()
    {
        if (!bus_->start())
            return false;
        membership_->setStatus(MemberStatus::Starting);
        membership_->start();
        follower_->start();
        poller_->start();
        every(kScheduleTick, [this] { tick(); });
        every(kListInterval, [this] { readList(); });
        return true;
    }

    bool startServers()
    {
        callers_ = CallerServer::make({ .address = settings_.callerListen.host,
                                        .port = settings_.callerListen.port,
                                        .threads = settings_.threads,
                                        .limits = { .bodyBytes = settings_.bodyLimit },
                                        .config = [this] { return store_.current(); },
                                        .slots = slots_.get(),
                                        .claims = claims_.get(),
                                        .observer = telemetry_.get() });
        if (!callers_)
            return false;
        backend_ = std::make_unique<DaemonBackend>(store_, *follower_, *publisher_, *membership_);
        stateMetrics_ = std::make_unique<StateMetrics>(metrics_, *backend_);
        metrics_.addCollector([this] { collect(); });
        addProcessMetrics(metrics_);
        addTracerMetrics(metrics_, *tracer_);
        status_ = StatusServer::make({ .listen = settings_.statusListen,
                                       .metrics = metrics_,
                                       .notReadyReason = [this] { return notReadyReason(); } });
        if (!status_)
            return false;
        operators_ = OperatorServer::make({ .bind = settings_.operatorBind,
                                            .publicKey = settings_.fleetPublicKey,
                                            .secretKey = settings_.fleetSecretKey,
                                            .operators = settings_.operators },
                                          *backend_);
        return operators_ != nullptr;
    }

    void stopServers()
    {
        operators_.reset();
        status_.reset();
        callers_.reset();
    }

    template<typename Work>
    void every(std::chrono::milliseconds interval, Work work)
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
        owner_->tick(now);
        slots_->tick(now);
        gateway_->tick(now);
        claimOwner_->tick(now);
        claims_->tick(now);
        updateRole();
    }

    bool hasJoined() const
    {
        return membership_->view()->members.size() > 1
               || std::chrono::steady_clock::now() - started_ >= kJoinWait;
    }

    void updateRole()
    {
        if (!announcedReady_ && store_.current() && hasJoined() && !stopping_) {
            announcedReady_ = true;
            membership_->setStatus(MemberStatus::Ready);
            logEvent(LogLevel::Info, "ready",
                     { { "revision", static_cast<long long>(store_.revision()) } });
        }
        const bool relay = membership_->isRelay();
        if (relay == relay_)
            return;
        relay_ = relay;
        follower_->setFollowing(relay);
        snapshots_->setActive(relay);
        logEvent(LogLevel::Info, "role_change", { { "relay", relay ? "true" : "false" } });
    }

    // Relays read the list for their place; a daemon that knows no other member reads it to find
    // one.
    void readList()
    {
        if (!relay_ && membership_->view()->members.size() > 1)
            return;
        if (listPending_)
            return;
        listPending_ = true;
        list_->list([this](const std::optional<std::vector<ListedMember>> &members) {
            listPending_ = false;
            if (members)
                membership_->setPlatformList(*members);
        });
    }

    void collect()
    {
        metrics_.gauge("auburn_requests_in_flight", "Requests whose answer is not complete.")
                .set(static_cast<double>(callers_->inFlight()));
        metrics_.gauge("auburn_slots_pending", "Slot requests without an answer.")
                .set(static_cast<double>(slots_->pendingCount()));
        metrics_.gauge("auburn_slots_held", "Slots held for requests of this daemon.")
                .set(static_cast<double>(slots_->heldCount()));
        for (const MessageKindTraffic &kind : bus_->counters().kinds)
            collectTraffic(kind);
    }

    void collectTraffic(const MessageKindTraffic &kind)
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
        callers_->drain(
                [this] { QMetaObject::invokeMethod(&context_, [this] { awaitGateway(); }); });
    }

    // Slots that this daemon obtained for fronts of other failure domains end with their requests.
    void awaitGateway()
    {
        if (gateway_->heldCount() > 0) {
            QTimer::singleShot(kDrainPoll, &context_, [this] { awaitGateway(); });
            return;
        }
        membership_->setStatus(MemberStatus::Left);
        QTimer::singleShot(kLeaveNoticeTime, &context_, [this] {
            logEvent(LogLevel::Info, "shutdown_end");
            stopped_();
        });
    }

    const Settings settings_;
    Metrics metrics_;
    std::unique_ptr<Tracer> tracer_;
    std::unique_ptr<RequestTelemetry> telemetry_;
    ConfigStore store_;
    std::unique_ptr<ZmqBus> bus_;
    std::unique_ptr<Membership> membership_;
    std::unique_ptr<LogClient> log_;
    std::unique_ptr<MembershipListClient> list_;
    std::unique_ptr<ConfigFollower> follower_;
    std::unique_ptr<ConfigPublisher> publisher_;
    std::unique_ptr<SnapshotWriter> snapshots_;
    ConfigStore::Subscription subscription_;
    std::unique_ptr<CellOwner> owner_;
    std::unique_ptr<SlotClient> slots_;
    std::unique_ptr<SlotGateway> gateway_;
    std::unique_ptr<LoadPoller> poller_;
    std::unique_ptr<ClaimLogAdapter> claimLog_;
    std::unique_ptr<ClaimOwner> claimOwner_;
    std::unique_ptr<ClaimClient> claims_;
    std::unique_ptr<CallerServer> callers_;
    std::unique_ptr<StatusServer> status_;
    std::unique_ptr<DaemonBackend> backend_;
    std::unique_ptr<StateMetrics> stateMetrics_;
    std::unique_ptr<OperatorServer> operators_;
    std::function<void()> stopped_;
    std::atomic<bool> stopping_{ false };
    std::atomic<bool> announcedReady_{ false };
    const std::chrono::steady_clock::time_point started_ = std::chrono::steady_clock::now();
    bool relay_ = false;
    bool listPending_ = false;
    // Owner of the timers; calls that are posted to it are dropped when it is destroyed.
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
