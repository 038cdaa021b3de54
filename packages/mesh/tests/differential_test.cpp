#include "gossipsim.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <map>
#include <random>
#include <set>

namespace auburn {

namespace differential {

using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

// ReferenceFailureDomain is the reference protocol: every member sends its whole state to every
// other member in every round.
class ReferenceFailureDomain
{
public:
    struct Row
    {
        std::uint64_t version = 0;
        MemberStatus status = MemberStatus::Starting;
        std::uint64_t revision = 0;
        unsigned freeSlots = 0;
        bool hasLoad = false;
    };
    struct State
    {
        std::map<std::string, Row> rows;
        std::map<std::string, std::chrono::milliseconds> lastHeartbeatAt;
        std::map<std::string, std::pair<std::uint64_t, bool>> marks;
    };

    void round(std::chrono::milliseconds now)
    {
        for (const std::string &id : running)
            ++states[id].rows[id].version;
        const std::map<std::string, State> before = states;
        for (const std::string &to : running) {
            for (const std::string &from : running)
                merge(states[to], before.at(from), now);
        }
    }

    MemberStatus statusAt(const std::string &observer, const std::string &id,
                          std::chrono::milliseconds now) const
    {
        const State &state = states.at(observer);
        const Row &row = state.rows.at(id);
        const bool hasTimedOut = id != observer
                                 && now - state.lastHeartbeatAt.at(id) > kFailureTimeout;
        return hasTimedOut && row.status != MemberStatus::Left ? MemberStatus::Dead : row.status;
    }

    std::set<std::string> running;
    std::map<std::string, State> states;

private:
    static void merge(State &to, const State &from, std::chrono::milliseconds now)
    {
        for (const auto &[id, row] : from.rows) {
            Row &known = to.rows[id];
            if (row.version <= known.version)
                continue;
            known = row;
            to.lastHeartbeatAt[id] = now;
        }
        for (const auto &[backendServer, mark] : from.marks)
            to.marks[backendServer] = std::max(to.marks[backendServer], mark);
    }
};

// ProtocolComparison applies the same random changes to the gossip protocol and to the reference,
// and compares the resulting views.
class ProtocolComparison
{
public:
    explicit ProtocolComparison(std::uint64_t seed)
        : sim_(seed)
        , random_(seed)
    {
        sim_.loss = 0.05;
        // Each member changes its own revision only, so that both protocols see the same changes.
        sim_.pullsConfiguration = false;
        for (int i = 0; i < 16; ++i)
            join();
    }

    // Changes the membership, a status, a revision, a load or a mark.
    void applyRandomChange()
    {
        const std::vector<std::string> running(reference_.running.begin(),
                                               reference_.running.end());
        const std::string &id = running[random_() % running.size()];
        const std::size_t index = indexes_[id];
        ReferenceFailureDomain::Row &own = reference_.states[id].rows[id];
        switch (random_() % 7) {
        case 0:
            return join();
        case 1:
            return stop(id, MemberStatus::Left);
        case 2:
            return stop(id, own.status);
        case 3:
            return setStatus(id, MemberStatus::Draining);
        case 4:
            own.revision += 1 + random_() % 100;
            return sim_.apply(index, [&own](GossipCore &core, GossipTime now) {
                core.setConfigRevision(own.revision, now);
            });
        case 5:
            own.freeSlots = static_cast<unsigned>(random_() % 50);
            own.hasLoad = true;
            return sim_.apply(index, [&own, &id](GossipCore &core, GossipTime) {
                core.setCellLoads({ CellLoad{ .service = id, .freeSlots = own.freeSlots } });
            });
        default:
            return setLeavingMark(id);
        }
    }

    // Runs both protocols long enough for all changes to propagate.
    void runRounds()
    {
        for (int i = 0; i < 14; ++i) {
            sim_.run(1s);
            reference_.round(sim_.now());
        }
    }

    void compare()
    {
        for (const std::string &observer : reference_.running) {
            const auto view = sim_.view(indexes_[observer]);
            for (const Member &member : view->members) {
                const auto &row = reference_.states[observer].rows[member.id];
                BOOST_TEST((member.status == reference_.statusAt(observer, member.id, sim_.now())));
                BOOST_TEST(member.configRevision == row.revision);
            }
            std::map<std::string, unsigned> loads;
            for (const CellLoad &cell : view->cells)
                loads[cell.owner] = cell.freeSlots;
            // Both protocols know at least all running members. They may remove stopped members at
            // different times.
            for (const std::string &id : reference_.running) {
                const auto &row = reference_.states[observer].rows[id];
                BOOST_TEST(std::any_of(view->members.begin(), view->members.end(),
                                       [&id](const Member &member) { return member.id == id; }));
                BOOST_TEST(loads.contains(id) == row.hasLoad);
                BOOST_TEST(loads[id] == row.freeSlots);
            }
            std::set<std::string> leaving;
            for (const auto &[backendServer, mark] : reference_.states[observer].marks) {
                if (mark.second)
                    leaving.insert(backendServer);
            }
            BOOST_TEST(view->leavingBackendServers == leaving, boost::test_tools::per_element());
        }
    }

private:
    void join()
    {
        const std::string id = "d" + std::to_string(indexes_.size());
        indexes_[id] = sim_.add(
                GossipOptions{ .selfId = id,
                               .failureDomain = "p",
                               .region = "r",
                               .seeds = { "tcp://10.20.0.1:7700", "tcp://10.20.0.2:7700",
                                          "tcp://10.20.0.3:7700" } });
        reference_.running.insert(id);
        reference_.states[id].rows[id].version = 1;
        setStatus(id, MemberStatus::Ready);
    }

    void setStatus(const std::string &id, MemberStatus status)
    {
        reference_.states[id].rows[id].status = status;
        sim_.apply(indexes_[id],
                   [status](GossipCore &core, GossipTime now) { core.setStatus(status, now); });
    }

    // Stops a member. Members 0 to 2 are the seeds and are never stopped.
    void stop(const std::string &id, MemberStatus status)
    {
        if (indexes_[id] < 3)
            return;
        setStatus(id, status);
        // The last state propagates before the member stops, as in a real shutdown.
        runRounds();
        sim_.kill(indexes_[id]);
        reference_.running.erase(id);
    }

    void setLeavingMark(const std::string &id)
    {
        const std::string backendServer = "server-" + std::to_string(random_() % 5);
        const bool leaving = random_() % 2 == 0;
        auto &known = reference_.states[id].marks[backendServer];
        known = { known.first + 1, leaving };
        sim_.apply(indexes_[id], [&](GossipCore &core, GossipTime now) {
            core.markLeaving(backendServer, leaving, now);
        });
    }

    GossipSim sim_;
    std::mt19937_64 random_;
    ReferenceFailureDomain reference_;
    std::map<std::string, std::size_t> indexes_;
};

} // namespace differential

BOOST_AUTO_TEST_SUITE(gossipdifferential)

// Guards against compact tables, encoded distances and partial replies that lose or corrupt
// information which a full exchange of all state would transfer.
BOOST_DATA_TEST_CASE(gossip_randomChanges_equalsFullExchange, differential::data::xrange(1, 21),
                     seed)
{
    differential::ProtocolComparison comparison(static_cast<std::uint64_t>(seed));
    comparison.runRounds();
    for (int change = 0; change < 25; ++change) {
        comparison.applyRandomChange();
        comparison.runRounds();
        comparison.compare();
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn
