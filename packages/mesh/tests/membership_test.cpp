#include "auburn/mesh/membership.h"
#include "auburn/mesh/zmqbus.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <functional>
#include <thread>

namespace auburn {

namespace {

using namespace std::chrono_literals;

bool waitFor(const std::function<bool()> &condition)
{
    const auto end = std::chrono::steady_clock::now() + 30s;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(5ms);
    }
    return true;
}

// One daemon's bus and membership, with short periods.
class Daemon
{
public:
    Daemon(const std::string &id, const CurveKeyPair &keys, const std::string &seed)
        : bus(ZmqBus::make({ .daemonId = id, .endpoint = "tcp://127.0.0.1:0", .keys = keys }))
    {
        BOOST_REQUIRE(bus->start());
        const std::string endpoint = bus->endpoint();
        bus->stop();
        bus = ZmqBus::make({ .daemonId = id, .endpoint = endpoint, .keys = keys });
        GossipOptions options{
            .selfId = id, .failureDomain = "p", .region = "r", .endpoint = endpoint
        };
        options.roundPeriod = 50ms;
        options.seedPeriod = 200ms;
        options.failureTimeout = 1000ms;
        if (!seed.empty())
            options.seeds = { seed };
        membership = Membership::make(options, *bus, *bus);
        membership->onHigherRevision([this](const HigherRevision &higher) {
            membership->setConfigRevision(higher.revision);
        });
        membership->onViewChange(
                [this](const std::shared_ptr<const MemberView> &) { ++viewChanges; });
        BOOST_REQUIRE(bus->start());
        membership->start();
        membership->setStatus(MemberStatus::Ready);
    }

    ~Daemon()
    {
        membership->stop();
        bus->stop();
    }

    unsigned count(MemberStatus status) const
    {
        const auto view = membership->view();
        return static_cast<unsigned>(
                std::count_if(view->members.begin(), view->members.end(),
                              [status](const Member &member) { return member.status == status; }));
    }

    std::unique_ptr<ZmqBus> bus;
    std::unique_ptr<Membership> membership;
    std::atomic<unsigned> viewChanges{ 0 };
};

} // namespace

BOOST_AUTO_TEST_SUITE(membership)

// Guards against wiring faults between core, bus and callbacks: endpoints that never reach the bus,
// callbacks that deadlock, news that only the next round sends.
BOOST_AUTO_TEST_CASE(threeDaemons_realBuses_shareEverything)
{
    const CurveKeyPair keys = makeCurveKeyPair().value();
    Daemon a("a", keys, "");
    Daemon b("b", keys, a.bus->endpoint());
    auto c = std::make_unique<Daemon>("c", keys, a.bus->endpoint());
    BOOST_REQUIRE(waitFor([&] {
        return a.count(MemberStatus::Ready) == 3 && b.count(MemberStatus::Ready) == 3
               && c->count(MemberStatus::Ready) == 3;
    }));
    BOOST_TEST(a.viewChanges > 0U);
    BOOST_TEST(a.membership->isRelay() + b.membership->isRelay() + c->membership->isRelay() == 2);
    a.membership->markLeaving("server-1", true);
    a.membership->addCrash(5);
    b.membership->setConfigRevision(9);
    c->membership->setCellLoads({ CellLoad{ .service = "s", .cell = 1, .freeSlots = 4 } });
    BOOST_TEST(waitFor([&] {
        const auto view = b.membership->view();
        return view->leavingBackendServers.contains("server-1") && b.membership->crashCount(5) == 1
               && view->cells.size() == 1 && view->cells[0].freeSlots == 4
               && std::all_of(view->members.begin(), view->members.end(),
                              [](const Member &member) { return member.configRevision == 9; });
    }));
    c->membership->setStatus(MemberStatus::Left);
    BOOST_TEST(waitFor(
            [&] { return a.count(MemberStatus::Left) == 1 && b.count(MemberStatus::Left) == 1; }));
    c = nullptr;
    BOOST_TEST(a.count(MemberStatus::Ready) == 2);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn
