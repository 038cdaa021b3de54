// Tests claim clients and owners together, with fault injection in the network and the log.
#include "auburn/claims/claimclient.h"

#include "fakenetwork.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <cstdio>

namespace auburn {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kEpoch = std::chrono::hours(500000);

// In-memory log with fault injection. Responses to a paused daemon are held back until it resumes.
class FakeLog
{
public:
    explicit FakeLog(FakeNetwork &network)
        : network_(network)
    {}

    // Returns the log as seen by one daemon.
    ClaimLog &logFor(const std::string &daemon)
    {
        auto &daemonLog = daemonLogs_[daemon];
        if (!daemonLog)
            daemonLog = std::make_unique<DaemonLog>(*this, daemon);
        return *daemonLog;
    }

    void step()
    {
        auto call = pendingCalls_.begin();
        while (call != pendingCalls_.end() && call->first.first <= network_.now) {
            const auto current = call++;
            if (network_.isFrozen(current->second.daemon))
                continue;
            const auto run = std::move(current->second.run);
            pendingCalls_.erase(current);
            run();
            call = pendingCalls_.begin();
        }
    }

    milliseconds wallTime() const
    {
        return kEpoch + std::chrono::floor<milliseconds>(network_.now.time_since_epoch());
    }

    std::map<std::string, std::vector<ClaimLogRecord>> streams;
    double lostResponseRate = 0;
    double lostRequestRate = 0;
    unsigned appendCount = 0;
    bool outage = false;

private:
    struct Call
    {
        // Daemon that receives the call; empty for an action of the log itself.
        std::string daemon;
        std::function<void()> run;
    };

    class DaemonLog : public ClaimLog
    {
    public:
        DaemonLog(FakeLog &log, std::string daemon)
            : log_(log)
            , daemon_(std::move(daemon))
        {}

        void append(const std::string &stream, std::string bytes, AppendCallback callback) override
        {
            log_.append(daemon_, stream, bytes, callback);
        }

        void read(const std::string &stream, std::uint64_t from, unsigned max, milliseconds wait,
                  ReadCallback callback) override
        {
            log_.read(daemon_, stream, from, max, wait, callback);
        }

    private:
        FakeLog &log_;
        std::string daemon_;
    };

    void append(const std::string &daemon, const std::string &stream, const std::string &bytes,
                const ClaimLog::AppendCallback &callback)
    {
        ++appendCount;
        const auto respond = [&](milliseconds delay, const ClaimAppendResult &result) {
            schedule(daemon, delay, [callback, result] { callback(result); });
        };
        if (outage) {
            respond(milliseconds(5), ClaimNotAppended{ "outage" });
            return;
        }
        if (network_.chance() < lostRequestRate) {
            respond(milliseconds(300), ClaimAppendUnknown{ "time-out" });
            return;
        }
        const bool responseLost = network_.chance() < lostResponseRate;
        // The record may reach the log after the writer has timed out.
        const milliseconds delay(responseLost ? 5 + network_.below(1500) : 5);
        schedule({}, delay, [this, stream, bytes] {
            auto &records = streams[stream];
            records.push_back({ records.size(), wallTime(), bytes });
        });
        if (responseLost)
            respond(milliseconds(300), ClaimAppendUnknown{ "time-out" });
        else
            respond(delay, ClaimAppended{});
    }

    void read(const std::string &daemon, const std::string &stream, std::uint64_t from,
              unsigned max, milliseconds wait, const ClaimLog::ReadCallback &callback)
    {
        if (outage || network_.chance() < lostResponseRate) {
            schedule(daemon, milliseconds(50), [callback] { callback({}); });
            return;
        }
        const auto &records = streams[stream];
        if (from >= records.size() && wait.count() > 0) {
            schedule({}, milliseconds(10), [this, daemon, stream, from, max, wait, callback] {
                read(daemon, stream, from, max, wait - milliseconds(10), callback);
            });
            return;
        }
        ClaimReadResult result{ .succeeded = true, .next = records.size() };
        for (std::uint64_t i = from; i < records.size() && result.records.size() < max; ++i)
            result.records.push_back(records[i]);
        schedule(daemon, milliseconds(3), [callback, result] { callback(result); });
    }

    void schedule(const std::string &daemon, milliseconds delay, std::function<void()> run)
    {
        pendingCalls_.emplace(std::pair(network_.now + delay, nextCallNumber_++),
                              Call{ daemon, std::move(run) });
    }

    FakeNetwork &network_;
    std::map<std::string, std::unique_ptr<DaemonLog>> daemonLogs_;
    std::map<std::pair<FakeNetwork::TimePoint, std::uint64_t>, Call> pendingCalls_;
    std::uint64_t nextCallNumber_ = 0;
};

struct Node
{
    std::string id;
    FakeViews views;
    std::unique_ptr<ClaimOwner> owner;
    std::unique_ptr<ClaimClient> client;
};

struct Attempt
{
    FakeNetwork::TimePoint started;
    unsigned resultCount = 0;
    std::optional<RefusalCode> refusal;
    std::optional<WonClaim> won;
};

const std::vector<std::string> kFailureDomainOne{ "a", "b", "c" };
const std::vector<std::string> kFailureDomainTwo{ "x", "y" };

// Claim owners and clients of five daemons in two failure domains, driven in simulated time.
class ClaimCluster
{
public:
    explicit ClaimCluster(unsigned seed = 1)
        : network(seed)
    {
        for (const std::string &id : kFailureDomainOne)
            addDaemon(id, "p1", kFailureDomainOne);
        for (const std::string &id : kFailureDomainTwo)
            addDaemon(id, "p2", kFailureDomainTwo);
    }

    void addDaemon(const std::string &id, const std::string &failureDomain,
                   const std::vector<std::string> &ids)
    {
        Node &node = nodes[id];
        node.id = id;
        node.views.set(readyView(id, failureDomain, ids));
        const auto clock = [this] { return network.now; };
        const auto wallClock = [this] { return log.wallTime(); };
        node.owner = ClaimOwner::make({ .selfId = id,
                                        .bus = &network.bus(id),
                                        .views = &node.views,
                                        .log = &log.logFor(id),
                                        .clock = clock,
                                        .wallClock = wallClock });
        node.client = ClaimClient::make({ .selfId = id,
                                          .bus = &network.bus(id),
                                          .views = &node.views,
                                          .localOwner = node.owner.get(),
                                          .clock = clock,
                                          .wallClock = wallClock });
    }

    // Returns a new, valid key with the current time.
    std::string makeKey()
    {
        std::array<char, 64> text{};
        const auto time = static_cast<unsigned long long>(log.wallTime().count());
        std::snprintf(text.data(), text.size(), "%08llx-%04llx-7000-8000-%012x", time >> 16,
                      time & 0xffff, ++keyCount);
        return text.data();
    }

    // Starts an attempt at a node and returns its index in attempts.
    std::size_t claim(const std::string &node, const std::string &key)
    {
        const std::size_t index = attempts.size();
        attempts.push_back({ .started = network.now });
        nodes.at(node).client->claim(
                { .organisation = "o", .key = key, .body = "body" },
                [this, node, index](const ClaimResult &result) { onResult(node, index, result); });
        return index;
    }

    void onResult(const std::string &node, std::size_t index, const ClaimResult &result)
    {
        Attempt &attempt = attempts.at(index);
        ++attempt.resultCount;
        if (const auto *refusal = std::get_if<Refusal>(&result)) {
            attempt.refusal = refusal->code;
            return;
        }
        BOOST_REQUIRE(network.now < attempt.started + kClaimTimeout);
        attempt.won = std::get<WonClaim>(result);
        if (!executeWonClaims)
            return;
        const unsigned outcomeChoice = network.below(4);
        if (outcomeChoice > 0)
            BOOST_REQUIRE_EQUAL(++executions[attempt.won->key], 1U);
        const ExecutionOutcome outcome = outcomeChoice == 0   ? ExecutionOutcome::Released
                                         : outcomeChoice == 1 ? ExecutionOutcome::Unknown
                                                              : ExecutionOutcome::Completed;
        nodes.at(node).client->finish(*attempt.won, outcome);
    }

    void run(milliseconds time, const std::function<void()> &onStep = {})
    {
        const auto end = network.now + time;
        while (network.now < end) {
            network.step();
            log.step();
            if (onStep)
                onStep();
            if (++stepCount % 50 == 0)
                tickAll();
        }
    }

    void tickAll()
    {
        for (auto &[id, node] : nodes) {
            if (network.isFrozen(id))
                continue;
            node.owner->tick(network.now);
            node.client->tick(network.now);
        }
    }

    // Starts claims of a few recent keys at random daemons, at 15 per simulated second on average.
    void generateLoad()
    {
        if (network.below(1000) >= 15)
            return;
        if (recentKeys.empty() || network.below(3) == 0)
            recentKeys.push_back(makeKey());
        const std::size_t offsetFromEnd = 1
                                          + network.below(
                                                  std::min<std::size_t>(recentKeys.size(), 4));
        const auto node = std::next(nodes.begin(), network.below(nodes.size()));
        if (!network.isFrozen(node->first))
            claim(node->first, recentKeys[recentKeys.size() - offsetFromEnd]);
    }

    // Makes one daemon of each failure domain see itself as the only member, so that two daemons of
    // the failure domain believe that they own its partitions.
    void splitViews(bool isSplit)
    {
        nodes.at("a").views.set(readyView(
                "a", "p1", isSplit ? std::vector<std::string>{ "a" } : kFailureDomainOne));
        nodes.at("x").views.set(readyView(
                "x", "p2", isSplit ? std::vector<std::string>{ "x" } : kFailureDomainTwo));
    }

    // Requires that every attempt has exactly one result and that all outcomes are confirmed.
    void requireAllSettled()
    {
        for (const Attempt &attempt : attempts)
            BOOST_REQUIRE_EQUAL(attempt.resultCount, 1U);
        for (const auto &[id, node] : nodes) {
            BOOST_REQUIRE_EQUAL(node.client->pendingClaimCount(), 0U);
            BOOST_REQUIRE_EQUAL(node.client->unconfirmedOutcomeCount(), 0U);
        }
    }

    unsigned partitionOf(const std::string &key)
    {
        return claimPartition(IdempotencyKey::parse(key)->hashFor("o"));
    }

    // Returns the daemons of the first failure domain in the rendezvous order of the key's
    // partition.
    std::vector<std::string> rankedOwners(const std::string &key)
    {
        const MemberView view = readyView("a", "p1", kFailureDomainOne);
        return view.rankedOwners(claimOwnerKey("p1", partitionOf(key)));
    }

    // Returns the refusal of a claim; empty if it won.
    std::optional<RefusalCode> claimAndWait(const std::string &node, const std::string &key)
    {
        const std::size_t index = claim(node, key);
        run(seconds(3));
        BOOST_REQUIRE_EQUAL(attempts.at(index).resultCount, 1U);
        return attempts.at(index).refusal;
    }

    FakeNetwork network;
    FakeLog log{ network };
    std::map<std::string, Node> nodes;
    std::vector<Attempt> attempts;
    std::map<std::string, unsigned> executions;
    std::vector<std::string> recentKeys;
    bool executeWonClaims = true;
    unsigned keyCount = 0;
    unsigned stepCount = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(claimexchange)

// Guards against executing a key twice under lost responses, late and duplicate batches, paused
// owners, two concurrent owners, owner changes and log outages. Also guards against claims without
// a result and outcomes that are never written.
BOOST_AUTO_TEST_CASE(claim_mixedFaults_eachKeyIsExecutedAtMostOnce)
{
    for (unsigned seed = 1; seed <= 40; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            ClaimCluster cluster(seed);
            cluster.network.faults = { .loss = 0.05,
                                       .duplicates = 0.1,
                                       .maxDelay = milliseconds(30) };
            cluster.log.lostResponseRate = 0.2;
            cluster.log.lostRequestRate = 0.1;
            for (unsigned phase = 0; phase < 8; ++phase) {
                const auto paused = std::next(cluster.nodes.begin(), cluster.network.below(5))
                                            ->first;
                cluster.splitViews(phase % 3 == 1);
                cluster.log.outage = phase == 5;
                cluster.network.freeze(paused);
                cluster.run(milliseconds(200 + cluster.network.below(3500)),
                            [&] { cluster.generateLoad(); });
                cluster.network.wake(paused);
                cluster.run(milliseconds(500), [&] { cluster.generateLoad(); });
            }
            cluster.network.faults = {};
            cluster.log.lostResponseRate = 0;
            cluster.log.lostRequestRate = 0;
            cluster.splitViews(false);
            cluster.run(seconds(60));
            cluster.requireAllSettled();
            BOOST_REQUIRE_GT(cluster.executions.size(), 0U);
            BOOST_REQUIRE(!cluster.claimAndWait("a", cluster.makeKey()).has_value());
        }
    }
}

// Guards against a claim that is slow or refused without faults, and against a wrong result for a
// repeated key.
BOOST_AUTO_TEST_CASE(claim_repeatedKey_isRefusedByItsState)
{
    ClaimCluster cluster;
    cluster.executeWonClaims = false;
    const std::string key = cluster.makeKey();
    const std::size_t first = cluster.claim("a", key);
    cluster.run(seconds(1));
    BOOST_REQUIRE(cluster.attempts[first].won.has_value());
    BOOST_TEST((cluster.claimAndWait("x", key) == RefusalCode::IdempotencyKeyHeld));
    cluster.nodes.at("a").client->finish(*cluster.attempts[first].won, ExecutionOutcome::Completed);
    cluster.run(seconds(1));
    BOOST_TEST((cluster.claimAndWait("b", key) == RefusalCode::AlreadyCompleted));
    BOOST_TEST((cluster.claimAndWait("b", "") == RefusalCode::IdempotencyKeyMissing));
    BOOST_TEST((cluster.claimAndWait("b", "x") == RefusalCode::IdempotencyKeyInvalid));
    cluster.run(kIdempotencyKeyLifetime);
    BOOST_TEST((cluster.claimAndWait("b", key) == RefusalCode::IdempotencyKeyExpired));
}

// Guards against a key that stays held after an attempt that did not run.
BOOST_AUTO_TEST_CASE(finish_released_laterClaimWins)
{
    ClaimCluster cluster;
    cluster.executeWonClaims = false;
    const std::string key = cluster.makeKey();
    const std::size_t first = cluster.claim("a", key);
    cluster.run(seconds(1));
    cluster.nodes.at("a").client->finish(cluster.attempts[first].won.value(),
                                         ExecutionOutcome::Released);
    cluster.run(seconds(1));
    BOOST_TEST(!cluster.claimAndWait("x", key).has_value());
}

// Guards against a key that stays held because paused owners append a claim after it was refused.
BOOST_AUTO_TEST_CASE(claim_ownersPausedBeyondTimeout_refusedAndReleased)
{
    ClaimCluster cluster;
    const std::string key = cluster.makeKey();
    const std::vector<std::string> rankedOwners = cluster.rankedOwners(key);
    cluster.network.freeze(rankedOwners[0]);
    cluster.network.freeze(rankedOwners[1]);
    const std::size_t first = cluster.claim(rankedOwners[2], key);
    cluster.run(kClaimTimeout + milliseconds(100));
    BOOST_TEST((cluster.attempts[first].refusal == RefusalCode::LogUnavailable));
    cluster.network.wake(rankedOwners[0]);
    cluster.network.wake(rankedOwners[1]);
    cluster.run(seconds(40));
    cluster.requireAllSettled();
    BOOST_TEST(cluster.log.streams[claimStream(cluster.partitionOf(key))].size() > 0U);
    BOOST_TEST(cluster.executions.empty());
    BOOST_TEST(!cluster.claimAndWait("x", key).has_value());
}

// Guards against a dispatch by a process that was paused beyond the deadline of its claim.
BOOST_AUTO_TEST_CASE(claim_clientPausedBeyondTimeout_refusedAndReleased)
{
    ClaimCluster cluster;
    const std::string key = cluster.makeKey();
    const std::string client = cluster.rankedOwners(key)[2];
    const std::size_t first = cluster.claim(client, key);
    cluster.network.freeze(client);
    cluster.run(kClaimTimeout + milliseconds(100));
    cluster.network.wake(client);
    cluster.run(seconds(5));
    BOOST_TEST((cluster.attempts[first].refusal == RefusalCode::LogUnavailable));
    BOOST_TEST(!cluster.claimAndWait("x", key).has_value());
}

// Guards against appends that accumulate, and outcomes that are lost, during an outage in which the
// log does not respond.
BOOST_AUTO_TEST_CASE(claim_longOutageWithoutResponses_appendsAreBoundedAndOutcomesSurvive)
{
    ClaimCluster cluster;
    cluster.log.lostRequestRate = 1;
    const unsigned before = cluster.log.appendCount;
    cluster.run(seconds(60), [&] { cluster.generateLoad(); });
    // Upper bound of the design: failure domains x partitions / 0.1 s.
    BOOST_TEST(cluster.log.appendCount - before <= 2U * kClaimPartitionCount * 10 * 60);
    cluster.log.lostRequestRate = 0;
    cluster.run(seconds(60));
    cluster.requireAllSettled();
    BOOST_TEST(!cluster.claimAndWait("a", cluster.makeKey()).has_value());
}

// Guards against callers that wait for the claim timeout although the log is known to be
// unavailable.
BOOST_AUTO_TEST_CASE(claim_logRefusesAppends_refusedBeforeTimeout)
{
    ClaimCluster cluster;
    cluster.run(seconds(1));
    cluster.log.outage = true;
    const std::size_t first = cluster.claim("a", cluster.makeKey());
    cluster.run(milliseconds(500));
    BOOST_TEST((cluster.attempts[first].refusal == RefusalCode::LogUnavailable));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn
