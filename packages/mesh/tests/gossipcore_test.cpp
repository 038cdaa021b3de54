#include "gossipsim.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>

namespace auburn {

// A named namespace, because the data-driven test cases are templates with external linkage.
namespace gossiptest {

using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

// Returns the status of a member in the view, or Left if the view does not contain it.
MemberStatus statusOf(const MemberView &view, const std::string &id)
{
    for (const Member &member : view.members) {
        if (member.id == id)
            return member.status;
    }
    return MemberStatus::Left;
}

// TestNetwork is a simulated network with helpers for its setup and checks. The first member of
// each failure domain is the seed of the others.
class TestNetwork
{
public:
    explicit TestNetwork(std::uint64_t seed)
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
            // Clock skew of up to 2.8 s, as with poorly synchronised clocks.
            sim.add(std::move(options), std::chrono::milliseconds(700 * (i % 5)));
            if (i == 0)
                seeds.push_back(sim.node(first).endpoint);
            sim.apply(sim.size() - 1, [](GossipCore &core, GossipTime now) {
                core.setStatus(MemberStatus::Ready, now);
            });
        }
    }

    bool allMembersSee(const std::string &id, MemberStatus status)
    {
        for (std::size_t i = 0; i < sim.size(); ++i) {
            const GossipSim::Node &node = sim.node(i);
            if (node.running && !node.paused && node.id != id
                && statusOf(*sim.view(i), id) != status)
                return false;
        }
        return true;
    }

    // Returns true if every running member sees exactly the running members of its failure domain
    // as ready.
    bool isConverged()
    {
        std::map<std::string, std::set<std::string>> running;
        for (std::size_t i = 0; i < sim.size(); ++i) {
            if (sim.node(i).running && !sim.node(i).paused)
                running[sim.node(i).options.failureDomain].insert(sim.node(i).id);
        }
        for (std::size_t i = 0; i < sim.size(); ++i) {
            if (!sim.node(i).running || sim.node(i).paused)
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

    // Runs for the duration and checks convergence every 100 ms. Returns the time of the first
    // divergence, if any.
    std::optional<std::chrono::milliseconds> firstDivergence(std::chrono::milliseconds duration)
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

    bool allMembersKnowLeaving(const std::string &backendServer)
    {
        for (std::size_t i = 0; i < sim.size(); ++i) {
            if (sim.node(i).running && !sim.node(i).paused
                && !sim.view(i)->leavingBackendServers.contains(backendServer))
                return false;
        }
        return true;
    }

    std::vector<std::size_t> relays()
    {
        std::vector<std::size_t> result;
        for (std::size_t i = 0; i < sim.size(); ++i) {
            if (sim.node(i).running && !sim.node(i).paused && sim.node(i).core->isRelay())
                result.push_back(i);
        }
        return result;
    }

    GossipSim sim;
};

} // namespace gossiptest

using namespace gossiptest;

BOOST_AUTO_TEST_SUITE(gossipcore)

// Guards against members that stay unknown or are wrongly declared dead when messages are lost.
BOOST_DATA_TEST_CASE(failureDomain_messageLoss_convergesAndStaysConverged, data::xrange(1, 13),
                     seed)
{
    TestNetwork network(static_cast<std::uint64_t>(seed));
    network.sim.loss = 0.1;
    network.addFailureDomain("p", "r", 30);
    BOOST_REQUIRE(network.sim.runUntil([&] { return network.isConverged(); }, 20s));
    const auto divergence = network.firstDivergence(60s);
    BOOST_TEST(!divergence.has_value());
}

// Guards against live members that are declared dead because a link fails in one direction or
// between two members only.
BOOST_DATA_TEST_CASE(failureDomain_oneWayLinkFailures_noMemberIsDeclaredDead, data::xrange(1, 7),
                     seed)
{
    TestNetwork network(static_cast<std::uint64_t>(seed));
    network.addFailureDomain("p", "r", 24);
    BOOST_REQUIRE(network.sim.runUntil([&] { return network.isConverged(); }, 20s));
    // A quarter of all directed links is down.
    network.sim.isLinkDown = [seed](std::size_t from, std::size_t to) {
        return (from * 31 + to * 17 + static_cast<std::size_t>(seed)) % 4 == 0;
    };
    const auto divergence = network.firstDivergence(60s);
    BOOST_TEST(!divergence.has_value());
}

// Guards against a member that can only send or only receive and thereby makes other members change
// their incarnation.
BOOST_AUTO_TEST_CASE(member_oneWayPartitioned_othersKeepTheirIncarnations)
{
    TestNetwork network(5);
    network.addFailureDomain("p", "r", 12);
    BOOST_REQUIRE(network.sim.runUntil([&] { return network.isConverged(); }, 20s));
    std::vector<std::uint64_t> incarnations;
    for (std::size_t i = 0; i < 12; ++i)
        incarnations.push_back(network.sim.node(i).core->incarnation());
    network.sim.isLinkDown = [](std::size_t, std::size_t to) { return to == 4; };
    network.sim.run(30s);
    BOOST_TEST(network.allMembersSee("p-4", MemberStatus::Ready));
    network.sim.isLinkDown = [](std::size_t from, std::size_t) { return from == 4; };
    network.sim.run(30s);
    BOOST_TEST(network.allMembersSee("p-4", MemberStatus::Dead));
    for (std::size_t i = 0; i < 12; ++i) {
        if (i != 4)
            BOOST_TEST(network.sim.node(i).core->incarnation() == incarnations[i]);
    }
    network.sim.isLinkDown = nullptr;
    BOOST_TEST(network.sim.runUntil([&] { return network.isConverged(); }, 20s));
}

// Guards against a paused member that keeps its ownership, or that resumes with stale state and its
// old incarnation.
BOOST_DATA_TEST_CASE(member_pausedAndResumed_rejoinsWithNewIncarnation, data::xrange(1, 9), seed)
{
    TestNetwork network(static_cast<std::uint64_t>(seed));
    network.sim.loss = 0.02;
    network.addFailureDomain("p", "r", 20);
    BOOST_REQUIRE(network.sim.runUntil([&] { return network.isConverged(); }, 20s));
    const std::uint64_t incarnation = network.sim.node(3).core->incarnation();
    network.sim.pause(3);
    BOOST_REQUIRE(network.sim.runUntil(
            [&] { return network.allMembersSee("p-3", MemberStatus::Dead); }, 10s));
    // With every second random seed, the pause is longer than the retention of dead members.
    network.sim.run(seed % 2 == 0 ? 100s : 10s);
    network.sim.kill(7);
    network.sim.run(20s);
    network.sim.resume(3);
    BOOST_TEST(network.sim.runUntil([&] { return network.isConverged(); }, 20s));
    BOOST_TEST(network.sim.node(3).core->incarnation() > incarnation);
    BOOST_TEST(!network.firstDivergence(20s).has_value());
}

// Guards against failure detection that takes longer than the failure timeout plus the propagation
// of the last heartbeats, and against a live member that is declared dead because it is suspected.
BOOST_AUTO_TEST_CASE(member_killedAndSuspected_isDeclaredDeadEarlier)
{
    TestNetwork network(9);
    network.addFailureDomain("p", "r", 40);
    BOOST_REQUIRE(network.sim.runUntil([&] { return network.isConverged(); }, 20s));
    network.sim.apply(1, [](GossipCore &core, GossipTime now) { core.suspect("p-20", now); });
    BOOST_TEST(!network.firstDivergence(15s).has_value());
    network.sim.kill(20);
    // Until the last heartbeats have propagated, they refute the suspicion.
    network.sim.run(2s);
    network.sim.apply(1, [](GossipCore &core, GossipTime now) { core.suspect("p-20", now); });
    BOOST_TEST(
            network.sim.runUntil([&] { return network.allMembersSee("p-20", MemberStatus::Dead); },
                                 kFailureTimeout - 2s));
    network.sim.kill(21);
    BOOST_TEST(
            network.sim.runUntil([&] { return network.allMembersSee("p-21", MemberStatus::Dead); },
                                 kFailureTimeout + 4s));
}

// Guards against rows of the old incarnation that hide the restart of a member.
BOOST_AUTO_TEST_CASE(member_restarts_higherIncarnationReplacesOld)
{
    TestNetwork network(10);
    network.addFailureDomain("p", "r", 20);
    BOOST_REQUIRE(network.sim.runUntil([&] { return network.isConverged(); }, 20s));
    network.sim.kill(6);
    network.sim.run(1s);
    network.sim.restart(6);
    const std::uint64_t incarnation = network.sim.node(6).core->incarnation();
    const auto allSeeNewIncarnation = [&] {
        for (std::size_t i = 0; i < network.sim.size(); ++i) {
            for (const Member &member : network.sim.view(i)->members) {
                if (member.id == "p-6" && member.incarnation != incarnation)
                    return false;
            }
        }
        return network.allMembersSee("p-6", MemberStatus::Starting);
    };
    BOOST_TEST(network.sim.runUntil(allSeeNewIncarnation, 10s));
}

// Guards against a shutdown that other daemons detect only by the failure timeout.
BOOST_AUTO_TEST_CASE(member_drainsAndLeaves_isPropagatedAndRemoved)
{
    TestNetwork network(11);
    network.addFailureDomain("p", "r", 40);
    BOOST_REQUIRE(network.sim.runUntil([&] { return network.isConverged(); }, 20s));
    const auto change = [&](MemberStatus status) {
        network.sim.apply(
                8, [status](GossipCore &core, GossipTime now) { core.setStatus(status, now); });
    };
    change(MemberStatus::Draining);
    BOOST_TEST(network.sim.runUntil(
            [&] { return network.allMembersSee("p-8", MemberStatus::Draining); }, 2s));
    change(MemberStatus::Left);
    network.sim.kill(8);
    BOOST_TEST(network.sim.runUntil(
            [&] { return network.allMembersSee("p-8", MemberStatus::Left); }, 2s));
    network.sim.run(90s);
    for (std::size_t i = 0; i < 40; ++i) {
        if (i != 8)
            BOOST_TEST(network.sim.node(i).core->memberCount() == 39U);
    }
}

// Guards against tables that grow with the number of replaced daemons.
BOOST_AUTO_TEST_CASE(failureDomain_manyReplacements_tableStaysBounded)
{
    TestNetwork network(12);
    network.addFailureDomain("p", "r", 10);
    std::size_t oldest = 1;
    for (int i = 0; i < 100; ++i) {
        network.sim.kill(oldest++);
        network.sim.add(GossipOptions{ .selfId = "new-" + std::to_string(i),
                                       .failureDomain = "p",
                                       .region = "r",
                                       .seeds = { network.sim.node(0).endpoint } });
        network.sim.run(10s);
    }
    // 10 live members, and those replaced within the retention time of 60 s.
    BOOST_TEST(network.sim.node(0).core->memberCount() <= 10U + 8U);
    network.sim.run(70s);
    BOOST_TEST(network.sim.node(0).core->memberCount() == 10U);
}

// Guards against a leaving backend server that receives new requests for more than 3 s (invariant
// 6) when at most half of the members ever read the platform list and messages are lost.
BOOST_DATA_TEST_CASE(leavingMark_listReadByOneMember_isKnownEverywhereWithin3s, data::xrange(1, 13),
                     seed)
{
    TestNetwork network(static_cast<std::uint64_t>(seed));
    network.sim.loss = 0.1;
    network.addFailureDomain("p", "r", 79);
    BOOST_REQUIRE(network.sim.runUntil([&] { return network.isConverged(); }, 30s));
    std::vector<ListedMember> list{ { .name = "server-1",
                                      .kind = ListedKind::BackendServer,
                                      .failureDomain = "p",
                                      .leaving = true } };
    // Only one of the members that read the list sees the change in time.
    network.sim.apply(2 * static_cast<std::size_t>(seed),
                      [&](GossipCore &core, GossipTime now) { core.setPlatformList(list, now); });
    BOOST_TEST(network.sim.runUntil([&] { return network.allMembersKnowLeaving("server-1"); }, 3s));
    // A list that may be stale does not clear the mark. The same list after the maximum staleness
    // does.
    list[0].leaving = false;
    const auto applyList = [&](std::size_t index) {
        network.sim.apply(
                index, [&](GossipCore &core, GossipTime now) { core.setPlatformList(list, now); });
    };
    applyList(0);
    network.sim.run(1s);
    BOOST_TEST(network.allMembersKnowLeaving("server-1"));
    network.sim.run(40s);
    applyList(0);
    BOOST_TEST(network.sim.runUntil(
            [&] {
                for (std::size_t i = 0; i < network.sim.size(); ++i) {
                    if (!network.sim.view(i)->leavingBackendServers.empty())
                        return false;
                }
                return true;
            },
            5s));
}

// Guards against marks that never reach a member that joined, or was partitioned, after they were
// set, and against marks that never expire.
BOOST_AUTO_TEST_CASE(marks_lateJoiner_receivesThemUntilTheyExpire)
{
    TestNetwork network(14);
    network.addFailureDomain("p", "r", 8);
    BOOST_REQUIRE(network.sim.runUntil([&] { return network.isConverged(); }, 20s));
    network.markLeaving(2, "server-1");
    const auto crash = [](GossipCore &core, GossipTime now) { core.addCrash(77, now); };
    // Two daemons record one crash each at the same time.
    network.sim.apply(1, crash);
    network.sim.apply(2, crash);
    network.sim.run(120s);
    network.sim.add(GossipOptions{ .selfId = "late",
                                   .failureDomain = "p",
                                   .region = "r",
                                   .seeds = { network.sim.node(0).endpoint } });
    const GossipSim::Node &lateJoiner = network.sim.node(8);
    BOOST_TEST(
            network.sim.runUntil([&] { return network.allMembersKnowLeaving("server-1"); }, 10s));
    BOOST_TEST(lateJoiner.core->crashCount(77, network.sim.timeOf(lateJoiner)) == 2U);
    for (std::uint64_t i = 0; i < 1000; ++i) {
        network.sim.apply(3,
                          [i](GossipCore &core, GossipTime now) { core.addCrash(1000 + i, now); });
    }
    network.sim.run(5s);
    BOOST_TEST(lateJoiner.core->crashMarkCount() <= lateJoiner.options.maxCrashMarks);
    network.sim.run(700s);
    BOOST_TEST(lateJoiner.core->crashMarkCount() == 0U);
    BOOST_TEST(lateJoiner.core->leavingMarkCount() == 0U);
}

// Guards against a daemon that cannot join if the platform list is unavailable or a seed is dead.
BOOST_AUTO_TEST_CASE(join_platformListUnavailable_oneLiveSeedSuffices)
{
    TestNetwork network(15);
    network.addFailureDomain("p", "r", 6);
    BOOST_REQUIRE(network.sim.runUntil([&] { return network.isConverged(); }, 20s));
    network.sim.kill(0);
    network.sim.run(10s);
    network.sim.add(GossipOptions{ .selfId = "new",
                                   .failureDomain = "p",
                                   .region = "r",
                                   .seeds = { "tcp://10.9.9.9:7700", network.sim.node(0).endpoint,
                                              network.sim.node(4).endpoint } });
    network.sim.apply(
            6, [](GossipCore &core, GossipTime now) { core.setStatus(MemberStatus::Ready, now); });
    BOOST_TEST(network.sim.runUntil([&] { return network.isConverged(); }, 20s));
}

// Guards against two halves of a failure domain that stay separate after a partition has healed.
BOOST_AUTO_TEST_CASE(failureDomain_partitionedForAnHour_reconverges)
{
    TestNetwork network(16);
    network.addFailureDomain("p", "r", 12);
    BOOST_REQUIRE(network.sim.runUntil([&] { return network.isConverged(); }, 20s));
    network.sim.isLinkDown = [](std::size_t from, std::size_t to) {
        return (from < 6) != (to < 6);
    };
    network.sim.run(3600s);
    BOOST_TEST(!network.isConverged());
    network.sim.isLinkDown = nullptr;
    BOOST_TEST(network.sim.runUntil([&] { return network.isConverged(); }, 30s));
}

// Guards against failure domains whose views of each other are lost when the relays change, and
// against a partition between regions that is not detected or from which the views do not recover.
BOOST_AUTO_TEST_CASE(failureDomains_relaysKilledAndRegionsPartitioned_viewsConverge)
{
    TestNetwork network(17);
    network.addFailureDomain("p0", "r0", 6);
    const std::vector<std::string> seeds{ network.sim.node(0).endpoint };
    network.addFailureDomain("p1", "r0", 6, seeds);
    network.addFailureDomain("p2", "r1", 6, seeds);
    const auto allViewsMatch = [&](bool expected) {
        for (std::size_t i = 0; i < network.sim.size(); ++i) {
            if (!network.sim.node(i).running)
                continue;
            const auto view = network.sim.view(i);
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
    BOOST_REQUIRE(network.sim.runUntil([&] { return allViewsMatch(true); }, 60s));
    BOOST_TEST(network.relays().size() == 6U);
    for (const std::size_t relay : network.relays())
        network.sim.kill(relay);
    network.sim.run(30s);
    BOOST_TEST(network.relays().size() == 6U);
    BOOST_TEST(network.sim.runUntil([&] { return allViewsMatch(true); }, 30s));
    network.sim.isLinkDown = [&](std::size_t from, std::size_t to) {
        return (from < 12) != (to < 12);
    };
    BOOST_TEST(network.sim.runUntil([&] { return allViewsMatch(false); }, 60s));
    network.sim.run(600s);
    network.sim.isLinkDown = nullptr;
    BOOST_TEST(network.sim.runUntil([&] { return allViewsMatch(true); }, 60s));
}

// Guards against a configuration revision that does not reach all failure domains within 20 s
// (invariant 8) when only one daemon has it.
BOOST_DATA_TEST_CASE(revision_knownToOneDaemon_reachesAllFailureDomains, data::xrange(1, 4), seed)
{
    TestNetwork network(static_cast<std::uint64_t>(seed));
    network.sim.loss = 0.05;
    network.addFailureDomain("p0", "r0", 20);
    const std::vector<std::string> seeds{ network.sim.node(0).endpoint };
    network.addFailureDomain("p1", "r1", 20, seeds);
    network.addFailureDomain("p2", "r2", 20, seeds);
    network.sim.run(30s);
    network.sim.apply(5, [](GossipCore &core, GossipTime now) { core.setConfigRevision(42, now); });
    const auto allHaveRevision = [&] {
        for (std::size_t i = 0; i < network.sim.size(); ++i) {
            for (const Member &member : network.sim.view(i)->members) {
                if (member.id == network.sim.node(i).id && member.configRevision != 42)
                    return false;
            }
        }
        return true;
    };
    BOOST_TEST(network.sim.runUntil(allHaveRevision, 20s));
}

// Guards against malformed and oversized input, and against sent messages above the size limit.
BOOST_AUTO_TEST_CASE(receive_malformedRows_areIgnoredAndMessageSizeStaysLimited)
{
    TestNetwork network(18);
    std::size_t largest = 0;
    network.sim.onSend = [&](std::size_t, const proto::Envelope &envelope) {
        largest = std::max(largest, envelope.ByteSizeLong());
    };
    network.addFailureDomain("p", "r", 5);
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
    network.sim.apply(0,
                      [&](GossipCore &core, GossipTime now) { core.receive("x", envelope, now); });
    BOOST_TEST(network.sim.node(0).core->memberCount() <= GossipOptions().maxMembers);
    network.sim.run(100s);
    BOOST_TEST(network.isConverged());
    BOOST_TEST(network.sim.node(0).core->memberCount() == 5U);
    BOOST_TEST(largest <= GossipOptions().maxMessageBytes);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn
