// Fronts, owners and gateways together, over a network with faults.
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
    std::string id;
    std::string failureDomain;
    FakeViews views;
    std::unique_ptr<CellOwner> owner;
    std::unique_ptr<SlotClient> client;
    std::unique_ptr<SlotGateway> gateway;
};

struct Job
{
    Node *front = nullptr;
    unsigned answers = 0;
    bool cancelled = false;
    std::optional<GrantedSlot> slot;
    std::optional<RefusalCode> refusal;
    FakeNetwork::TimePoint endsAt;
};

class SlotWorld
{
public:
    explicit SlotWorld(unsigned seed)
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

    std::string request(Node &front, milliseconds duration, milliseconds patience = seconds(20))
    {
        std::string id = "q" + std::to_string(jobs.size());
        Job &job = jobs[id];
        job.front = &front;
        SlotRequest demand{ .requestId = id,
                            .service = "s",
                            .tier = network.below(3),
                            .organisation = "o" + std::to_string(network.below(4)),
                            .deadline = network.now + patience };
        front.client->request(demand, [this, &job, duration](SlotAnswer answer) {
            ++job.answers;
            BOOST_REQUIRE(!job.cancelled);
            if (const auto *refusal = std::get_if<Refusal>(&answer)) {
                BOOST_REQUIRE(refusal->verdict == Verdict::DidNotRun);
                job.refusal = refusal->code;
                return;
            }
            job.slot = std::get<GrantedSlot>(answer);
            job.endsAt = network.now + duration;
            maxOnBackendServer = std::max(maxOnBackendServer,
                                          ++onBackendServer[job.slot->backendServer]);
        });
        return id;
    }

    void cancel(const std::string &id)
    {
        Job &job = jobs.at(id);
        if (job.answers > 0)
            return;
        job.cancelled = true;
        job.front->client->cancel(id);
    }

    void finishJobs()
    {
        for (auto &[id, job] : jobs) {
            const bool ends = job.slot && job.endsAt <= network.now;
            if (!ends || network.isFrozen(job.front->id) || network.isRemoved(job.front->id))
                continue;
            --onBackendServer[job.slot->backendServer];
            const SlotReport report{ .outcome = SlotOutcome::Completed };
            job.front->client->release(*job.slot, report);
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

    // Requests at random fronts, some of which are cancelled.
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
            if (!network.isRemoved(job.front->id))
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
    std::map<std::string, unsigned> onBackendServer;
    unsigned maxOnBackendServer = 0;
    unsigned steps = 0;
    std::uint64_t revision = 0;
};

const std::vector<std::string> kIds{ "a", "b", "c", "d" };

struct OneFailureDomain : SlotWorld
{
    explicit OneFailureDomain(unsigned seed = 1, unsigned backendServers = 4)
        : SlotWorld(seed)
    {
        addBackendServers("p", backendServers, 2);
        addFailureDomain("p", kIds);
    }
};

struct TwoFailureDomains : SlotWorld
{
    explicit TwoFailureDomains(unsigned seed = 1)
        : SlotWorld(seed)
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

// Guards against more requests on a backend server than its slots, lost answers and double answers
// while messages are late and repeated.
BOOST_AUTO_TEST_CASE(request_delaysAndDuplicates_answeredOnceWithinSlots)
{
    for (unsigned seed = 1; seed <= 20; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            OneFailureDomain world(seed, seed % 2 == 0 ? 4 : 40);
            world.network.faults = { .duplicates = 0.3, .maxDelay = milliseconds(30) };
            world.run(seconds(8), [&] { world.load(60); });
            world.run(seconds(25));
            world.requireAllAnsweredOnce();
            BOOST_REQUIRE_LE(world.maxOnBackendServer, 2U);
            // The small pool is overloaded, so its backend servers must have been full.
            BOOST_REQUIRE(seed % 2 == 1 || world.maxOnBackendServer == 2U);
        }
    }
}

// Guards against requests without an answer and slots that stay taken after lost messages.
BOOST_AUTO_TEST_CASE(request_tenthOfMessagesLost_answeredOnceAndSlotsComeBack)
{
    for (unsigned seed = 1; seed <= 20; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            OneFailureDomain world(seed);
            world.network.faults = { .loss = 0.1, .duplicates = 0.1 };
            world.run(seconds(8), [&] { world.load(30); });
            world.run(seconds(30));
            world.requireAllAnsweredOnce();
        }
    }
}

// Guards against requests that hang at a frozen owner, and against late grants that keep slots or
// answer a second time.
BOOST_AUTO_TEST_CASE(request_ownersFreezeAndWake_answeredOnceAndSlotsComeBack)
{
    for (unsigned seed = 1; seed <= 20; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            OneFailureDomain world(seed);
            for (int i = 0; i < 4; ++i) {
                const std::string &frozen = kIds[world.network.below(4)];
                world.run(milliseconds(500), [&] { world.load(20); });
                world.network.freeze(frozen);
                world.run(milliseconds(100 + world.network.below(4000)), [&] { world.load(20); });
                world.network.wake(frozen);
            }
            world.run(seconds(30));
            world.requireAllAnsweredOnce();
            BOOST_REQUIRE_LE(world.maxOnBackendServer, 8U);
        }
    }
}

// Guards against waiting for a silent owner longer than two acknowledgement timeouts.
BOOST_AUTO_TEST_CASE(request_ownerSilent_nextDaemonInOrderServes)
{
    OneFailureDomain world;
    Node &owner = world.ownerNode();
    world.network.freeze(owner.id);
    const std::string id = world.request(world.otherThan(owner), seconds(1));
    world.run(2 * kAckTimeout + milliseconds(120));
    BOOST_TEST(world.jobs.at(id).slot.has_value());
    BOOST_TEST(world.jobs.at(id).slot->owner != owner.id);
}

// Guards against a late grant that keeps its slot when the cancel was lost.
BOOST_AUTO_TEST_CASE(request_lateGrantOfOldOwner_isReleased)
{
    OneFailureDomain world;
    Node &owner = world.ownerNode();
    world.network.freeze(owner.id);
    world.request(world.otherThan(owner), seconds(10));
    world.run(2 * kAckTimeout - milliseconds(20));
    world.network.faults.loss = 1;
    world.run(milliseconds(100));
    world.network.faults.loss = 0;
    world.network.wake(owner.id);
    world.run(milliseconds(100));
    const CellLoad load = owner.owner->loads().at(0);
    BOOST_TEST(load.freeSlots == load.totalSlots);
}

// Guards against unbounded overload of backend servers while two daemons both act as the owner.
BOOST_AUTO_TEST_CASE(request_twoOwnersAtOnce_atMostTwiceTheSlotsAndAllAnswered)
{
    for (unsigned seed = 1; seed <= 10; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            OneFailureDomain world(seed);
            const std::string owner = world.ownerNode().id;
            std::vector<std::string> others = kIds;
            std::erase(others, owner);
            for (const std::string &id : { others[0], others[1] })
                world.nodes.at(id).views.set(readyView(id, "p", others));
            world.run(seconds(6), [&] { world.load(60); });
            BOOST_REQUIRE_LE(world.maxOnBackendServer, 4U);
            for (const std::string &id : kIds)
                world.nodes.at(id).views.set(readyView(id, "p", kIds));
            world.run(seconds(30));
            world.requireAllAnsweredOnce();
        }
    }
}

// Guards against a new owner that does not know the slots in use or the waiting requests.
BOOST_AUTO_TEST_CASE(view_ownerLeaves_newOwnerLearnsSlotsAndServesWaiting)
{
    OneFailureDomain world;
    Node &owner = world.ownerNode();
    Node &front = world.otherThan(owner);
    std::vector<std::string> ids;
    ids.reserve(10);
    for (int i = 0; i < 10; ++i)
        ids.push_back(world.request(front, seconds(3)));
    world.run(milliseconds(100));
    world.network.remove(owner.id);
    std::vector<std::string> rest = kIds;
    std::erase(rest, owner.id);
    for (const std::string &id : rest)
        world.nodes.at(id).views.set(readyView(id, "p", rest));
    world.run(milliseconds(200));
    Node &next = world.nodes.at(readyView("a", "p", rest).ownerOf(cellKey("s", "p", 0)));
    const CellLoad load = next.owner->loads().at(0);
    BOOST_TEST(load.freeSlots == 0U);
    BOOST_TEST(std::accumulate(load.waitingByTier.begin(), load.waitingByTier.end(), 0U) == 2U);
    world.run(seconds(10));
    BOOST_TEST(world.maxOnBackendServer == 2U);
    for (const std::string &id : ids)
        BOOST_TEST((world.jobs.at(id).answers == 1U && !world.jobs.at(id).refusal));
}

// Guards against slots that a crashed front keeps.
BOOST_AUTO_TEST_CASE(view_frontDies_itsSlotsServeOthers)
{
    OneFailureDomain world;
    Node &owner = world.ownerNode();
    Node &front = world.otherThan(owner);
    for (int i = 0; i < 8; ++i)
        world.request(front, seconds(100));
    world.run(seconds(3));
    world.network.remove(front.id);
    const std::string waiting = world.request(owner, seconds(1));
    world.run(seconds(1));
    BOOST_TEST(!world.jobs.at(waiting).slot.has_value());
    MemberView view = readyView(owner.id, "p", kIds);
    for (Member &member : view.members)
        member.status = member.id == front.id ? MemberStatus::Dead : member.status;
    owner.views.set(view);
    world.run(milliseconds(200));
    BOOST_TEST(world.jobs.at(waiting).slot.has_value());
}

// Guards against a cancelled request that takes a slot or is answered.
BOOST_AUTO_TEST_CASE(cancel_grantOnItsWay_slotComesBackWithoutAnswer)
{
    OneFailureDomain world;
    Node &owner = world.ownerNode();
    // Each message takes one millisecond, so the grant has just been sent.
    world.network.faults.maxDelay = milliseconds(1);
    const std::string id = world.request(world.otherThan(owner), seconds(1));
    world.run(milliseconds(1));
    world.cancel(id);
    BOOST_TEST(world.jobs.at(id).cancelled);
    world.run(milliseconds(200));
    world.requireAllAnsweredOnce();
}

// Guards against requests that wait past the caller's deadline.
BOOST_AUTO_TEST_CASE(tick_deadlinePasses_refusedAsDidNotRun)
{
    OneFailureDomain world;
    Node &front = world.otherThan(world.ownerNode());
    for (int i = 0; i < 8; ++i)
        world.request(front, seconds(5));
    const std::string id = world.request(front, seconds(1), milliseconds(700));
    world.run(milliseconds(760));
    BOOST_TEST((world.jobs.at(id).refusal == RefusalCode::DeadlineExceeded));
    BOOST_TEST(world.jobs.at(id).answers == 1U);
}

// Guards against a refusal in one cell while another cell has room.
BOOST_AUTO_TEST_CASE(request_severalCells_allCellsAreFilledBeforeARefusal)
{
    OneFailureDomain world(1, 40);
    BOOST_TEST(cellCount(40) == 4U);
    Node &front = world.nodes.at("a");
    for (int i = 0; i < 80 + 4 * (12 + 4); ++i)
        world.request(front, seconds(100), seconds(200));
    world.run(seconds(2));
    unsigned running = 0;
    for (const auto &entry : world.onBackendServer)
        running += entry.second;
    BOOST_TEST(running == 80U);
}

// Guards against a refusal while another failure domain has backend servers, and against slots that
// a failure domain loses to fronts of other failure domains.
BOOST_AUTO_TEST_CASE(request_ownFailureDomainHasNoBackendServer_otherFailureDomainServes)
{
    for (unsigned seed = 1; seed <= 10; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            TwoFailureDomains world(seed);
            world.network.faults = { .loss = 0.05,
                                     .duplicates = 0.1,
                                     .maxDelay = milliseconds(25) };
            world.run(seconds(8), [&] { world.load(10); });
            world.run(seconds(40));
            world.requireAllAnsweredOnce();
            const auto served = std::count_if(
                    world.jobs.begin(), world.jobs.end(), [](const auto &entry) {
                        return entry.second.answers && !entry.second.refusal;
                    });
            BOOST_REQUIRE_GT(served, 0);
        }
    }
}

// Guards against slots that a dead front of another failure domain keeps.
BOOST_AUTO_TEST_CASE(gateway_foreignFrontDies_slotsComeBack)
{
    TwoFailureDomains world;
    for (int i = 0; i < 4; ++i)
        world.request(world.nodes.at("a"), seconds(100));
    world.run(seconds(5));
    BOOST_TEST(world.onBackendServer.size() == 2U);
    world.network.remove("a");
    world.run(kSlotLease + seconds(3));
    for (const char *id : { "x", "y" })
        BOOST_TEST(world.nodes.at(id).client->heldCount() == 0U);
    const std::string next = world.request(world.nodes.at("x"), seconds(1));
    world.run(milliseconds(100));
    BOOST_TEST(world.jobs.at(next).slot.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn
