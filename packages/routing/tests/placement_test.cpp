#include "auburn/routing/placement.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace auburn::routing {

using std::chrono::milliseconds;

namespace {

struct PlacementFixture
{
    using TimePoint = Placement::TimePoint;

    PlacementFixture()
    {
        const char *domains[] = { "a", "b", "c" };
        for (int i = 0; i < 12; ++i)
            add("engine-" + std::to_string(i), "engines", domains[i % 3], 128);
        for (int i = 0; i < 3; ++i)
            add("desk-" + std::to_string(i), "desk", domains[i], 6);
    }

    void add(const std::string &id, const std::string &service, const std::string &domain,
             unsigned slots)
    {
        directory.update({ .id = id,
                           .service = service,
                           .address = id + ":80",
                           .failureDomain = domain,
                           .slots = slots },
                         ++position);
    }

    static Placement makePlacement()
    {
        return Placement({ .failureDomain = "a",
                           .regions = { { "a", "r1" }, { "b", "r2" }, { "c", "r3" } } });
    }

    // A prompt with a common part, a session part and a part of its own.
    PlacementQuery prompt(std::uint64_t session, std::uint64_t ownTokens = 2000) const
    {
        return { .service = &engines,
                 .prompt = { { .id = 1, .tokens = 2500 },
                             { .id = 100 + session, .tokens = 3800 },
                             { .id = 100000 + ++const_cast<PlacementFixture *>(this)->requests,
                               .tokens = ownTokens } },
                 .urgency = { .onTime = 2, .late = 3 },
                 .timeToTarget = milliseconds(600) };
    }

    PlacementQuery order() const { return { .service = &desk }; }

    PlacementChoice start(Placement &placement, const PlacementQuery &query) const
    {
        const auto choice = placement.choose(directory, query, now);
        BOOST_REQUIRE(choice);
        placement.attemptStarted(*choice, query);
        return *choice;
    }

    const Service engines{ .name = "engines",
                           .engine = EngineModel{ .slots = 128, .cacheTokens = 500000 } };
    const Service desk{ .name = "desk" };
    ServerDirectory directory;
    std::uint64_t position = 0;
    std::uint64_t requests = 0;
    TimePoint now = TimePoint() + std::chrono::hours(1);
    Placement placement = makePlacement();
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(placementOfRequests, PlacementFixture)

// Guards against several daemons sending one session's prompt part to different engines.
BOOST_AUTO_TEST_CASE(session_placedByDaemonsOfAllRegions_usesOneEngine)
{
    for (std::uint64_t session = 0; session < 50; ++session) {
        std::set<std::string> selectedServers;
        for (const char *domain : { "a", "b", "c" }) {
            Placement daemon({ .failureDomain = domain,
                               .regions = { { "a", "r1" }, { "b", "r2" }, { "c", "r3" } } });
            selectedServers.insert(daemon.choose(directory, prompt(session), now)->serverId);
        }
        BOOST_TEST(selectedServers.size() == 1U);
    }
}

// Guards against a burst that fills all queues equally and moves sessions away from their cached
// parts.
BOOST_AUTO_TEST_CASE(session_moderateQueueAtItsEngine_staysThere)
{
    const PlacementChoice primary = start(placement, prompt(1));
    for (int i = 0; i < 6; ++i)
        BOOST_TEST(start(placement, prompt(1)).serverId == primary.serverId);
}

// Guards against sizing the pool of gap-sensitive streams without any server, because all engines
// are about to be taken away.
BOOST_AUTO_TEST_CASE(gapSensitiveStream_allEnginesLeaveSoon_isNotPlaced)
{
    ServerDirectory leaving;
    leaving.update({ .id = "engine-0",
                     .service = "engines",
                     .address = "engine-0:80",
                     .failureDomain = "a",
                     .slots = 128,
                     .leavesAt = now + milliseconds(1000) },
                   1);
    PlacementQuery query = prompt(1);
    query.gapSensitiveStream = true;
    BOOST_TEST(!placement.choose(leaving, query, now).has_value());
    const Explanation explanation = placement.explain(leaving, query, now);
    BOOST_REQUIRE(explanation.servers.size() == 1U);
    BOOST_TEST(explanation.servers[0].excluded == "leaving");
}

// Guards against requests at a server that is taken away before they end.
BOOST_AUTO_TEST_CASE(leavingServer_tooLittleTimeLeft_getsNoRequest)
{
    const auto leaveIn = [this](const std::string &id, const std::string &service,
                                milliseconds timeLeft) {
        directory.update({ .id = id,
                           .service = service,
                           .address = id + ":80",
                           .failureDomain = "a",
                           .slots = 128,
                           .leavesAt = now + timeLeft },
                         ++position);
    };
    leaveIn("desk-0", "desk", milliseconds(400));
    for (int i = 0; i < 30; ++i)
        BOOST_TEST(start(placement, order()).serverId != "desk-0");
    leaveIn("desk-1", "desk", milliseconds(800));
    PlacementQuery query = order();
    query.excluded = { "desk-2" };
    BOOST_TEST(start(placement, query).serverId == "desk-1");
    const PlacementChoice engine = start(placement, prompt(1));
    leaveIn(engine.serverId, "engines", milliseconds(2500));
    BOOST_TEST(start(placement, prompt(1)).serverId != engine.serverId);
}

// Guards against an engine that is assumed to cache nothing after its restart, because a response
// from before the restart arrived first.
BOOST_AUTO_TEST_CASE(removedServer_lateAnswer_cachesAgain)
{
    const PlacementQuery query = prompt(1);
    const PlacementChoice primary = start(placement, query);
    placement.removeServer(primary.serverId);
    placement.recordLoadReport(primary.serverId, { .running = 1, .slots = 128 }, now);
    placement.attemptProgressed(primary, milliseconds(100), now);
    placement.attemptEnded(primary, true, AttemptOutcome::Succeeded, now);
    start(placement, prompt(1));
    BOOST_TEST(placement.choose(directory, prompt(1), now)->uncachedTokens == 2000U);
}

// Guards against requests of one busy session that all queue at one engine without a limit.
BOOST_AUTO_TEST_CASE(session_longQueueAtItsEngine_isSpread)
{
    std::set<std::string> used;
    for (int i = 0; i < 200; ++i)
        used.insert(start(placement, prompt(1)).serverId);
    BOOST_TEST(used.size() > 2U);
}

BOOST_AUTO_TEST_CASE(peerLoads_atTheSessionsEngine_moveTheSession)
{
    const std::string primary = placement.choose(directory, prompt(5), now)->serverId;
    WaitingTokens waiting{};
    waiting[0] = 400000;
    placement.attemptStarted(*placement.choose(directory, prompt(5), now), prompt(5));
    placement.recordPeerLoads("peer", { { primary, { .running = 50, .waitingTokens = waiting } } },
                              now);
    BOOST_TEST(placement.choose(directory, prompt(5), now)->serverId != primary);
    now += std::chrono::seconds(5);
    BOOST_TEST(placement.choose(directory, prompt(5), now)->serverId == primary);
}

// Streams run at all engines of the own failure domain. Guards against a placement that considers
// only the first token of the newcomer: prefilling a long prompt delays every stream that runs
// there, while a short one hardly does.
BOOST_AUTO_TEST_CASE(longPrompt_streamsRunInTheOwnDomain_goesElsewhere)
{
    std::map<std::string, PeerLoad> loads;
    for (int i = 0; i < 12; i += 3)
        loads["engine-" + std::to_string(i)].running = 20;
    PlacementQuery query = prompt(7);
    query.prompt = { { .id = 70, .tokens = 20000 } };
    placement.choose(directory, query, now);
    placement.recordPeerLoads("peer", loads, now);
    BOOST_TEST(!loads.contains(placement.choose(directory, query, now)->serverId));
    query.prompt.back().tokens = 100;
    BOOST_TEST(loads.contains(placement.choose(directory, query, now)->serverId));
}

// A hot key: its requests fill the queue of the engine that has the session's part. Guards against
// the other engines prefilling the part again instead of copying it.
BOOST_AUTO_TEST_CASE(session_longQueueAtItsEngine_othersCopyItsPart)
{
    const PlacementChoice primary = start(placement, prompt(1));
    BOOST_TEST(primary.copySource.empty());
    std::optional<PlacementChoice> moved;
    for (int i = 0; i < 200 && !moved; ++i) {
        const PlacementChoice choice = start(placement, prompt(1));
        if (choice.serverId != primary.serverId)
            moved = choice;
    }
    BOOST_REQUIRE(moved);
    BOOST_TEST(moved->copySource == primary.serverId);
}

// Guards against copies from an engine that has just failed or that the request must not use.
BOOST_AUTO_TEST_CASE(session_itsEngineFailed_isNotCopiedFromIt)
{
    const PlacementQuery query = prompt(1);
    const PlacementChoice primary = start(placement, query);
    PlacementQuery retry = query;
    retry.excluded = { primary.serverId };
    BOOST_TEST(placement.choose(directory, retry, now)->copySource != primary.serverId);
    placement.attemptEnded(primary, false, AttemptOutcome::Failed, now);
    BOOST_TEST(placement.choose(directory, query, now)->copySource != primary.serverId);
}

// Guards against a header for a copy on a request whose prompt shares nothing.
BOOST_AUTO_TEST_CASE(prompt_withoutSharedParts_isNotCopied)
{
    PlacementQuery query = prompt(1);
    query.prompt = { { .id = 9, .tokens = 4000 } };
    start(placement, query);
    BOOST_TEST(placement.choose(directory, query, now)->copySource.empty());
}

// A long prompt of a lower rank is in progress at one of several equal engines. Guards against
// urgent requests that are placed behind it because only requests of their own rank were counted.
BOOST_AUTO_TEST_CASE(urgentRequest_longPromptInProgress_avoidsTheEngine)
{
    PlacementQuery urgent = prompt(7);
    urgent.urgency = { .onTime = 0, .late = 0 };
    urgent.prompt = { { .id = 7000, .tokens = 1500 } };
    const std::string preferred = placement.choose(directory, urgent, now)->serverId;
    std::map<std::string, PeerLoad> loads;
    for (int i = 0; i < 12; ++i)
        loads["engine-" + std::to_string(i)] = { .running = 4, .waiting = 1 };
    loads[preferred].waitingTokens[kLowestUrgency] = 15000;
    placement.recordPeerLoads("peer", loads, now);
    BOOST_TEST(placement.choose(directory, urgent, now)->serverId != preferred);
}

// Guards against a long queue of lower rank that makes urgent requests count as late, although
// they overtake all of it but the prompt in progress.
BOOST_AUTO_TEST_CASE(urgentRequest_longQueueOfLowerRank_isPredictedBehindOnePrompt)
{
    PlacementQuery urgent = prompt(7);
    urgent.urgency = { .onTime = 0, .late = 1 };
    urgent.prompt = { { .id = 7000, .tokens = 1500 } };
    placement.choose(directory, urgent, now);
    std::map<std::string, PeerLoad> loads;
    for (int i = 0; i < 12; ++i) {
        PeerLoad &load = loads["engine-" + std::to_string(i)];
        load = { .running = 20, .waiting = 20 };
        load.waitingTokens[kLowestUrgency] = 100000;
    }
    placement.recordPeerLoads("peer", loads, now);
    const auto choice = placement.choose(directory, urgent, now);
    BOOST_TEST(choice->urgency == 0);
    BOOST_TEST(choice->predicted < milliseconds(300));
}

BOOST_AUTO_TEST_CASE(plainService_ownDomainFree_staysThere)
{
    BOOST_TEST(start(placement, order()).serverId == "desk-0");
}

BOOST_AUTO_TEST_CASE(plainService_ownDomainFull_goesToAnother)
{
    std::set<std::string> used;
    for (int i = 0; i < 30; ++i)
        used.insert(start(placement, order()).serverId);
    BOOST_TEST(used.size() == 3U);
}

BOOST_AUTO_TEST_CASE(server_failed_isAvoidedTemporarily)
{
    const PlacementChoice choice = start(placement, order());
    placement.attemptEnded(choice, false, AttemptOutcome::Failed, now);
    BOOST_TEST(placement.isAvoided(choice.serverId, now));
    BOOST_TEST(placement.choose(directory, order(), now)->serverId != choice.serverId);
    now += std::chrono::seconds(30);
    BOOST_TEST(placement.choose(directory, order(), now)->serverId == choice.serverId);
}

BOOST_AUTO_TEST_CASE(choose_everyServerAvoided_returnsOne)
{
    for (int i = 0; i < 3; ++i)
        placement.attemptEnded(start(placement, order()), false, AttemptOutcome::Failed, now);
    BOOST_TEST(placement.choose(directory, order(), now).has_value());
}

BOOST_AUTO_TEST_CASE(choose_allServersExcluded_returnsNone)
{
    PlacementQuery query = order();
    query.excluded = { "desk-0", "desk-1", "desk-2" };
    BOOST_TEST(!placement.choose(directory, query, now));
}

// A server that responds to some of its requests with errors must receive fewer of them.
BOOST_AUTO_TEST_CASE(server_failsHalfOfItsRequests_isNotPreferred)
{
    for (int i = 0; i < 20; ++i) {
        const PlacementChoice choice{ .serverId = "desk-0" };
        placement.attemptStarted(choice, order());
        placement.attemptEnded(choice, true,
                               i % 2 == 0 ? AttemptOutcome::ServerError : AttemptOutcome::Succeeded,
                               now);
    }
    BOOST_TEST(placement.choose(directory, order(), now)->serverId != "desk-0");
}

// Guards against queues that grow at all engines and make one of them look slow, so that its
// sessions move.
BOOST_AUTO_TEST_CASE(session_allEnginesLate_staysAtItsEngine)
{
    const std::string primary = placement.choose(directory, prompt(3), now)->serverId;
    for (int round = 0; round < 5; ++round) {
        for (int i = 0; i < 12; ++i) {
            PlacementChoice choice{ .serverId = "engine-" + std::to_string(i),
                                    .predicted = milliseconds(100) };
            placement.attemptStarted(choice, prompt(900));
            placement.attemptProgressed(choice, milliseconds(800), now);
            placement.attemptEnded(choice, true, AttemptOutcome::Succeeded, now);
        }
    }
    BOOST_TEST(placement.choose(directory, prompt(3), now)->serverId == primary);
}

BOOST_AUTO_TEST_CASE(session_itsEngineIsSlow_moves)
{
    const std::string primary = placement.choose(directory, prompt(3), now)->serverId;
    for (int round = 0; round < 12; ++round) {
        PlacementChoice choice{ .serverId = primary, .predicted = milliseconds(100) };
        placement.attemptStarted(choice, prompt(900));
        placement.attemptProgressed(choice, milliseconds(2000), now);
        placement.attemptEnded(choice, true, AttemptOutcome::Succeeded, now);
    }
    BOOST_TEST(placement.choose(directory, prompt(3), now)->serverId != primary);
}

// Gap-sensitive streams and long prompts alternate; the engines of the streams must receive no long
// prompts.
BOOST_AUTO_TEST_CASE(gapSensitiveStreams_withLongPrompts_haveSeparateEngines)
{
    std::map<std::string, unsigned> streams;
    std::map<std::string, unsigned> prompts;
    for (std::uint64_t i = 0; i < 60; ++i) {
        PlacementQuery chat = prompt(1000 + i, 600);
        chat.prompt[0].tokens = 120;
        chat.prompt[1].tokens = 80;
        chat.gapSensitiveStream = true;
        const PlacementChoice stream = start(placement, chat);
        placement.attemptProgressed(stream, stream.predicted, now);
        ++streams[stream.serverId];
        const PlacementChoice other = start(placement, prompt(i, 12000));
        placement.attemptProgressed(other, other.predicted, now);
        placement.attemptEnded(other, true, AttemptOutcome::Succeeded, now);
        if (i > 0)
            ++prompts[other.serverId];
    }
    BOOST_TEST(streams.size() <= 2U);
    for (const auto &[server, count] : streams)
        BOOST_TEST(prompts[server] == 0U);
}

// Guards against daemons of a large fleet that do not know each other's requests and all select the
// first of many equal plain servers, which then resets connections beyond its limit.
BOOST_AUTO_TEST_CASE(plainService_manyDaemonsAndEqualServers_loadIsSpread)
{
    constexpr int kDaemons = 100;
    constexpr int kServers = 34;
    for (int i = 0; i < kServers; ++i)
        add("equal-" + std::to_string(i), "equal", "a", 6);
    const Service equal{ .name = "equal" };
    std::map<std::string, int> requestsAt;
    for (int i = 0; i < kDaemons; ++i) {
        Placement daemon({ .vm = "vm-" + std::to_string(i),
                           .failureDomain = "a",
                           .regions = { { "a", "r1" }, { "b", "r2" } } });
        for (int request = 0; request < 3; ++request)
            ++requestsAt[start(daemon, { .service = &equal }).serverId];
    }
    BOOST_TEST(requestsAt.size() > 30U);
    for (const auto &[server, requests] : requestsAt)
        BOOST_TEST(requests <= 3 * 3 * kDaemons / kServers, server << " has " << requests);
}

// Guards against an explanation that differs from the decision or that changes the next one.
BOOST_AUTO_TEST_CASE(explanation_namesTheChosenServerAndChangesNothing)
{
    directory.backOff("engine-3", now + milliseconds(900), now);
    Placement unexplained = makePlacement();
    for (std::uint64_t i = 0; i < 60; ++i) {
        PlacementQuery query = prompt(i % 7);
        query.gapSensitiveStream = i % 5 == 0;
        const Explanation explanation = placement.explain(directory, query, now);
        const PlacementChoice chosen = start(placement, query);
        BOOST_REQUIRE(explanation.choice);
        BOOST_TEST(explanation.choice->serverId == chosen.serverId);
        BOOST_TEST(explanation.choice->urgency == chosen.urgency);
        BOOST_TEST(explanation.servers.size() == 12U);
        BOOST_TEST(start(unexplained, query).serverId == chosen.serverId);
        const auto lowest = std::min_element(
                explanation.servers.begin(), explanation.servers.end(),
                [](const auto &left, const auto &right) {
                    return std::pair(!left.excluded.empty(), left.cost.sum())
                           < std::pair(!right.excluded.empty(), right.cost.sum());
                });
        BOOST_TEST(lowest->serverId == chosen.serverId);
        BOOST_TEST(explanation.servers.back().excluded == "backing_off");
    }
}

// Guards against a server that gets no requests, or fewer, for a reason that operators are not
// told.
BOOST_AUTO_TEST_CASE(explanation_serversInEachState_namesTheReason)
{
    for (int i = 3; i < 7; ++i)
        add("desk-" + std::to_string(i), "desk", "a", 2);
    BackendServer draining = *directory.find("desk-1");
    draining.state = ServerState::Draining;
    directory.update(draining, ++position);
    directory.withdraw("desk-2");
    directory.backOff("desk-3", now + milliseconds(900), now);
    BackendServer leaving = *directory.find("desk-4");
    leaving.leavesAt = now + milliseconds(100);
    directory.update(leaving, ++position);
    std::set<std::string> used;
    for (int i = 0; i < 7; ++i)
        used.insert(start(placement, order()).serverId);
    const std::set<std::string> usable{ "desk-0", "desk-5", "desk-6" };
    BOOST_TEST(used == usable, boost::test_tools::per_element());
    const PlacementChoice rejecting{ .serverId = "desk-5", .address = "desk-5:80" };
    placement.attemptEnded(rejecting, false, AttemptOutcome::Rejected, now);
    placement.recordLoadReport("desk-6", { .running = 2, .slots = 2 }, now);
    std::map<std::string, ExplainedServer> servers;
    for (const ExplainedServer &server :
         placement.explain(directory, order(), now + milliseconds(30)).servers)
        servers[server.serverId] = server;
    BOOST_REQUIRE(servers.size() == 7U);
    BOOST_TEST(servers["desk-1"].excluded == "draining");
    BOOST_TEST(servers["desk-2"].excluded == "withdrawn");
    BOOST_TEST(servers["desk-3"].excluded == "backing_off");
    BOOST_TEST(servers["desk-3"].returnsIn->count() == 870);
    BOOST_TEST(servers["desk-4"].excluded == "leaving");
    BOOST_TEST(servers["desk-5"].isAvoided);
    BOOST_TEST(!servers["desk-6"].isAvoided);
    BOOST_TEST(servers["desk-6"].reportAge->count() == 30);
    BOOST_TEST(!servers["desk-0"].reportAge.has_value());
    for (const std::string &id : usable) {
        BOOST_TEST(servers[id].excluded.empty());
        BOOST_TEST(servers[id].ownRequests == placement.ownLoads()[id].running);
        BOOST_TEST(servers[id].isFull == (servers[id].knownRequests >= servers[id].slots));
    }
}

// Guards against an explanation that uses up the probes of a slow server, or that judges speeds
// differently from the decision.
BOOST_AUTO_TEST_CASE(explanation_serversWithLearnedSpeeds_namesTheChoiceAndChangesNothing)
{
    Placement unexplained = makePlacement();
    unsigned probes = 0;
    for (unsigned i = 0; i < 200; ++i) {
        const Explanation explanation = placement.explain(directory, order(), now);
        const PlacementChoice chosen = start(placement, order());
        BOOST_REQUIRE(explanation.choice);
        BOOST_TEST(explanation.choice->serverId == chosen.serverId);
        BOOST_TEST(explanation.choice->isProbe == chosen.isProbe);
        probes += chosen.isProbe ? 1 : 0;
        const PlacementChoice other = start(unexplained, order());
        BOOST_TEST(other.serverId == chosen.serverId);
        BOOST_TEST(other.isProbe == chosen.isProbe);
        now += milliseconds(40);
        const bool isSlow = chosen.serverId == "desk-0";
        for (Placement *daemon : { &placement, &unexplained }) {
            daemon->recordLoadReport(
                    chosen.serverId,
                    { .running = 1, .slots = 6, .workTimePercent = isSlow ? 400U : 100U }, now);
            daemon->attemptEnded(chosen, false, AttemptOutcome::Succeeded, now);
        }
    }
    BOOST_TEST(probes > 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::routing
