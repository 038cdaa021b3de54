#include "auburn/routing/cell.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <set>

namespace auburn::routing {

namespace {

struct CellFixture
{
    void addEngines(const std::string &domain, unsigned count)
    {
        for (unsigned i = 0; i < count; ++i) {
            const std::string id = "i-" + domain + std::to_string(i);
            directory.update({ .id = id,
                               .service = engines.name,
                               .address = id + ":80",
                               .failureDomain = domain,
                               .slots = 32 },
                             ++position);
        }
    }

    Cell cellForSession(std::uint64_t session, const std::string &ownDomain = "a") const
    {
        return cellForQuery(directory.readyServers(engines.name), query(session), ownDomain);
    }

    PlacementQuery query(std::uint64_t session) const
    {
        return { .service = &engines,
                 .prompt = { { .id = session, .tokens = 4000 },
                             { .id = session + 1000000, .tokens = 2000 } } };
    }

    std::map<std::string, unsigned> enginesByCell(const std::set<std::string> &domains) const
    {
        std::map<std::string, unsigned> counts;
        for (std::uint64_t session = 0; session < 2000; ++session) {
            const Cell cell = cellForSession(session);
            BOOST_TEST(domains.contains(cell.failureDomain));
            const std::string key = cell.failureDomain + std::to_string(cell.part);
            if (counts.contains(key))
                continue;
            for (const BackendServer *server : directory.readyServers(engines.name))
                counts[key] += cell.contains(*server) ? 1 : 0;
        }
        return counts;
    }

    const Service engines{ .name = "engines",
                           .engine = EngineModel{ .slots = 32, .cacheTokens = 300000 } };
    ServerDirectory directory;
    std::uint64_t position = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(cell, CellFixture)

BOOST_AUTO_TEST_CASE(cellForQuery_session_isTheSameForAllDaemons)
{
    addEngines("a", 6);
    addEngines("b", 6);
    std::map<std::string, unsigned> sessions;
    for (std::uint64_t session = 0; session < 200; ++session) {
        const Cell cell = cellForSession(session, "a");
        BOOST_CHECK(cell == cellForSession(session, "b"));
        ++sessions[cell.failureDomain];
    }
    BOOST_TEST(sessions["a"] > 60U);
    BOOST_TEST(sessions["b"] > 60U);
}

BOOST_AUTO_TEST_CASE(cellForQuery_gapSensitiveStream_isInTheOwnDomain)
{
    addEngines("a", 6);
    addEngines("b", 6);
    PlacementQuery stream = query(1);
    stream.gapSensitiveStream = true;
    const auto servers = directory.readyServers(engines.name);
    BOOST_TEST(cellForQuery(servers, stream, "a").failureDomain == "a");
    BOOST_TEST(cellForQuery(servers, stream, "b").failureDomain == "b");
}

BOOST_AUTO_TEST_CASE(cellForQuery_noServer_hasNoDomain)
{
    BOOST_TEST(cellForSession(1).failureDomain.empty());
}

// A failure domain of the benchmark's grown sites must not be divided.
BOOST_AUTO_TEST_CASE(cellForQuery_fifteenEngines_isTheWholeDomain)
{
    addEngines("a", 15);
    const auto counts = enginesByCell({ "a" });
    BOOST_REQUIRE(counts.size() == 1U);
    BOOST_TEST(counts.begin()->second == 15U);
}

// Guards against a single owner for the requests of 330 engines: at 0.24 ms for each placement and
// 2,000 requests per second that takes half of a core.
BOOST_AUTO_TEST_CASE(cellForQuery_manyEngines_cellsCoverAllEngines)
{
    addEngines("a", 330);
    const auto counts = enginesByCell({ "a" });
    BOOST_TEST(counts.size() == 16U);
    unsigned total = 0;
    for (const auto &[key, count] : counts) {
        BOOST_TEST(count > 0U);
        BOOST_TEST(count <= 40U);
        total += count;
    }
    BOOST_TEST(total == 330U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::routing
