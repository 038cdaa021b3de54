// The whole path with real processes: six daemons in three failure domains of two regions, 15
// engines, 3 plain backend servers.

#include "auburn/core/lasterror.h"
#include "cluster.h"
#include "httpcaller.h"

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <fstream>

namespace auburn::testing {

namespace {

struct PathFixture
{
    PathFixture()
    {
        cluster = Cluster::start({ .failureDomains = { { .name = "a1", .region = "region-a" },
                                                       { .name = "a2", .region = "region-a" },
                                                       { .name = "b1", .region = "region-b" } },
                                   .trace = true });
        BOOST_REQUIRE_MESSAGE(cluster, lastError());
    }

    DaemonSlot &first() const { return cluster->daemons().front(); }
    DaemonSlot &last() const { return cluster->daemons().back(); }

    std::string readMetrics(const DaemonSlot &daemon) const
    {
        return Cluster::get(daemon.statusAddress(), "/metrics").body;
    }

    std::unique_ptr<Cluster> cluster;
};

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(path, PathFixture)

// Guards against a daemon, failure domain or class that cannot be served, and against answers that
// are cut or differ between the streamed and the plain form of one prompt.
BOOST_AUTO_TEST_CASE(chat_everyClassThroughEveryDaemon_wholeAnswer)
{
    for (const DaemonSlot &daemon : cluster->daemons()) {
        for (const CallerSpec &caller : Cluster::standardCallers()) {
            const HttpAnswer plain = httpCall(cluster->chat(daemon, caller.token, "hello", 8));
            BOOST_TEST(plain.status == 200);
            BOOST_TEST(plain.header("auburn-verdict") == "ran");
            BOOST_TEST(!completionText(plain).empty());
            BOOST_TEST(!plain.header("x-request-id").empty());
            const HttpAnswer stream = httpCall(
                    cluster->chat(daemon, caller.token, "hello", 8, true));
            BOOST_TEST(stream.status == 200);
            BOOST_TEST(streamDone(stream));
            BOOST_TEST(!completionText(stream).empty());
        }
    }
    BOOST_TEST(contains(readMetrics(first()), "auburn_requests_total"));
}

// Guards against a trace that loses one of the hops.
BOOST_AUTO_TEST_CASE(trace_servedRequest_hasASpanForEachHop)
{
    const HttpAnswer answer = httpCall(cluster->chat(first(), "token-interactive", "hello", 4));
    BOOST_REQUIRE(answer.status == 200);
    const std::string path = cluster->folder() + "/" + first().id + ".trace";
    const auto traced = [&](const std::string &name) {
        std::ifstream file(path);
        const std::string text(std::istreambuf_iterator<char>(file), {});
        return contains(text, "\"name\":\"" + name + "\"");
    };
    for (const char *name : { "caller", "queue", "attempt", "backend_server" })
        BOOST_TEST(waitFor([&] { return traced(name); }), "no span " << name);
}

// Guards against an operator's change that is not in force everywhere when --wait returns.
BOOST_AUTO_TEST_CASE(ctl_setWithWait_inForceInEveryFailureDomain)
{
    const ProgramResult set = cluster->ctl(
            first(), "set class night tier=5 first_token=9s token_gap=90ms", { "--wait" });
    BOOST_TEST(set.exitCode == 0, set.output);
    for (const DaemonSlot &daemon : cluster->daemons()) {
        const ProgramResult show = cluster->ctl(daemon, "show classes where name = night");
        BOOST_TEST(contains(show.output, "night"), daemon.id << ": " << show.output);
    }
}

// Guards against scripts that cannot tell the kinds of failure apart.
BOOST_AUTO_TEST_CASE(ctl_mistakes_haveTheirExitCodes)
{
    BOOST_TEST(cluster->ctl(first(), "shwo classes").exitCode == 2);
    BOOST_TEST(cluster->ctl(first(), "drain backend_server nobody").exitCode == 3);
    BOOST_TEST(cluster->ctl(first(), "set class batch tier=6 if revision 1").exitCode == 4);
}

// Guards against a backend server that is drained by an operator and goes on to receive requests.
BOOST_AUTO_TEST_CASE(drain_backendServerByOperator_getsNoNewRequest)
{
    const BackendServerSlot &drained = cluster->backendServers().front();
    const ProgramResult drain = cluster->ctl(first(), "drain backend_server " + drained.name,
                                             { "--wait" });
    BOOST_REQUIRE_MESSAGE(drain.exitCode == 0, drain.output);
    const std::string before = Cluster::get(drained.address, "/control/executions").body;
    for (const DaemonSlot &daemon : cluster->daemons()) {
        for (int i = 0; i < 4; ++i)
            BOOST_TEST(httpCall(cluster->chat(daemon, "token-standard", "x", 2)).status == 200);
    }
    BOOST_TEST(Cluster::get(drained.address, "/control/executions").body == before);
}

// Guards against a caller who learns anything without a valid token.
BOOST_AUTO_TEST_CASE(chat_unknownToken_refusedAsDidNotRun)
{
    const HttpAnswer answer = httpCall(cluster->chat(first(), "token-nobody", "x", 2));
    BOOST_TEST(answer.status == 401);
    BOOST_TEST(answer.header("auburn-verdict") == "did-not-run");
    BOOST_TEST(contains(answer.body, "\"unauthorized\""));
}

// Guards against a plain service that is unreachable beside the engines.
BOOST_AUTO_TEST_CASE(service_plainCall_isRouted)
{
    const HttpAnswer answer = httpCall(
            { .method = "GET",
              .address = last().callerAddress(),
              .target = "/v1/services/inventory/items/7",
              .headers = { { "Authorization", "Bearer token-standard" } },
              .body = {} });
    BOOST_TEST(answer.status == 200, answer.body);
}

// Guards against a stop that cuts off a long stream, or that the balancer does not see first.
BOOST_AUTO_TEST_CASE(stop_daemonWithStream_streamIsWhole)
{
    bool stopped = false;
    const HttpAnswer answer = httpCall(
            cluster->chat(first(), "token-interactive", "long", 200, true),
            [&](const std::string &) {
                if (!stopped) {
                    first().process->sendSignal(SIGTERM);
                    BOOST_TEST(waitFor([&] {
                        return Cluster::get(first().statusAddress(), "/readyz").status == 503;
                    }));
                    stopped = true;
                }
                return true;
            });
    BOOST_TEST(stopped);
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(streamDone(answer));
    const auto code = first().process->waitForExit(std::chrono::seconds(30));
    BOOST_TEST((code == 0), "the daemon did not end by itself");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::testing
