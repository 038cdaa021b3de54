#include "composition.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace auburn::scaling {

namespace {

unsigned sum(const std::vector<DomainComposition> &composition)
{
    unsigned servers = 0;
    for (const DomainComposition &domain : composition)
        servers += domain.total();
    return servers;
}

const DomainLimits kOpen{ .onDemand = 48, .spot = 48 };

} // namespace

BOOST_AUTO_TEST_SUITE(composition)

// Guards against a fleet that is too small once the spot servers of one failure domain are gone.
BOOST_AUTO_TEST_CASE(compose_anyNeed_coversTheLossOfOneDomainsSpotServers)
{
    for (unsigned domains = 1; domains <= 6; ++domains) {
        for (unsigned servers = domains; servers <= 30 * domains; ++servers) {
            const CompositionNeed need{ .servers = servers,
                                        .withoutReserve = servers * 2 / 3,
                                        .spotShare = 0.75,
                                        .maxPerDomain = 48 };
            const auto result = compose(need, std::vector<DomainLimits>(domains, kOpen));
            BOOST_REQUIRE(sum(result) == servers);
            for (const DomainComposition &domain : result) {
                BOOST_REQUIRE(domain.onDemand >= 1);
                BOOST_REQUIRE(servers - domain.spot >= need.withoutReserve);
            }
        }
    }
}

// Guards against needs that are not met because one kind cannot be had in some places.
BOOST_AUTO_TEST_CASE(compose_unavailableKinds_areReplacedElsewhere)
{
    const CompositionNeed need{
        .servers = 60, .withoutReserve = 40, .spotShare = 0.75, .maxPerDomain = 48
    };
    const DomainLimits noSpot{ .onDemand = 48 };
    const auto oneDry = compose(need, { noSpot, kOpen, kOpen });
    BOOST_TEST(sum(oneDry) == 60U);
    BOOST_TEST(oneDry[0].spot == 0U);
    BOOST_TEST(oneDry[1].spot == 20U);
    const auto allDry = compose(need, { noSpot, noSpot, noSpot });
    BOOST_TEST(sum(allDry) == 60U);
    const DomainLimits onlySpot{ .spot = 48 };
    BOOST_TEST(sum(compose(need, { onlySpot, onlySpot, onlySpot })) == 60U);
}

// Guards against a price that empties a failure domain, and against one that is ignored.
BOOST_AUTO_TEST_CASE(compose_cheaperDomain_getsMoreButNotAll)
{
    DomainLimits cheap = kOpen;
    cheap.price = 0.8;
    const auto result = compose(
            { .servers = 60, .withoutReserve = 40, .spotShare = 0.75, .maxPerDomain = 48 },
            { kOpen, cheap, kOpen });
    BOOST_TEST(result[1].total() > result[0].total());
    BOOST_TEST(result[0].total() >= 15U);
}

// Guards against numbers outside the bounds of the operators' configuration.
BOOST_AUTO_TEST_CASE(compose_bounds_areKept)
{
    const std::vector<DomainLimits> domains{ kOpen, kOpen };
    BOOST_TEST(sum(compose({ .servers = 500, .spotShare = 0.75, .maxPerDomain = 48 }, domains))
               == 96U);
    for (const DomainComposition &domain :
         compose({ .servers = 4, .minPerDomain = 3, .maxPerDomain = 48 }, domains))
        BOOST_TEST(domain.total() >= 3U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::scaling
