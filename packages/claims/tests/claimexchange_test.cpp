// Clients and owners of claims together, over a network and a log with faults.
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

// The log, with one access for each daemon; answers to a frozen daemon wait.
class FakeLog
{
public:
    explicit FakeLog(FakeNetwork &network)
        : network_(network)
    {}

    ClaimLog &access(const std::string &daemon)
    {
        auto &access = accesses_[daemon];
        if (!access)
            access = std::make_unique<Access>(*this, daemon);
        return *access;
    }

    void step()
    {
        auto call = calls_.begin();
        while (call != calls_.end() && call->first.first <= network_.now) {
            const auto current = call++;
            if (network_.isFrozen(current->second.daemon))
                continue;
            const auto run = std::move(current->second.run);
            calls_.erase(current);
            run();
            call = calls_.begin();
        }
    }

    milliseconds wall() const
    {
        return kEpoch + std::chrono::floor<milliseconds>(network_.now.time_since_epoch());
    }

    std::map<std::string, std::vector<ClaimLogRecord>> streams;
    double lostAnswers = 0;
    double lostRequests = 0;
    unsigned appends = 0;
    bool outage = false;

private:
    struct Call
    {
        // Empty for a step of the log itself.
        std::string daemon;
        std::function<void()> run;
    };

    class Access : public ClaimLog
    {
    public:
        Access(FakeLog &log, std::string daemon)
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
        ++appends;
        const auto answer = [&](milliseconds delay, const ClaimAppendResult &result) {
            later(daemon, delay, [callback, result] { callback(result); });
        };
        if (outage) {
            answer(milliseconds(5), ClaimNotAppended{ "outage" });
            return;
        }
        if (network_.chance() < lostRequests) {
            answer(milliseconds(300), ClaimAppendUnknown{ "time-out" });
            return;
        }
        const bool answerLost = network_.chance() < lostAnswers;
        // A record may arrive after its writer has given up.
        const milliseconds delay(answerLost ? 5 + network_.below(1500) : 5);
        later({}, delay, [this, stream, bytes] {
            auto &records = streams[stream];
            records.push_back({ records.size(), wall(), bytes });
        });
        if (answerLost)
            answer(milliseconds(300), ClaimAppendUnknown{ "time-out" });
        else
            answer(delay, ClaimAppended{});
    }

    void read(const std::string &daemon, const std::string &stream, std::uint64_t from,
              unsigned max, milliseconds wait, const ClaimLog::ReadCallback &callback)
    {
        if (outage || network_.chance() < lostAnswers) {
            later(daemon, milliseconds(50), [callback] { callback({}); });
            return;
        }
        const auto &records = streams[stream];
        if (from >= records.size() && wait.count() > 0) {
            later({}, milliseconds(10), [this, daemon, stream, from, max, wait, callback] {
                read(daemon, stream, from, max, wait - milliseconds(10), callback);
            });
            return;
        }
        ClaimReadResult result{ .succeeded = true, .next = records.size() };
        for (std::uint64_t i = from; i < records.size() && result.records.size() < max; ++i)
            result.records.push_back(records[i]);
        later(daemon, milliseconds(3), [callback, result] { callback(result); });
    }

    void later(const std::string &daemon, milliseconds delay, std::function<void()> run)
    {
        calls_.emplace(std::pair(network_.now + delay, next_++), Call{ daemon, std::move(run) });
    }

    FakeNetwork &network_;
    std::map<std::string, std::unique_ptr<Access>> accesses_;
    std::map<std::pair<FakeNetwork::TimePoint, std::uint64_t>, Call> calls_;
    std::uint64_t next_ = 0;
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
    unsigned answers = 0;
    std::optional<RefusalCode> refusal;
    std::optional<WonClaim> won;
};

const std::vector<std::string> kFailureDomainOne{ "a", "b", "c" };
const std::vector<std::string> kFailureDomainTwo{ "x", "y" };

class ClaimWorld
{
public:
    explicit ClaimWorld(unsigned seed = 1)
        : network(seed)
    {
        for (const std::string &id : kFailureDomainOne)
            add(id, "p1", kFailureDomainOne);
        for (const std::string &id : kFailureDomainTwo)
            add(id, "p2", kFailureDomainTwo);
    }

    void add(const std::string &id, const std::string &failureDomain,
             const std::vector<std::string> &ids)
    {
        Node &node = nodes[id];
        node.id = id;
        node.views.set(readyView(id, failureDomain, ids));
        const auto clock = [this] { return network.now; };
        const auto wallClock = [this] { return log.wall(); };
        node.owner = ClaimOwner::make({ .selfId = id,
                                        .bus = &network.bus(id),
                                        .views = &node.views,
                                        .log = &log.access(id),
                                        .clock = clock,
                                        .wallClock = wallClock });
        node.client = ClaimClient::make({ .selfId = id,
                                          .bus = &network.bus(id),
                                          .views = &node.views,
                                          .localOwner = node.owner.get(),
                                          .clock = clock,
                                          .wallClock = wallClock });
    }

    std::string makeKey()
    {
        std::array<char, 64> text{};
        const auto time = static_cast<unsigned long long>(log.wall().count());
        std::snprintf(text.data(), text.size(), "%08llx-%04llx-7000-8000-%012x", time >> 16,
                      time & 0xffff, ++keys);
        return text.data();
    }

    std::size_t claim(const std::string &node, const std::string &key)
    {
        const std::size_t index = attempts.size();
        attempts.push_back({ .started = network.now });
        nodes.at(node).client->claim(
                { .organisation = "o", .key = key, .body = "body" },
                [this, node, index](const ClaimResult &answer) { onAnswer(node, index, answer); });
        return index;
    }

    void onAnswer(const std::string &node, std::size_t index, const ClaimResult &answer)
    {
        Attempt &attempt = attempts.at(index);
        ++attempt.answers;
        if (const auto *refusal = std::get_if<Refusal>(&answer)) {
            attempt.refusal = refusal->code;
            return;
        }
        BOOST_REQUIRE(network.now < attempt.started + kClaimTimeout);
        attempt.won = std::get<WonClaim>(answer);
        if (!executesWins)
            return;
        const unsigned kind = network.below(4);
        if (kind > 0)
            BOOST_REQUIRE_EQUAL(++executions[attempt.won->key], 1U);
        const ExecutionOutcome end = kind == 0   ? ExecutionOutcome::Released
                                     : kind == 1 ? ExecutionOutcome::Unknown
                                                 : ExecutionOutcome::Completed;
        nodes.at(node).client->finish(*attempt.won, end);
    }

    void run(milliseconds time, const std::function<void()> &eachStep = {})
    {
        const auto end = network.now + time;
        while (network.now < end) {
            network.step();
            log.step();
            if (eachStep)
                eachStep();
            if (++steps % 50 == 0)
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

    // Claims of a few keys by several daemons at a time.
    void load()
    {
        if (network.below(1000) >= 15)
            return;
        if (recentKeys.empty() || network.below(3) == 0)
            recentKeys.push_back(makeKey());
        const std::size_t back = 1 + network.below(std::min<std::size_t>(recentKeys.size(), 4));
        const auto node = std::next(nodes.begin(), network.below(nodes.size()));
        if (!network.isFrozen(node->first))
            claim(node->first, recentKeys[recentKeys.size() - back]);
    }

    // Makes two daemons of a failure domain both believe that they own its partitions.
    void splitViews(bool split)
    {
        nodes.at("a").views.set(
                readyView("a", "p1", split ? std::vector<std::string>{ "a" } : kFailureDomainOne));
        nodes.at("x").views.set(
                readyView("x", "p2", split ? std::vector<std::string>{ "x" } : kFailureDomainTwo));
    }

    void requireSettled()
    {
        for (const Attempt &attempt : attempts)
            BOOST_REQUIRE_EQUAL(attempt.answers, 1U);
        for (const auto &[id, node] : nodes) {
            BOOST_REQUIRE_EQUAL(node.client->pendingCount(), 0U);
            BOOST_REQUIRE_EQUAL(node.client->unconfirmedCount(), 0U);
        }
    }

    unsigned partitionOf(const std::string &key)
    {
        return claimPartition(IdempotencyKey::parse(key)->hashFor("o"));
    }

    // The daemons of the first failure domain in the order of the key's partition.
    std::vector<std::string> ranked(const std::string &key)
    {
        const MemberView view = readyView("a", "p1", kFailureDomainOne);
        return view.rankedOwners(claimOwnerKey("p1", partitionOf(key)));
    }

    std::optional<RefusalCode> claimAndWait(const std::string &node, const std::string &key)
    {
        const std::size_t index = claim(node, key);
        run(seconds(3));
        BOOST_REQUIRE_EQUAL(attempts.at(index).answers, 1U);
        return attempts.at(index).refusal;
    }

    FakeNetwork network;
    FakeLog log{ network };
    std::map<std::string, Node> nodes;
    std::vector<Attempt> attempts;
    std::map<std::string, unsigned> executions;
    std::vector<std::string> recentKeys;
    bool executesWins = true;
    unsigned keys = 0;
    unsigned steps = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(claimexchange)

// Guards against two runs of one key with lost answers, late and repeated batches, frozen owners,
// two owners at once, owner changes and outages of the log; against claims without an answer and
// outcomes that are never written.
BOOST_AUTO_TEST_CASE(claim_faultsOfAllKinds_atMostOneExecutionPerKey)
{
    for (unsigned seed = 1; seed <= 40; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            ClaimWorld world(seed);
            world.network.faults = { .loss = 0.05,
                                     .duplicates = 0.1,
                                     .maxDelay = milliseconds(30) };
            world.log.lostAnswers = 0.2;
            world.log.lostRequests = 0.1;
            for (unsigned phase = 0; phase < 8; ++phase) {
                const auto frozen = std::next(world.nodes.begin(), world.network.below(5))->first;
                world.splitViews(phase % 3 == 1);
                world.log.outage = phase == 5;
                world.network.freeze(frozen);
                world.run(milliseconds(200 + world.network.below(3500)), [&] { world.load(); });
                world.network.wake(frozen);
                world.run(milliseconds(500), [&] { world.load(); });
            }
            world.network.faults = {};
            world.log.lostAnswers = 0;
            world.log.lostRequests = 0;
            world.splitViews(false);
            world.run(seconds(60));
            world.requireSettled();
            BOOST_REQUIRE_GT(world.executions.size(), 0U);
            BOOST_REQUIRE(!world.claimAndWait("a", world.makeKey()).has_value());
        }
    }
}

// Guards against a plain claim that is slow or refused, and against a wrong answer to a repeat.
BOOST_AUTO_TEST_CASE(claim_repeatedKey_isRefusedWithItsOutcome)
{
    ClaimWorld world;
    world.executesWins = false;
    const std::string key = world.makeKey();
    const std::size_t first = world.claim("a", key);
    world.run(seconds(1));
    BOOST_REQUIRE(world.attempts[first].won.has_value());
    BOOST_TEST((world.claimAndWait("x", key) == RefusalCode::IdempotencyKeyHeld));
    world.nodes.at("a").client->finish(*world.attempts[first].won, ExecutionOutcome::Completed);
    world.run(seconds(1));
    BOOST_TEST((world.claimAndWait("b", key) == RefusalCode::AlreadyCompleted));
    BOOST_TEST((world.claimAndWait("b", "") == RefusalCode::IdempotencyKeyMissing));
    BOOST_TEST((world.claimAndWait("b", "x") == RefusalCode::IdempotencyKeyInvalid));
    world.run(kIdempotencyKeyLifetime);
    BOOST_TEST((world.claimAndWait("b", key) == RefusalCode::IdempotencyKeyExpired));
}

// Guards against a key that stays unusable after an attempt that never ran.
BOOST_AUTO_TEST_CASE(finish_released_laterClaimWins)
{
    ClaimWorld world;
    world.executesWins = false;
    const std::string key = world.makeKey();
    const std::size_t first = world.claim("a", key);
    world.run(seconds(1));
    world.nodes.at("a").client->finish(world.attempts[first].won.value(),
                                       ExecutionOutcome::Released);
    world.run(seconds(1));
    BOOST_TEST(!world.claimAndWait("x", key).has_value());
}

// Guards against a key that stays held by an attempt whose owners were frozen: they append its
// claim after it was refused.
BOOST_AUTO_TEST_CASE(claim_ownersFrozenBeyondTimeout_refusedAndReleased)
{
    ClaimWorld world;
    const std::string key = world.makeKey();
    const std::vector<std::string> ranked = world.ranked(key);
    world.network.freeze(ranked[0]);
    world.network.freeze(ranked[1]);
    const std::size_t first = world.claim(ranked[2], key);
    world.run(kClaimTimeout + milliseconds(100));
    BOOST_TEST((world.attempts[first].refusal == RefusalCode::LogUnavailable));
    world.network.wake(ranked[0]);
    world.network.wake(ranked[1]);
    world.run(seconds(40));
    world.requireSettled();
    BOOST_TEST(world.log.streams[claimStream(world.partitionOf(key))].size() > 0U);
    BOOST_TEST(world.executions.empty());
    BOOST_TEST(!world.claimAndWait("x", key).has_value());
}

// Guards against a dispatch by a process that was paused until after its claim's time.
BOOST_AUTO_TEST_CASE(claim_clientFrozenWhileItWins_refusedAndReleased)
{
    ClaimWorld world;
    const std::string key = world.makeKey();
    const std::string client = world.ranked(key)[2];
    const std::size_t first = world.claim(client, key);
    world.network.freeze(client);
    world.run(kClaimTimeout + milliseconds(100));
    world.network.wake(client);
    world.run(seconds(5));
    BOOST_TEST((world.attempts[first].refusal == RefusalCode::LogUnavailable));
    BOOST_TEST(!world.claimAndWait("x", key).has_value());
}

// Guards against appends that pile up in an outage in which the log does not answer, and against
// outcomes that are lost in it.
BOOST_AUTO_TEST_CASE(claim_longOutageWithoutAnswers_appendsAreBoundedAndOutcomesSurvive)
{
    ClaimWorld world;
    world.log.lostRequests = 1;
    const unsigned before = world.log.appends;
    world.run(seconds(60), [&] { world.load(); });
    // The design's limit: failure domains x partitions / 0.1 s.
    BOOST_TEST(world.log.appends - before <= 2U * kClaimPartitionCount * 10 * 60);
    world.log.lostRequests = 0;
    world.run(seconds(60));
    world.requireSettled();
    BOOST_TEST(!world.claimAndWait("a", world.makeKey()).has_value());
}

// Guards against callers that wait for their own time-out while the log is known to be down.
BOOST_AUTO_TEST_CASE(claim_logRefusesAppends_refusedBeforeTimeout)
{
    ClaimWorld world;
    world.run(seconds(1));
    world.log.outage = true;
    const std::size_t first = world.claim("a", world.makeKey());
    world.run(milliseconds(500));
    BOOST_TEST((world.attempts[first].refusal == RefusalCode::LogUnavailable));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn
