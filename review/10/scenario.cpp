// A client asks for the head of a stream and then places an order on the same connection. Nothing
// may arrive between the two responses.
#include "../standins-2/standins.h"

#include <poll.h>
#include <sys/socket.h>

namespace {

using namespace review;

constexpr int kRepetitions = 10;
constexpr milliseconds kTimeout{ 2000 };
// Time in which bytes that follow the first response arrive.
constexpr milliseconds kPause{ 200 };
constexpr const char *kEvents = "id: 1\ndata: a quote\n\nid: 2\ndata: its end\n\n";

constexpr const char *kConfig =
        R"({"version":3,"routes":[{"name":"r-1","host":"shop.example","path_prefix":"/quotes/",)"
        R"("kind":"streaming","timeout_ms":6000,"slo_ms":600,"priority":1,"service":"desk",)"
        R"("max_attempts":1,"public":false,"sticky":true,"resumable":false,"gap_target_ms":300},)"
        R"({"name":"r-2","host":"shop.example","path_prefix":"/orders/","kind":"unsafe",)"
        R"("timeout_ms":2500,"slo_ms":400,"priority":2,"service":"desk","max_attempts":1,)"
        R"("public":false,"sticky":false,"resumable":false}],"services":[{"name":"desk",)"
        R"("health_path":"/healthz","max_conns":96,"protocol":"h1","tls":false}],"limits":)"
        R"({"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,)"
        R"("idle_timeout_ms":15000},"tenants":[{"name":"t-1","keys":["key-1"],"priority":1}]})";

std::string makeRequest(const std::string &method, const std::string &path, const std::string &id)
{
    std::string text = method;
    text.append(" ").append(path).append(" HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: ");
    text.append(id).append("\r\nApi-Key: key-1\r\nDeadline-Ms: 2500\r\n");
    text.append(method == "POST" ? "Content-Length: 5\r\n\r\norder" : "\r\n");
    return text;
}

std::string escaped(const std::string &bytes)
{
    std::string text;
    for (const char byte : bytes) {
        if (byte == '\r')
            text += "\\r";
        else if (byte == '\n')
            text += "\\n";
        else
            text += byte;
    }
    return text;
}

// Bytes that have arrived and belong to no response: no request is waiting.
std::string unrequestedBytes(const Connection &connection)
{
    char bytes[256];
    pollfd entry{ .fd = connection.descriptor(), .events = POLLIN, .revents = 0 };
    if (::poll(&entry, 1, static_cast<int>(kPause.count())) != 1)
        return {};
    const ssize_t size = ::recv(connection.descriptor(), bytes, sizeof(bytes), MSG_PEEK);
    return size > 0 ? std::string(bytes, static_cast<std::size_t>(size)) : std::string();
}

int run(const std::string &recordPath)
{
    Scenario scenario(recordPath);
    Store store(scenario.ip(2));
    store.append("keyed.op", "config", kConfig);
    std::atomic<int> orders{ 0 };
    BackendServer server(
            store, { .id = "i-1", .service = "desk", .ip = scenario.ip(3) },
            [&](Message &request, Connection &connection) {
                connection.readBody(request, true, kTimeout);
                const bool isStream = request.target().rfind("/quotes/", 0) == 0;
                orders += isStream ? 0 : 1;
                scenario.record().write("server: runs " + request.startLine);
                const std::string response = sealedResponse(request,
                                                            isStream ? kEvents : "ordered\n");
                const bool isHead = request.method() == "HEAD";
                return connection.send(isHead ? response.substr(0, response.find("\r\n\r\n") + 4)
                                              : response);
            });
    Daemon daemon({ .name = "edge-1",
                    .ip = scenario.ip(10),
                    .storeAddress = store.address(),
                    .seeds = { scenario.ip(10) + ":8748" } },
                  scenario.folder() + "/edge-1");
    daemon.start();
    if (!daemon.waitUntilReady(milliseconds(20000)))
        return kNotRun;
    int unrequested = 0;
    int unreadable = 0;
    for (int i = 0; i < kRepetitions; ++i) {
        const std::string number = std::to_string(i);
        Connection connection = Connection::open(daemon.caller());
        const std::string method = scenario.hasTrouble() ? "HEAD" : "POST";
        connection.send(makeRequest(method, "/quotes/" + number, "q" + number));
        // A response to HEAD ends with its head.
        const auto first = method == "HEAD" ? connection.readHead(kTimeout)
                                            : connection.readResponse(kTimeout);
        if (!first || first->status() != 200)
            return kNotRun;
        const std::string bytes = connection.buffered() + unrequestedBytes(connection);
        unrequested += bytes.empty() ? 0 : 1;
        connection.send(makeRequest("POST", "/orders/" + number, "o" + number));
        const auto second = connection.readResponse(kTimeout);
        const bool readable = second && second->startLine.rfind("HTTP/1.1 ", 0) == 0;
        unreadable += readable ? 0 : 1;
        std::string line = "client: after the response to ";
        line.append(method).append(" '").append(escaped(bytes)).append("'; start of the response ");
        line.append("to the order: '").append(second ? second->startLine : "").append("'");
        scenario.record().write(line);
    }
    scenario.record().write(std::to_string(unrequested) + " of " + std::to_string(kRepetitions)
                            + " responses were followed by bytes that are no answer; "
                            + std::to_string(orders) + " orders ran, the answers to "
                            + std::to_string(unreadable) + " of them could not be read");
    return unrequested > 0 ? kRuleBroken : kRuleHeld;
}

} // namespace

int main(int argc, char **argv)
{
    return argc == 2 ? run(argv[1]) : kNotRun;
}
