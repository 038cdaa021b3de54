#include "scalingmetrics.h"

#include <boost/test/unit_test.hpp>

namespace auburn::scaling {

BOOST_AUTO_TEST_SUITE(scalingMetrics)

// Guards against gauges that keep their last value after the last server of a group has gone.
BOOST_AUTO_TEST_CASE(servers_lastOneGone_showsZero)
{
    Metrics metrics;
    ScalingMetrics scaling(&metrics);
    const Gauge &listed = metrics.gauge(
            "auburn_scaling_listed_servers", "",
            { { "service", "e" }, { "failure_domain", "a" }, { "kind", "spot" } });
    FleetState state;
    ServiceState &service = state.services.emplace_back();
    service.name = "e";
    service.domains["a"].spot = 3;
    scaling.setServers(state, {});
    BOOST_TEST(listed.value() == 3);
    service.domains.clear();
    service.domains["b"].spot = 1;
    scaling.setServers(state, {});
    BOOST_TEST(listed.value() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::scaling
