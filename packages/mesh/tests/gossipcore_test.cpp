#include "gossipsim.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>

namespace auburn {

// Not unnamed: the data-driven test cases are templates with external linkage.
namespace gossiptest {

using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

MemberStatus statusOf(const MemberView &view, const std::string &id)
{
    for (const Member &member : view.members) {
        if (member.id == id)
            return member.status;
    }
    return MemberStatus::Left;
}

// A simulated network with helpers; seeds point at the first member of each failure domain.
class Net
{
public:
    explicit Net(std::uint64_t seed)
        : sim(seed)
    {}

    void addFailureDomain(const std::string &failureDomain, const std::string &region,
                          unsigned count, std::vector<std::string> seeds = {})
    {
        const std::size_t first = sim.size();
        for (unsigned i = 0; i < count; ++i) {
            GossipOptions options{ .selfId = failureDomain + "-" + std::to_string(i),
                                   .failureDomain = failureDomain,
                                   .region = region,
                                   .seeds = seeds };
            // Skew as large as a badly kept clock has.
            sim.add(std::move(options), std::chrono::milliseconds(700 * (i % 5)));
            if (i == 0)
                seeds.push_back(sim.node(first).endpoint);
            sim.apply(sim.size() - 1, [](GossipCore &core, GossipTime now) {
                core.setStatus(MemberStatus::Ready, now);
            });
        }
    }

    bool everyoneSees(const std::string &id, MemberStatus status)
    {
        for (std::size_t i = 0; i < sim.size(); ++i) {
            const GossipSim::Node &node = sim.node(i);
            if (node.running && !node.frozen && node.id != id
                && statusOf(*sim.view(i), id) != status)
                return false;
        }
        return true;
    }

    // Every running member sees exactly the running members of its failure domain as ready.
    bool isConverged()
    {
        std::map<std::string, std::set<std::string>> running;
        for (std::size_t i = 0; i < sim.size(); ++i) {
            if (sim.node(i).running && !sim.node(i).frozen)
                running[sim.node(i).options.failureDomain].insert(sim.node(i).id);
        }
        for (std::size_t i = 0; i < sim.size(); ++i) {
            if (!sim.node(i).running || sim.node(i).frozen)
                continue;
            std::set<std::string> ready;
            for (const Member &member : sim.view(i)->members) {
                if (member.status == MemberStatus::Ready)
                    ready.insert(member.id);
            }
            if (ready != running[sim.node(i).options.failureDomain])
                return false;
        }
        return true;
    }

    // Runs and checks convergence every 100 ms; the time of the first deviation, if any.
    std::optional<std::chrono::milliseconds> firstDeviation(std::chrono::milliseconds duration)
    {
        const std::chrono::milliseconds end = sim.now() + duration;
        while (sim.now() < end) {
            sim.run(100ms);
            if (!isConverged())
                return sim.now();
        }
        return std::nullopt;
    }

    void markLeaving(std::size_t index, const std::string &backendServer)
    {
        sim.apply(index, [&](GossipCore &core, GossipTime now) {
            core.markLeaving(backendServer, true, now);
        });
    }

    bool everyoneKnowsLeaving(const std::string &backendServer)
    {
        for (std::size_t i = 0; i < sim.size(); ++i) {
            if (sim.node(i).running && !sim.node(i).frozen
                && !sim.view(i)->leavingBackendServers.contains(backendServer))
                return false;
        }
        return true;
    }

    std::vector<std::size_t> relays()
    {
        std::vector<std::size_t> result;
        for (std::size_t i = 0; i < sim.size(); ++i) {
            if (sim.node(i).running && !sim.node(i).frozen && sim.node(i).core->isRelay())
                result.push_back(i);
        }
        return result;
    }

    GossipSim sim;
};

} // namespace gossiptest

using namespace gossiptest;

BOOST_AUTO_TEST_SUITE(gossipcore)

// Guards against members that stay unknown, or are falsely declared dead, when messages are lost.
BOOST_DATA_TEST_CASE(failureDomain_lostMessages_convergesAndStays, data::xrange(1, 13), seed)
{
    Net net(static_cast<std::uint64_t>(seed));
    net.sim.loss = 0.1;
    net.addFailureDomain("p", "r", 30);
    BOOST_REQUIRE(net.sim.runUntil([&] { return net.isConverged(); }, 20s));
    const auto deviation = net.firstDeviation(60s);
    BOOST_TEST(!deviation.has_value());
}

// Guards against failure detection that a cut in one direction, or between two members, triggers.
BOOST_DATA_TEST_CASE(failureDomain_oneWayCuts_nobodyIsDeclaredDead, data::xrange(1, 7), seed)
{
    Net net(static_cast<std::uint64_t>(seed));
    net.addFailureDomain("p", "r", 24);
    BOOST_REQUIRE(net.sim.runUntil([&] { return net.isConverged(); }, 20s));
    // A quarter of all directed links.
    net.sim.isCut = [seed](std::size_t from, std::size_t to) {
        return (from * 31 + to * 17 + static_cast<std::size_t>(seed)) % 4 == 0;
    };
    const auto deviation = net.firstDeviation(60s);
    BOOST_TEST(!deviation.has_value());
}

// Guards against a member whose messages go out but that hears nothing, or the reverse, and that
// disturbs the others.
BOOST_AUTO_TEST_CASE(member_deafOrMute_othersKeepTheirIncarnations)
{
    Net net(5);
    net.addFailureDomain("p", "r", 12);
    BOOST_REQUIRE(net.sim.runUntil([&] { return net.isConverged(); }, 20s));
    std::vector<std::uint64_t> incarnations;
    for (std::size_t i = 0; i < 12; ++i)
        incarnations.push_back(net.sim.node(i).core->incarnation());
    net.sim.isCut = [](std::size_t, std::size_t to) { return to == 4; };
    net.sim.run(30s);
    BOOST_TEST(net.everyoneSees("p-4", MemberStatus::Ready));
    net.sim.isCut = [](std::size_t from, std::size_t) { return from == 4; };
    net.sim.run(30s);
    BOOST_TEST(net.everyoneSees("p-4", MemberStatus::Dead));
    for (std::size_t i = 0; i < 12; ++i) {
        if (i != 4)
            BOOST_TEST(net.sim.node(i).core->incarnation() == incarnations[i]);
    }
    net.sim.isCut = nullptr;
    BOOST_TEST(net.sim.runUntil([&] { return net.isConverged(); }, 20s));
}

// Guards against a frozen member that keeps its ownership, or returns unnoticed with old state.
BOOST_DATA_TEST_CASE(member_frozenAndWoken_rejoinsWithNewIncarnation, data::xrange(1, 9), seed)
{
    Net net(static_cast<std::uint64_t>(seed));
    net.sim.loss = 0.02;
    net.addFailureDomain("p", "r", 20);
    BOOST_REQUIRE(net.sim.runUntil([&] { return net.isConverged(); }, 20s));
    const std::uint64_t incarnation = net.sim.node(3).core->incarnation();
    net.sim.freeze(3);
    BOOST_REQUIRE(
            net.sim.runUntil([&] { return net.everyoneSees("p-3", MemberStatus::Dead); }, 10s));
    // Longer than dead members are remembered, for every second seed.
    net.sim.run(seed % 2 == 0 ? 100s : 10s);
    net.sim.kill(7);
    net.sim.run(20s);
    net.sim.wake(3);
    BOOST_TEST(net.sim.runUntil([&] { return net.isConverged(); }, 20s));
    BOOST_TEST(net.sim.node(3).core->incarnation() > incarnation);
    BOOST_TEST(!net.firstDeviation(20s).has_value());
}

// Guards against detection that takes longer than the failure timeout plus the spread of the last
// heartbeats, and against a suspicion that ends a live member.
BOOST_AUTO_TEST_CASE(member_killedAndSuspected_isDeadSoonerThanUnsuspected)
{
    Net net(9);
    net.addFailureDomain("p", "r", 40);
    BOOST_REQUIRE(net.sim.runUntil([&] { return net.isConverged(); }, 20s));
    net.sim.apply(1, [](GossipCore &core, GossipTime now) { core.suspect("p-20", now); });
    BOOST_TEST(!net.firstDeviation(15s).has_value());
    net.sim.kill(20);
    // Once the last heartbeats have spread; before, they refute the suspicion.
    net.sim.run(2s);
    net.sim.apply(1, [](GossipCore &core, GossipTime now) { core.suspect("p-20", now); });
    BOOST_TEST(net.sim.runUntil([&] { return net.everyoneSees("p-20", MemberStatus::Dead); },
                                kFailureTimeout - 2s));
    net.sim.kill(21);
    BOOST_TEST(net.sim.runUntil([&] { return net.everyoneSees("p-21", MemberStatus::Dead); },
                                kFailureTimeout + 4s));
}

// Guards against a restart that the old incarnation's rows hide.
BOOST_AUTO_TEST_CASE(member_restarts_higherIncarnationReplacesOld)
{
    Net net(10);
    net.addFailureDomain("p", "r", 20);
    BOOST_REQUIRE(net.sim.runUntil([&] { return net.isConverged(); }, 20s));
    net.sim.kill(6);
    net.sim.run(1s);
    net.sim.restart(6);
    const std::uint64_t incarnation = net.sim.node(6).core->incarnation();
    const auto allSeeNew = [&] {
        for (std::size_t i = 0; i < net.sim.size(); ++i) {
            for (const Member &member : net.sim.view(i)->members) {
                if (member.id == "p-6" && member.incarnation != incarnation)
                    return false;
            }
        }
        return net.everyoneSees("p-6", MemberStatus::Starting);
    };
    BOOST_TEST(net.sim.runUntil(allSeeNew, 10s));
}

// Guards against a shutdown that other daemons notice only by the failure timeout.
BOOST_AUTO_TEST_CASE(member_drainsAndLeaves_isSeenAtOnceAndForgotten)
{
    Net net(11);
    net.addFailureDomain("p", "r", 40);
    BOOST_REQUIRE(net.sim.runUntil([&] { return net.isConverged(); }, 20s));
    const auto change = [&](MemberStatus status) {
        net.sim.apply(8,
                      [status](GossipCore &core, GossipTime now) { core.setStatus(status, now); });
    };
    change(MemberStatus::Draining);
    BOOST_TEST(
            net.sim.runUntil([&] { return net.everyoneSees("p-8", MemberStatus::Draining); }, 2s));
    change(MemberStatus::Left);
    net.sim.kill(8);
    BOOST_TEST(net.sim.runUntil([&] { return net.everyoneSees("p-8", MemberStatus::Left); }, 2s));
    net.sim.run(90s);
    for (std::size_t i = 0; i < 40; ++i) {
        if (i != 8)
            BOOST_TEST(net.sim.node(i).core->memberCount() == 39U);
    }
}

// Guards against tables that grow with the number of replaced daemons.
BOOST_AUTO_TEST_CASE(failureDomain_manyReplacements_tableStaysBounded)
{
    Net net(12);
    net.addFailureDomain("p", "r", 10);
    std::size_t oldest = 1;
    for (int i = 0; i < 100; ++i) {
        net.sim.kill(oldest++);
        net.sim.add(GossipOptions{ .selfId = "new-" + std::to_string(i),
                                   .failureDomain = "p",
                                   .region = "r",
                                   .seeds = { net.sim.node(0).endpoint } });
        net.sim.run(10s);
    }
    // 10 live members, and those replaced within the 60 s for which they are remembered.
    BOOST_TEST(net.sim.node(0).core->memberCount() <= 10U + 8U);
    net.sim.run(70s);
    BOOST_TEST(net.sim.node(0).core->memberCount() == 10U);
}

// Guards against a leaving backend server that gets new work for more than 3 s (invariant 6) when
// only half of the members ever hear from the platform list and messages are lost.
BOOST_DATA_TEST_CASE(leavingMark_halfNeverHearFromList_knownEverywhereWithin3s, data::xrange(1, 13),
                     seed)
{
    Net net(static_cast<std::uint64_t>(seed));
    net.sim.loss = 0.1;
    net.addFailureDomain("p", "r", 79);
    BOOST_REQUIRE(net.sim.runUntil([&] { return net.isConverged(); }, 30s));
    std::vector<ListedMember> list{ { .name = "server-1",
                                      .kind = ListedKind::BackendServer,
                                      .failureDomain = "p",
                                      .leaving = true } };
    // Only one of the list's readers hears in time.
    net.sim.apply(2 * static_cast<std::size_t>(seed),
                  [&](GossipCore &core, GossipTime now) { core.setPlatformList(list, now); });
    BOOST_TEST(net.sim.runUntil([&] { return net.everyoneKnowsLeaving("server-1"); }, 3s));
    // A lagging list does not lift the mark; a list that still says so later does.
    list[0].leaving = false;
    const auto readList = [&](std::size_t index) {
        net.sim.apply(index,
                      [&](GossipCore &core, GossipTime now) { core.setPlatformList(list, now); });
    };
    readList(0);
    net.sim.run(1s);
    BOOST_TEST(net.everyoneKnowsLeaving("server-1"));
    net.sim.run(40s);
    readList(0);
    BOOST_TEST(net.sim.runUntil(
            [&] {
                for (std::size_t i = 0; i < net.sim.size(); ++i) {
                    if (!net.sim.view(i)->leavingBackendServers.empty())
                        return false;
                }
                return true;
            },
            5s));
}

// Guards against a member that joined or was cut off after the news and never learns of it, and
// against marks that stay for ever.
BOOST_AUTO_TEST_CASE(marks_lateJoiner_learnsThemUntilTheyExpire)
{
    Net net(14);
    net.addFailureDomain("p", "r", 8);
    BOOST_REQUIRE(net.sim.runUntil([&] { return net.isConverged(); }, 20s));
    net.markLeaving(2, "server-1");
    const auto crash = [](GossipCore &core, GossipTime now) { core.addCrash(77, now); };
    // Two daemons count one crash each, at the same time.
    net.sim.apply(1, crash);
    net.sim.apply(2, crash);
    net.sim.run(120s);
    net.sim.add(GossipOptions{ .selfId = "late",
                               .failureDomain = "p",
                               .region = "r",
                               .seeds = { net.sim.node(0).endpoint } });
    const GossipSim::Node &late = net.sim.node(8);
    BOOST_TEST(net.sim.runUntil([&] { return net.everyoneKnowsLeaving("server-1"); }, 10s));
    BOOST_TEST(late.core->crashCount(77, net.sim.timeOf(late)) == 2U);
    for (std::uint64_t i = 0; i < 1000; ++i) {
        net.sim.apply(3, [i](GossipCore &core, GossipTime now) { core.addCrash(1000 + i, now); });
    }
    net.sim.run(5s);
    BOOST_TEST(late.core->crashMarkCount() <= late.options.maxCrashMarks);
    net.sim.run(700s);
    BOOST_TEST(late.core->crashMarkCount() == 0U);
    BOOST_TEST(late.core->leavingMarkCount() == 0U);
}

// Guards against a daemon that cannot join without the platform list, or with a dead seed.
BOOST_AUTO_TEST_CASE(join_listAway_oneLiveSeedSuffices)
{
    Net net(15);
    net.addFailureDomain("p", "r", 6);
    BOOST_REQUIRE(net.sim.runUntil([&] { return net.isConverged(); }, 20s));
    net.sim.kill(0);
    net.sim.run(10s);
    net.sim.add(GossipOptions{ .selfId = "new",
                               .failureDomain = "p",
                               .region = "r",
                               .seeds = { "tcp://10.9.9.9:7700", net.sim.node(0).endpoint,
                                          net.sim.node(4).endpoint } });
    net.sim.apply(
            6, [](GossipCore &core, GossipTime now) { core.setStatus(MemberStatus::Ready, now); });
    BOOST_TEST(net.sim.runUntil([&] { return net.isConverged(); }, 20s));
}

// Guards against two halves of a failure domain that never find each other again.
BOOST_AUTO_TEST_CASE(failureDomain_splitForAnHour_reunites)
{
    Net net(16);
    net.addFailureDomain("p", "r", 12);
    BOOST_REQUIRE(net.sim.runUntil([&] { return net.isConverged(); }, 20s));
    net.sim.isCut = [](std::size_t from, std::size_t to) { return (from < 6) != (to < 6); };
    net.sim.run(3600s);
    BOOST_TEST(!net.isConverged());
    net.sim.isCut = nullptr;
    BOOST_TEST(net.sim.runUntil([&] { return net.isConverged(); }, 30s));
}

// Guards against failure domains that lose sight of each other when relays change, and against a
// partition between regions that is not noticed or not overcome.
BOOST_AUTO_TEST_CASE(failureDomains_relaysKilledAndRegionsCut_viewsFollow)
{
    Net net(17);
    net.addFailureDomain("p0", "r0", 6);
    const std::vector<std::string> seeds{ net.sim.node(0).endpoint };
    net.addFailureDomain("p1", "r0", 6, seeds);
    net.addFailureDomain("p2", "r1", 6, seeds);
    const auto allReach = [&](bool expected) {
        for (std::size_t i = 0; i < net.sim.size(); ++i) {
            if (!net.sim.node(i).running)
                continue;
            const auto view = net.sim.view(i);
            if (view->failureDomains.size() != 2)
                return false;
            for (const FailureDomainView &failureDomain : view->failureDomains) {
                const bool sameRegion = failureDomain.region == view->region;
                if (failureDomain.reachable != (expected || sameRegion)
                    || failureDomain.contacts.size() != 3)
                    return false;
            }
        }
        return true;
    };
    BOOST_REQUIRE(net.sim.runUntil([&] { return allReach(true); }, 60s));
    BOOST_TEST(net.relays().size() == 6U);
    for (const std::size_t relay : net.relays())
        net.sim.kill(relay);
    net.sim.run(30s);
    BOOST_TEST(net.relays().size() == 6U);
    BOOST_TEST(net.sim.runUntil([&] { return allReach(true); }, 30s));
    net.sim.isCut = [&](std::size_t from, std::size_t to) { return (from < 12) != (to < 12); };
    BOOST_TEST(net.sim.runUntil([&] { return allReach(false); }, 60s));
    net.sim.run(600s);
    net.sim.isCut = nullptr;
    BOOST_TEST(net.sim.runUntil([&] { return allReach(true); }, 60s));
}

// Guards against a configuration revision that does not reach all failure domains within 20 s
// (invariant 8) when only one daemon has it.
BOOST_DATA_TEST_CASE(revision_knownToOneDaemon_reachesAllFailureDomains, data::xrange(1, 4), seed)
{
    Net net(static_cast<std::uint64_t>(seed));
    net.sim.loss = 0.05;
    net.addFailureDomain("p0", "r0", 20);
    const std::vector<std::string> seeds{ net.sim.node(0).endpoint };
    net.addFailureDomain("p1", "r1", 20, seeds);
    net.addFailureDomain("p2", "r2", 20, seeds);
    net.sim.run(30s);
    net.sim.apply(5, [](GossipCore &core, GossipTime now) { core.setConfigRevision(42, now); });
    const auto allHave = [&] {
        for (std::size_t i = 0; i < net.sim.size(); ++i) {
            for (const Member &member : net.sim.view(i)->members) {
                if (member.id == net.sim.node(i).id && member.configRevision != 42)
                    return false;
            }
        }
        return true;
    };
    BOOST_TEST(net.sim.runUntil(allHave, 20s));
}

// Guards against malformed and oversized input, and against messages above the cap.
BOOST_AUTO_TEST_CASE(receive_malformedRows_areIgnoredAndMessagesStayCapped)
{
    Net net(18);
    std::size_t largest = 0;
    net.sim.onSend = [&](std::size_t, const proto::Envelope &envelope) {
        largest = std::max(largest, envelope.ByteSizeLong());
    };
    net.addFailureDomain("p", "r", 5);
    proto::Envelope envelope;
    proto::Gossip &gossip = *envelope.mutable_gossip();
    gossip.set_failure_domain("p");
    gossip.mutable_rows()->add_keys(1);
    gossip.mutable_rows()->add_status(16);
    for (int i = 0; i < 5000; ++i) {
        proto::MemberEntry &entry = *gossip.add_members();
        entry.set_id("bogus-" + std::to_string(i));
        entry.set_incarnation(1);
        entry.set_endpoint("tcp://10.1.1.1:" + std::to_string(i + 1));
    }
    net.sim.apply(0, [&](GossipCore &core, GossipTime now) { core.receive("x", envelope, now); });
    BOOST_TEST(net.sim.node(0).core->memberCount() <= GossipOptions().maxMembers);
    net.sim.run(100s);
    BOOST_TEST(net.isConverged());
    BOOST_TEST(net.sim.node(0).core->memberCount() == 5U);
    BOOST_TEST(largest <= GossipOptions().maxMessageBytes);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn
