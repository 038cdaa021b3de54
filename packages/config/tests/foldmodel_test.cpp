// Differential test of ConfigFold and its ways to start in the middle of the log.
#include "foldmodel.h"

#include "auburn/config/configfold.h"
#include "changes.h"
#include "logbootstrap.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <limits>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace auburn {

using namespace tests;

namespace {

std::string tokenOf(std::size_t number)
{
    return sha256Hex("t" + std::to_string(number));
}

// Everything that a state answers, in a form that can be compared.
std::string imageOf(const ConfigState &state)
{
    std::string image = std::to_string(state.itemCount());
    state.visitItems([&image](const ItemPtr &item) { image += itemToProto(*item).DebugString(); });
    for (const Service *service : state.services())
        image += service->name + " ";
    for (const char *service : { "n0", "n1", "n2", "n3" }) {
        for (const BackendServer *found : state.backendServers(service, "p1"))
            image += service + found->name + " ";
    }
    for (std::size_t i = 0; i < 5; ++i) {
        const Caller *found = state.callerByToken(tokenOf(i));
        image += found ? found->name + "/" + found->className + " " : "-";
    }
    return image;
}

// Random records on a log. Snapshots are written by readers that may lag far behind.
class RandomLog
{
public:
    RandomLog(unsigned seed, std::size_t changes)
        : random_(seed)
    {
        for (std::size_t i = 0; i < changes; ++i)
            addChange();
    }

    std::size_t below(std::size_t limit)
    {
        return std::uniform_int_distribution<std::size_t>(0, limit - 1)(random_);
    }

    // Records from an offset on, as the log answers one read.
    LogBatch batch(std::uint64_t earliest, std::uint64_t from, std::size_t max) const
    {
        LogBatch result{ .earliest = earliest, .next = records.size() };
        for (std::uint64_t i = std::max(from, earliest); i < records.size() && max-- > 0; ++i)
            result.records.push_back(records[i]);
        return result;
    }

    std::vector<LogRecord> records{ LogRecord{} };
    std::vector<std::uint64_t> acceptedByModel;
    std::vector<FoldedChange> folded;
    FoldModel model;
    ConfigFold fold;
    // States that readers took on the way, with what they looked like then.
    std::vector<std::pair<std::shared_ptr<const ConfigState>, std::string>> heldStates;

private:
    ItemValue randomValue()
    {
        const std::string name = "n" + std::to_string(below(4));
        switch (below(5)) {
        case 0:
            return Service{ .name = name, .nonIdempotent = below(2) == 0 };
        case 1:
            return RequestClass{ .name = name, .tier = static_cast<unsigned>(below(9)) };
        case 2:
            return organisation(name, static_cast<unsigned>(below(100)));
        case 3: {
            Caller value = caller(name, "n" + std::to_string(below(4)),
                                  "n" + std::to_string(below(4)));
            value.tokenSha256 = tokenOf(below(5));
            return value;
        }
        default: {
            BackendServer value = backendServer(name, "n" + std::to_string(below(4)));
            value.slots = static_cast<unsigned>(below(4));
            return value;
        }
        }
    }

    void addChange()
    {
        const std::uint64_t offset = records.size();
        const ItemValue value = randomValue();
        const Item *item = fold.state()->find(keyOf(value));
        // Mostly the right base, sometimes one that lost a race.
        const std::uint64_t base = below(10) == 0 ? below(offset) : (item ? item->revision : 0);
        proto::ConfigChange message = change("c" + std::to_string(offset), base, value);
        message.set_remove(below(5) == 0);
        if (!sent_.empty() && below(6) == 0)
            message = sent_[sent_.size() - 1 - below(std::min<std::size_t>(sent_.size(), 6000))];
        sent_.push_back(message);
        addRecord(message);
        if (below(12) == 0)
            startSnapshot();
        if (!pendingChunks_.empty() && below(3) == 0)
            addChunk();
        if (below(40) == 0)
            records.push_back(LogRecord{ .offset = records.size(), .data = "\xff not a record" });
        fold.advance(records.size() - 1);
        if (below(20) == 0)
            heldStates.emplace_back(fold.state(), imageOf(*fold.state()));
    }

    void addRecord(const proto::ConfigChange &message)
    {
        const std::uint64_t offset = records.size();
        proto::ConfigRecord record;
        *record.mutable_change() = message;
        records.push_back(LogRecord{ .offset = offset, .data = record.SerializeAsString() });
        if (model.fold(offset, message))
            acceptedByModel.push_back(offset);
        if (auto outcome = fold.fold(offset, record))
            folded.push_back(*outcome);
    }

    // Chunks of one state at a time; the appends go on while the writer lags behind.
    void startSnapshot()
    {
        if (pendingChunks_.empty())
            pendingChunks_ = fold.chunks("s" + std::to_string(records.size()), 50 + below(100000));
    }

    void addChunk()
    {
        proto::ConfigRecord record;
        *record.mutable_snapshot() = pendingChunks_.front();
        records.push_back(
                LogRecord{ .offset = records.size(), .data = record.SerializeAsString() });
        // Some chunks are appended twice, as after a lost answer.
        if (below(4) != 0)
            pendingChunks_.erase(pendingChunks_.begin());
    }

    std::mt19937 random_;
    std::vector<proto::ConfigChange> sent_;
    std::vector<proto::ConfigChunk> pendingChunks_;
};

// The whole state, with the ids that recognise repeated changes, in a form that can be compared.
std::string imageOf(const ConfigFold &fold)
{
    return fold.chunks("image", std::numeric_limits<std::size_t>::max())
            .front()
            .SerializeAsString();
}

// True if a snapshot that readers may use is complete between the two offsets.
bool hasUsableSnapshot(const RandomLog &log, std::uint64_t earliest)
{
    std::map<std::string, std::set<std::uint32_t>> seen;
    for (std::uint64_t i = earliest; i < log.records.size(); ++i) {
        proto::ConfigRecord record;
        if (!record.ParseFromString(log.records[i].data) || !record.has_snapshot())
            continue;
        const proto::ConfigChunk &chunk = record.snapshot();
        auto &indexes = seen[chunk.snapshot_id()];
        indexes.insert(chunk.index());
        if (indexes.size() == chunk.count() && chunk.upto_offset() + 1 >= earliest)
            return true;
    }
    return false;
}

void checkBootstrap(RandomLog &log)
{
    const std::uint64_t earliest = log.below(log.records.size());
    LogBootstrap bootstrap;
    auto step = LogBootstrap::Step::More;
    while (step == LogBootstrap::Step::More)
        step = bootstrap.add(log.batch(earliest, bootstrap.next(), 1 + log.below(300)));
    const bool expected = earliest <= 1 || hasUsableSnapshot(log, earliest);
    BOOST_REQUIRE((step == LogBootstrap::Step::Done) == expected);
    if (expected)
        BOOST_REQUIRE(imageOf(bootstrap.take()) == imageOf(log.fold));
}

// A daemon that starts from a peer somewhere and then pulls or reads at random.
void checkPulls(RandomLog &log)
{
    ConfigFold peer;
    ConfigFold daemon;
    std::vector<FoldedChange> folded;
    const std::size_t chunkBytes = 50 + log.below(5000);
    for (const LogRecord &logRecord : log.records) {
        proto::ConfigRecord record;
        if (!record.ParseFromString(logRecord.data))
            record.Clear();
        peer.fold(logRecord.offset, record);
        if (log.below(50) != 0)
            continue;
        const auto delta = peer.deltaChunks(daemon.revision(), "d", chunkBytes);
        if (delta && log.below(5) != 0) {
            BOOST_REQUIRE(daemon.foldDelta(*delta, folded));
        } else {
            auto whole = ConfigFold::fromChunks(peer.chunks("w", chunkBytes));
            BOOST_REQUIRE(whole.has_value());
            daemon = std::move(*whole);
        }
    }
    const auto rest = peer.deltaChunks(daemon.revision(), "d", chunkBytes);
    BOOST_REQUIRE(rest.has_value());
    BOOST_REQUIRE(daemon.foldDelta(*rest, folded));
    BOOST_REQUIRE(imageOf(daemon) == imageOf(log.fold));
}

void checkAgainstModel(const RandomLog &log)
{
    std::vector<std::uint64_t> accepted;
    for (const FoldedChange &folded : log.folded) {
        if (folded.status == ChangeStatus::Accepted)
            accepted.push_back(folded.offset);
    }
    BOOST_REQUIRE(accepted == log.acceptedByModel);
    const auto state = log.fold.state();
    BOOST_REQUIRE_EQUAL(state->items().size(), log.model.items.size());
    std::map<std::string, std::string> backendServersInFailureDomain;
    for (const auto &[key, expected] : log.model.items) {
        const auto item = itemFromProto(expected);
        const Item *found = state->find(keyOf(item->value));
        BOOST_REQUIRE(found);
        BOOST_REQUIRE(itemToProto(*found).SerializeAsString() == expected.SerializeAsString());
        if (expected.has_caller())
            BOOST_REQUIRE(state->callerByToken(expected.caller().token_sha256())->name
                          == expected.name());
        if (expected.has_backend_server())
            backendServersInFailureDomain[expected.backend_server().service()] += expected.name()
                                                                                  + " ";
    }
    for (const char *service : { "n0", "n1", "n2", "n3" }) {
        std::string names;
        for (const BackendServer *found : state->backendServers(service, "p1"))
            names += found->name + " ";
        BOOST_REQUIRE(names == backendServersInFailureDomain[service]);
    }
    for (std::size_t i = 0; i < 5; ++i) {
        const Caller *found = state->callerByToken(tokenOf(i));
        if (found)
            BOOST_REQUIRE(state->find({ ItemKind::Caller, found->name }));
    }
}

// Later changes must not show in a state that a reader still holds.
void checkHeldStates(const RandomLog &log)
{
    for (const auto &[state, image] : log.heldStates)
        BOOST_REQUIRE(imageOf(*state) == image);
}

void check(unsigned seed, std::size_t changes)
{
    BOOST_TEST_CONTEXT("seed " << seed)
    {
        RandomLog log(seed, changes);
        checkAgainstModel(log);
        checkHeldStates(log);
        for (int i = 0; i < 8; ++i)
            checkBootstrap(log);
        checkPulls(log);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(foldmodel)

// Guards against readers that disagree on which changes were accepted, or on the state, depending
// on where they started.
BOOST_AUTO_TEST_CASE(fold_randomLogs_allReadersReachTheModelsState)
{
    for (unsigned seed = 1; seed <= 300; ++seed)
        check(seed, 50 + seed);
}

// The same for logs on which ids of old changes are forgotten and repeated.
BOOST_AUTO_TEST_CASE(fold_longRandomLogs_allReadersReachTheModelsState)
{
    for (unsigned seed = 1001; seed <= 1004; ++seed)
        check(seed, 2 * kRecentChangeIds);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn
