#include "auburn/daemon/statemetrics.h"
#include "auburn/daemon/statusserver.h"
#include "fakebackend.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/test/unit_test.hpp>

namespace auburn {

namespace {

namespace http = boost::beast::http;

struct Fixture
{
    FakeBackend backend;
    Metrics metrics;
    StateMetrics stateMetrics{ metrics, backend };
    std::optional<std::string> notReady;
    std::unique_ptr<StatusServer> server = StatusServer::make(
            { .listen = { .host = "127.0.0.1", .port = 0 },
              .metrics = metrics,
              .notReadyReason = [this] { return notReady; } });

    http::response<http::string_body> get(const std::string &path,
                                          http::verb verb = http::verb::get)
    {
        boost::asio::io_context context;
        boost::asio::ip::tcp::socket socket(context);
        socket.connect({ boost::asio::ip::make_address("127.0.0.1"), server->address().port });
        http::write(socket, http::request<http::empty_body>(verb, path, 11));
        boost::beast::flat_buffer buffer;
        http::response<http::string_body> response;
        http::read(socket, buffer, response);
        return response;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(statusserver, Fixture)

// Guards against reporting ready too early, which would make a load balancer send callers to a
// daemon that cannot serve them.
BOOST_AUTO_TEST_CASE(readyz_notReady_is503WithReason)
{
    BOOST_REQUIRE(server);
    BOOST_TEST(get("/readyz").result_int() == 200U);
    notReady = "draining";
    const auto response = get("/readyz");
    BOOST_TEST(response.result_int() == 503U);
    BOOST_TEST(response.body() == "draining\n");
    BOOST_TEST(get("/healthz").result_int() == 200U);
    BOOST_TEST(get("/other").result_int() == 404U);
    BOOST_TEST(get("/healthz", http::verb::post).result_int() == 405U);
}

// Guards against gauges with values of the wrong items, and against a removed service that keeps
// its last values.
BOOST_AUTO_TEST_CASE(metrics_stateChanges_reportsCurrentValues)
{
    const std::string text = get("/metrics").body();
    for (const std::string line :
         { "auburn_config_revision 8\n", "auburn_members{status=\"ready\"} 1\n",
           "auburn_members{status=\"draining\"} 0\n", "auburn_slots_free{service=\"chat\"} 3\n",
           "auburn_waiting_requests{service=\"chat\",tier=\"2\"} 2\n",
           "auburn_failure_domain_reachable{failure_domain=\"b\"} 1\n",
           "auburn_leaving_backend_servers 1\n" })
        BOOST_TEST(text.find(line) != std::string::npos, line);
    backend.clearCells();
    BOOST_TEST(get("/metrics").body().find("auburn_slots_free{service=\"chat\"} 0\n")
               != std::string::npos);
}

// Guards against a second daemon that reports a successful start on an address that is in use.
BOOST_AUTO_TEST_CASE(make_addressInUse_fails)
{
    BOOST_TEST(!StatusServer::make({ .listen = server->address(), .metrics = metrics }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn
