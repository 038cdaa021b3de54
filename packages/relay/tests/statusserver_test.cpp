#include "relayfixture.h"

#include "auburn/relay/statusserver.h"

#include <boost/test/unit_test.hpp>

#include <atomic>

namespace auburn {

BOOST_AUTO_TEST_SUITE(statusServer)

// Guards against a balancer that keeps sending to a daemon that is not ready.
BOOST_AUTO_TEST_CASE(readyz_followsTheCallback)
{
    std::atomic<bool> ready{ true };
    const auto server = StatusServer::make({ .ready = [&ready] { return ready.load(); },
                                             .metrics = [] { return std::string("up 1\n"); } });
    BOOST_REQUIRE(server);
    test::Client client(server->port());
    const auto get = [&client](const std::string &path) {
        client.send("GET " + path + " HTTP/1.1\r\n\r\n");
        return client.receive();
    };
    BOOST_TEST(get("/readyz").status == 200);
    ready = false;
    BOOST_TEST(get("/readyz").status == 503);
    BOOST_TEST(get("/healthz").status == 200);
    BOOST_TEST(get("/metrics").body == "up 1\n");
    BOOST_TEST(get("/other").status == 404);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn
