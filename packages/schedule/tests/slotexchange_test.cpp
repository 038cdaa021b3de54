// Tests SlotClient, CellOwner and SlotGateway of several daemons over a simulated network with
// faults.
#include "auburn/schedule/cells.h"
#include "auburn/schedule/slotclient.h"
#include "auburn/schedule/slotgateway.h"

#include "fakenetwork.h"

#include <boost/test/unit_test.hpp>

#include <numeric>

namespace auburn {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct Node
{
    // Returns the number of slots of the backend servers that receive requests from this daemon.
    unsigned slotCount() const
    {
        unsigned count = 0;
        for (const CellLoad &load : owner->loads())
            count += load.totalSlots;
        return count;
    }

    std::string id;
    std::string failureDomain;
    FakeViews views;
    std::unique_ptr<CellOwner> owner;
    std::unique_ptr<SlotClient> client;
    std::unique_ptr<SlotGateway> gateway;
    std::uint64_t publishedRevision = 0;
    unsigned slotsAtPublication = 0;
};

struct Job
{
    Node *requester = nullptr;
    unsigned answers = 0;
    bool cancelled = false;
    std::optional<GrantedSlot> slot;
    std::optional<RefusalCode> refusal;
    FakeNetwork::TimePoint endsAt;
};

class SlotCluster
{
public:
    explicit SlotCluster(unsigned seed)
        : network(seed)
    {}

    void addBackendServers(const std::string &failureDomain, unsigned count, unsigned slots)
    {
        for (unsigned i = 0; i < count; ++i) {
            const std::string name = failureDomain + "-r" + std::to_string(i);
            const ItemValue backendServer = BackendServer{ .name = name,
                                                           .service = "s",
                                                           .failureDomain = failureDomain,
                                                           .address = name + ":1",
                                                           .slots = slots };
            items[keyOf(backendServer)] = std::make_shared<const Item>(
                    Item{ .value = backendServer });
        }
        const ItemValue service = Service{ .name = "s" };
        items[keyOf(service)] = std::make_shared<const Item>(Item{ .value = service });
        config = ConfigState::make(items, ++revision);
    }

    void drainBackendServer(const std::string &name)
    {
        for (auto &[key, item] : items) {
            ItemValue value = item->value;
            auto *backendServer = std::get_if<BackendServer>(&value);
            if (backendServer == nullptr || backendServer->name != name)
                continue;
            backendServer->draining = true;
            item = std::make_shared<const Item>(Item{ .value = value });
        }
        config = ConfigState::make(items, ++revision);
    }

    void addFailureDomain(const std::string &failureDomain, const std::vector<std::string> &ids)
    {
        for (const std::string &id : ids) {
            Node &node = nodes[id];
            node.id = id;
            node.failureDomain = failureDomain;
            node.views.set(readyView(id, failureDomain, ids));
            const auto clock = [this] { return network.now; };
            const auto configNow = [this] { return config; };
            node.owner = CellOwner::make({ .selfId = id,
                                           .bus = &network.bus(id),
                                           .views = &node.views,
                                           .config = configNow,
                                           .clock = clock,
                                           .publishRevision =
                                                   [&node](std::uint64_t published) {
                                                       node.publishedRevision = published;
                                                       node.slotsAtPublication = node.slotCount();
                                                   },
                                           .queue = { .sharedCapacity = 12 } });
            node.client = SlotClient::make(
                    { .selfId = id,
                      .bus = &network.bus(id),
                      .views = &node.views,
                      .config = configNow,
                      .localOwner = node.owner.get(),
                      .clock = clock,
                      .random = [this](unsigned bound) { return network.below(bound); } });
            node.gateway = SlotGateway::make({ .bus = &network.bus(id),
                                               .client = node.client.get(),
                                               .owner = node.owner.get(),
                                               .clock = clock });
        }
    }

    std::string request(Node &requester, milliseconds duration, milliseconds timeout = seconds(20))
    {
        std::string id = "q" + std::to_string(jobs.size());
        Job &job = jobs[id];
        job.requester = &requester;
        SlotRequest request{ .requestId = id,
                             .service = "s",
                             .tier = network.below(3),
                             .organisation = "o" + std::to_string(network.below(4)),
                             .deadline = network.now + timeout };
        requester.client->request(request, [this, &job, duration](SlotAnswer answer) {
            ++job.answers;
            BOOST_REQUIRE(!job.cancelled);
            if (const auto *refusal = std::get_if<Refusal>(&answer)) {
                BOOST_REQUIRE(refusal->verdict == Verdict::DidNotRun);
                job.refusal = refusal->code;
                return;
            }
            job.slot = std::get<GrantedSlot>(answer);
            job.endsAt = network.now + duration;
            maxRunningOnBackendServer = std::max(maxRunningOnBackendServer,
                                                 ++runningByBackendServer[job.slot->backendServer]);
        });
        return id;
    }

    void cancel(const std::string &id)
    {
        Job &job = jobs.at(id);
        if (job.answers > 0)
            return;
        job.cancelled = true;
        job.requester->client->cancel(id);
    }

    void finishJobs()
    {
        for (auto &[id, job] : jobs) {
            const bool ends = job.slot && job.endsAt <= network.now;
            if (!ends || network.isFrozen(job.requester->id)
                || network.isRemoved(job.requester->id))
                continue;
            --runningByBackendServer[job.slot->backendServer];
            const SlotReport report{ .outcome = SlotOutcome::Completed };
            job.requester->client->release(*job.slot, report);
            job.slot.reset();
        }
    }

    void run(milliseconds time, const std::function<void()> &eachStep = {})
    {
        const auto end = network.now + time;
        while (network.now < end) {
            network.step();
            finishJobs();
            if (eachStep)
                eachStep();
            if (++steps % 50 == 0)
                tickAll();
        }
    }

    void tickAll()
    {
        for (auto &[id, node] : nodes) {
            if (network.isFrozen(id) || network.isRemoved(id))
                continue;
            node.owner->tick(network.now);
            node.client->tick(network.now);
            node.gateway->tick(network.now);
        }
    }

    // Sends a request from a random daemon with the given probability per thousand; cancels one of
    // ten.
    void load(unsigned perThousandSteps)
    {
        if (network.below(1000) >= perThousandSteps)
            return;
        const auto node = std::next(nodes.begin(), network.below(nodes.size()));
        if (network.isFrozen(node->first) || network.isRemoved(node->first))
            return;
        const std::string id = request(node->second, milliseconds(20 + network.below(400)));
        if (network.below(10) == 0)
            cancel(id);
    }

    void requireAllAnsweredOnce()
    {
        for (const auto &[id, job] : jobs) {
            if (!network.isRemoved(job.requester->id))
                BOOST_REQUIRE_MESSAGE(job.answers == (job.cancelled ? 0U : 1U),
                                      id << " has " << job.answers << " answers");
        }
        for (const auto &[id, node] : nodes) {
            if (network.isRemoved(id))
                continue;
            BOOST_REQUIRE_EQUAL(node.client->pendingCount(), 0U);
            BOOST_REQUIRE_EQUAL(node.client->heldCount(), 0U);
            for (const CellLoad &load : node.owner->loads())
                BOOST_REQUIRE_EQUAL(load.freeSlots, load.totalSlots);
        }
    }

    Node &ownerNode(unsigned cell = 0)
    {
        const auto view = nodes.begin()->second.views.view();
        return nodes.at(view->ownerOf(cellKey("s", view->failureDomain, cell)));
    }

    Node &otherThan(const Node &node)
    {
        const auto found = std::find_if(nodes.begin(), nodes.end(),
                                        [&](const auto &entry) { return &entry.second != &node; });
        return found->second;
    }

    FakeNetwork network;
    ConfigState::ItemMap items;
    std::shared_ptr<const ConfigState> config;
    std::map<std::string, Node> nodes;
    std::map<std::string, Job> jobs;
    std::map<std::string, unsigned> runningByBackendServer;
    unsigned maxRunningOnBackendServer = 0;
    unsigned steps = 0;
    std::uint64_t revision = 0;
};

const std::vector<std::string> kDaemonIds{ "a", "b", "c", "d" };

struct OneFailureDomain : SlotCluster
{
    explicit OneFailureDomain(unsigned seed = 1, unsigned backendServers = 4)
        : SlotCluster(seed)
    {
        addBackendServers("p", backendServers, 2);
        addFailureDomain("p", kDaemonIds);
    }
};

struct TwoFailureDomains : SlotCluster
{
    explicit TwoFailureDomains(unsigned seed = 1)
        : SlotCluster(seed)
    {
        addBackendServers("p2", 2, 2);
        addFailureDomain("p1", { "a", "b" });
        addFailureDomain("p2", { "x", "y" });
        MemberView view = readyView("a", "p1", { "a", "b" });
        view.failureDomains.push_back(
                FailureDomainView{ .failureDomain = "p2",
                                   .region = "region",
                                   .services = { { .service = "s", .totalSlots = 4 } },
                                   .contacts = { Member{ .id = "x" }, Member{ .id = "y" } } });
        nodes.at("a").views.set(view);
        view.selfId = "b";
        nodes.at("b").views.set(view);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(slotexchange)

// Guards against more requests on a backend server than slots, lost answers and duplicate answers
// when messages are delayed and duplicated.
BOOST_AUTO_TEST_CASE(request_delaysAndDuplicates_answeredOnceWithinSlots)
{
    for (unsigned seed = 1; seed <= 20; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            OneFailureDomain cluster(seed, seed % 2 == 0 ? 4 : 40);
            cluster.network.faults = { .duplicates = 0.3, .maxDelay = milliseconds(30) };
            cluster.run(seconds(8), [&] { cluster.load(60); });
            cluster.run(seconds(25));
            cluster.requireAllAnsweredOnce();
            BOOST_REQUIRE_LE(cluster.maxRunningOnBackendServer, 2U);
            // With four backend servers the load exceeds the capacity, so every slot of one must
            // have been used.
            BOOST_REQUIRE(seed % 2 == 1 || cluster.maxRunningOnBackendServer == 2U);
        }
    }
}

// Guards against a revision that is announced as in force while a cell still grants slots of a
// backend server that the revision drains.
BOOST_AUTO_TEST_CASE(revision_withDrainedBackendServer_isPublishedAfterCellsApplyIt)
{
    OneFailureDomain cluster;
    cluster.tickAll();
    Node &owner = cluster.ownerNode();
    BOOST_TEST(owner.publishedRevision == cluster.revision);
    BOOST_TEST(owner.slotsAtPublication == 8U);
    const std::uint64_t before = cluster.revision;
    cluster.drainBackendServer("p-r0");
    BOOST_TEST(owner.publishedRevision == before);
    BOOST_TEST(owner.slotCount() == 8U);
    cluster.tickAll();
    for (const auto &[id, node] : cluster.nodes)
        BOOST_TEST(node.publishedRevision == cluster.revision, id);
    BOOST_TEST(owner.slotsAtPublication == 6U);
}

// Guards against unanswered requests and leaked slots when messages are lost.
BOOST_AUTO_TEST_CASE(request_tenthOfMessagesLost_answeredOnceAndSlotsAreFreed)
{
    for (unsigned seed = 1; seed <= 20; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            OneFailureDomain cluster(seed);
            cluster.network.faults = { .loss = 0.1, .duplicates = 0.1 };
            cluster.run(seconds(8), [&] { cluster.load(30); });
            cluster.run(seconds(30));
            cluster.requireAllAnsweredOnce();
        }
    }
}

// Guards against requests that hang at a paused owner, and against late grants that leak slots or
// answer a request twice.
BOOST_AUTO_TEST_CASE(request_ownersPauseAndResume_answeredOnceAndSlotsAreFreed)
{
    for (unsigned seed = 1; seed <= 20; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            OneFailureDomain cluster(seed);
            for (int i = 0; i < 4; ++i) {
                const std::string &paused = kDaemonIds[cluster.network.below(4)];
                cluster.run(milliseconds(500), [&] { cluster.load(20); });
                cluster.network.freeze(paused);
                cluster.run(milliseconds(100 + cluster.network.below(4000)),
                            [&] { cluster.load(20); });
                cluster.network.wake(paused);
            }
            cluster.run(seconds(30));
            cluster.requireAllAnsweredOnce();
            BOOST_REQUIRE_LE(cluster.maxRunningOnBackendServer, 8U);
        }
    }
}

// Guards against waiting for an unresponsive owner longer than two acknowledgement timeouts.
BOOST_AUTO_TEST_CASE(request_ownerSilent_nextDaemonInOrderServes)
{
    OneFailureDomain cluster;
    Node &owner = cluster.ownerNode();
    cluster.network.freeze(owner.id);
    const std::string id = cluster.request(cluster.otherThan(owner), seconds(1));
    cluster.run(2 * kAckTimeout + milliseconds(120));
    BOOST_TEST(cluster.jobs.at(id).slot.has_value());
    BOOST_TEST(cluster.jobs.at(id).slot->owner != owner.id);
}

// Guards against a late grant that leaks its slot because the cancel was lost.
BOOST_AUTO_TEST_CASE(request_lateGrantOfOldOwner_isReleased)
{
    OneFailureDomain cluster;
    Node &owner = cluster.ownerNode();
    cluster.network.freeze(owner.id);
    cluster.request(cluster.otherThan(owner), seconds(10));
    cluster.run(2 * kAckTimeout - milliseconds(20));
    cluster.network.faults.loss = 1;
    cluster.run(milliseconds(100));
    cluster.network.faults.loss = 0;
    cluster.network.wake(owner.id);
    cluster.run(milliseconds(100));
    const CellLoad load = owner.owner->loads().at(0);
    BOOST_TEST(load.freeSlots == load.totalSlots);
}

// Guards against unbounded overload of backend servers while two daemons act as owner of the same
// cell.
BOOST_AUTO_TEST_CASE(request_twoOwnersAtOnce_atMostTwiceTheSlotsAndAllAnswered)
{
    for (unsigned seed = 1; seed <= 10; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            OneFailureDomain cluster(seed);
            const std::string owner = cluster.ownerNode().id;
            std::vector<std::string> others = kDaemonIds;
            std::erase(others, owner);
            for (const std::string &id : { others[0], others[1] })
                cluster.nodes.at(id).views.set(readyView(id, "p", others));
            cluster.run(seconds(6), [&] { cluster.load(60); });
            BOOST_REQUIRE_LE(cluster.maxRunningOnBackendServer, 4U);
            for (const std::string &id : kDaemonIds)
                cluster.nodes.at(id).views.set(readyView(id, "p", kDaemonIds));
            cluster.run(seconds(30));
            cluster.requireAllAnsweredOnce();
        }
    }
}

// Guards against a new owner that does not learn the slots in use or the waiting requests.
BOOST_AUTO_TEST_CASE(view_ownerLeaves_newOwnerLearnsSlotsAndServesWaiting)
{
    OneFailureDomain cluster;
    Node &owner = cluster.ownerNode();
    Node &requester = cluster.otherThan(owner);
    std::vector<std::string> ids;
    ids.reserve(10);
    for (int i = 0; i < 10; ++i)
        ids.push_back(cluster.request(requester, seconds(3)));
    cluster.run(milliseconds(100));
    cluster.network.remove(owner.id);
    std::vector<std::string> rest = kDaemonIds;
    std::erase(rest, owner.id);
    for (const std::string &id : rest)
        cluster.nodes.at(id).views.set(readyView(id, "p", rest));
    cluster.run(milliseconds(200));
    Node &next = cluster.nodes.at(readyView("a", "p", rest).ownerOf(cellKey("s", "p", 0)));
    const CellLoad load = next.owner->loads().at(0);
    BOOST_TEST(load.freeSlots == 0U);
    BOOST_TEST(std::accumulate(load.waitingByTier.begin(), load.waitingByTier.end(), 0U) == 2U);
    cluster.run(seconds(10));
    BOOST_TEST(cluster.maxRunningOnBackendServer == 2U);
    for (const std::string &id : ids)
        BOOST_TEST((cluster.jobs.at(id).answers == 1U && !cluster.jobs.at(id).refusal));
}

// Guards against a leak of the slots of a crashed requester.
BOOST_AUTO_TEST_CASE(view_requesterDies_itsSlotsServeOthers)
{
    OneFailureDomain cluster;
    Node &owner = cluster.ownerNode();
    Node &requester = cluster.otherThan(owner);
    for (int i = 0; i < 8; ++i)
        cluster.request(requester, seconds(100));
    cluster.run(seconds(3));
    cluster.network.remove(requester.id);
    const std::string waiting = cluster.request(owner, seconds(1));
    cluster.run(seconds(1));
    BOOST_TEST(!cluster.jobs.at(waiting).slot.has_value());
    MemberView view = readyView(owner.id, "p", kDaemonIds);
    for (Member &member : view.members)
        member.status = member.id == requester.id ? MemberStatus::Dead : member.status;
    owner.views.set(view);
    cluster.run(milliseconds(200));
    BOOST_TEST(cluster.jobs.at(waiting).slot.has_value());
}

// Guards against a cancelled request that leaks a slot or is answered.
BOOST_AUTO_TEST_CASE(cancel_grantInFlight_slotIsFreedWithoutAnswer)
{
    OneFailureDomain cluster;
    Node &owner = cluster.ownerNode();
    // Each message takes 1 ms, so the grant has just been sent.
    cluster.network.faults.maxDelay = milliseconds(1);
    const std::string id = cluster.request(cluster.otherThan(owner), seconds(1));
    cluster.run(milliseconds(1));
    cluster.cancel(id);
    BOOST_TEST(cluster.jobs.at(id).cancelled);
    cluster.run(milliseconds(200));
    cluster.requireAllAnsweredOnce();
}

// Guards against requests that wait past their deadline.
BOOST_AUTO_TEST_CASE(tick_deadlinePasses_refusedAsDidNotRun)
{
    OneFailureDomain cluster;
    Node &requester = cluster.otherThan(cluster.ownerNode());
    for (int i = 0; i < 8; ++i)
        cluster.request(requester, seconds(5));
    const std::string id = cluster.request(requester, seconds(1), milliseconds(700));
    cluster.run(milliseconds(760));
    BOOST_TEST((cluster.jobs.at(id).refusal == RefusalCode::DeadlineExceeded));
    BOOST_TEST(cluster.jobs.at(id).answers == 1U);
}

// Guards against the refusal of a request while another cell has free slots.
BOOST_AUTO_TEST_CASE(request_severalCells_allCellsAreFilledBeforeARefusal)
{
    OneFailureDomain cluster(1, 40);
    BOOST_TEST(cellCount(40) == 4U);
    Node &requester = cluster.nodes.at("a");
    for (int i = 0; i < 80 + 4 * (12 + 4); ++i)
        cluster.request(requester, seconds(100), seconds(200));
    cluster.run(seconds(2));
    unsigned running = 0;
    for (const auto &entry : cluster.runningByBackendServer)
        running += entry.second;
    BOOST_TEST(running == 80U);
}

// Guards against the refusal of a request while another failure domain has backend servers, and
// against leaked slots of requesters of other failure domains.
BOOST_AUTO_TEST_CASE(request_ownFailureDomainHasNoBackendServer_otherFailureDomainServes)
{
    for (unsigned seed = 1; seed <= 10; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            TwoFailureDomains cluster(seed);
            cluster.network.faults = { .loss = 0.05,
                                       .duplicates = 0.1,
                                       .maxDelay = milliseconds(25) };
            cluster.run(seconds(8), [&] { cluster.load(10); });
            cluster.run(seconds(40));
            cluster.requireAllAnsweredOnce();
            const auto served = std::count_if(
                    cluster.jobs.begin(), cluster.jobs.end(), [](const auto &entry) {
                        return entry.second.answers && !entry.second.refusal;
                    });
            BOOST_REQUIRE_GT(served, 0);
        }
    }
}

// Guards against a leak of the slots of a dead requester of another failure domain.
BOOST_AUTO_TEST_CASE(gateway_remoteRequesterDies_slotsAreFreed)
{
    TwoFailureDomains cluster;
    for (int i = 0; i < 4; ++i)
        cluster.request(cluster.nodes.at("a"), seconds(100));
    cluster.run(seconds(5));
    BOOST_TEST(cluster.runningByBackendServer.size() == 2U);
    cluster.network.remove("a");
    cluster.run(kSlotLease + seconds(3));
    for (const char *id : { "x", "y" })
        BOOST_TEST(cluster.nodes.at(id).client->heldCount() == 0U);
    const std::string next = cluster.request(cluster.nodes.at("x"), seconds(1));
    cluster.run(milliseconds(100));
    BOOST_TEST(cluster.jobs.at(next).slot.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn
