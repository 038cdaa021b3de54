// A server answers before it has read a long body. Its answer has no length, and the connection is
// reset halfway through it, or the server reads the rest of the body only some seconds later. The
// caller must not get the first half as a complete response.
#include "../standins-2/standins.h"

namespace {

using namespace review;

constexpr std::size_t kRequestBytes = std::size_t{ 4 } * 1024 * 1024;
constexpr std::size_t kAnswerBytes = 4000;
constexpr int kRequests = 10;
// The other connections are not reset; the server reads on late.
constexpr int kResets = 6;
constexpr milliseconds kTimeout{ 6000 };
// Time between the first half of the answer and the reset, or the rest.
constexpr milliseconds kHalfwayPause{ 100 };
constexpr milliseconds kLongPause{ 3500 };

constexpr const char *kConfig =
        R"({"version":3,"routes":[{"name":"r-1","host":"shop.example","path_prefix":"/orders/",)"
        R"("kind":"unsafe","timeout_ms":6000,"slo_ms":400,"priority":0,"service":"desk",)"
        R"("max_attempts":1,"public":true,"sticky":false,"resumable":false}],"services":[)"
        R"({"name":"desk","health_path":"/healthz","max_conns":96,"protocol":"h1","tls":false}],)"
        R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,)"
        R"("idle_timeout_ms":15000}})";

std::string answerBody()
{
    std::string body;
    while (body.size() < kAnswerBytes)
        body += "line " + std::to_string(body.size()) + "\n";
    return body.substr(0, kAnswerBytes);
}

// Sends the answer in two halves. After the first one the connection is reset, or the request is
// read to its end, so that the close of the connection is no reset.
bool answer(Message &request, Connection &connection, Scenario &scenario)
{
    const std::string body = answerBody();
    const std::string id = request.field("Attempt-Id");
    const bool resets = scenario.hasTrouble() && std::stoi(id.substr(1)) < kResets;
    const bool readsLate = scenario.hasTrouble() && !resets;
    connection.send("HTTP/1.1 200 OK\r\nAttempt-Id: " + id
                    + "\r\nResponse-Seal: s1\r\nConnection: close\r\n\r\n"
                    + body.substr(0, kAnswerBytes / 2));
    sleepFor(readsLate ? kLongPause : kHalfwayPause);
    if (resets) {
        scenario.record().write("server: " + id + " half of the answer sent, connection reset");
        connection.reset();
        return false;
    }
    connection.readBody(request, true, kTimeout);
    const bool sent = request.complete && connection.send(body.substr(kAnswerBytes / 2));
    scenario.record().write("server: " + id
                            + (sent ? " whole answer sent, connection closed"
                                    : " half of the answer sent, the daemon has ended the "
                                      "connection"));
    return false;
}

int run(const std::string &recordPath)
{
    Scenario scenario(recordPath);
    Store store(scenario.ip(2));
    store.append("keyed.op", "config", kConfig);
    BackendServer server(
            store, { .id = "i-1", .service = "desk", .ip = scenario.ip(3), .receiveBuffer = 16384 },
            [&scenario](Message &request, Connection &connection) {
                return answer(request, connection, scenario);
            });
    Daemon daemon({ .name = "edge-1",
                    .ip = scenario.ip(10),
                    .storeAddress = store.address(),
                    .seeds = { scenario.ip(10) + ":8748" } },
                  scenario.folder() + "/edge-1");
    daemon.start();
    if (!daemon.waitUntilReady(milliseconds(20000)))
        return kNotRun;
    const std::string expected = answerBody();
    int truncated = 0;
    int whole = 0;
    for (int i = 0; i < kRequests; ++i) {
        const std::string id = "a" + std::to_string(i);
        Connection connection = Connection::open(daemon.caller());
        connection.send("POST /orders/" + std::to_string(i)
                        + " HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + id
                        + "\r\nDeadline-Ms: 6000\r\nContent-Length: "
                        + std::to_string(kRequestBytes) + "\r\n\r\n"
                        + std::string(kRequestBytes, 'b'));
        const auto response = connection.readResponse(kTimeout);
        const bool success = response && response->complete && response->status() / 100 == 2;
        truncated += success && response->body != expected ? 1 : 0;
        whole += success && response->body == expected ? 1 : 0;
        scenario.record().write(
                "client: " + id + " got "
                + (response ? std::to_string(response->status()) + ", seal '"
                                      + response->field("Response-Seal") + "', body of "
                                      + std::to_string(response->body.size()) + " of "
                                      + std::to_string(expected.size()) + " bytes, "
                                      + (response->complete ? "complete" : "incomplete")
                            : "no response"));
    }
    scenario.record().write(std::to_string(truncated) + " successes with half of the body, "
                            + std::to_string(whole) + " with the whole body");
    if (truncated > 0)
        return kRuleBroken;
    return scenario.hasTrouble() || whole == kRequests ? kRuleHeld : kNotRun;
}

} // namespace

int main(int argc, char **argv)
{
    return argc == 2 ? run(argv[1]) : kNotRun;
}
