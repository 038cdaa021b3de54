// The operator takes the last tenant out of the configuration. No key is valid then, so no request
// of a route that is not public may run.
#include "../standins-2/standins.h"

#include <algorithm>
#include <set>

namespace {

using namespace review;

constexpr int kRequests = 10;
constexpr milliseconds kTimeout{ 3000 };
// More than config_apply_ms, 2,500.
constexpr milliseconds kApplyTime{ 5000 };

std::string makeConfig(int version, const std::string &tenants)
{
    return R"({"version":)" + std::to_string(version)
           + R"(,"routes":[{"name":"r-1","host":"shop.example","path_prefix":"/orders/",)"
             R"("kind":"unsafe","timeout_ms":2500,"slo_ms":400,"priority":0,"service":"desk",)"
             R"("max_attempts":1,"public":false,"sticky":false,"resumable":false}],"services":[)"
             R"({"name":"desk","health_path":"/healthz","max_conns":96,"protocol":"h1",)"
             R"("tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
             R"("header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":)"
           + tenants + "}";
}

class Case
{
public:
    explicit Case(const std::string &recordPath)
        : scenario_(recordPath)
        , store_(scenario_.ip(2))
        , server_(store_, { .id = "i-1", .service = "desk", .ip = scenario_.ip(3) },
                  [this](Message &request, Connection &connection) {
                      return answer(request, connection);
                  })
        , daemon_({ .name = "edge-1",
                    .ip = scenario_.ip(10),
                    .storeAddress = store_.address(),
                    .seeds = { scenario_.ip(10) + ":8748" } },
                  scenario_.folder() + "/edge-1")
    {}

    int run()
    {
        store_.append("keyed.op", "config",
                      makeConfig(3, R"([{"name":"t-1","keys":["key-1"],"priority":1}])"));
        daemon_.start();
        if (!daemon_.waitUntilReady(milliseconds(20000)))
            return kNotRun;
        sendRequests("before, key of t-1", "key-1");
        sendRequests("before, key of nobody", "key-2");
        if (ranWith("key-1") != kRequests || ranWith("key-2") != 0)
            return kNotRun;
        const std::string tenants = scenario_.hasTrouble()
                                            ? "[]"
                                            : R"([{"name":"t-1","keys":[],"priority":1}])";
        store_.append("keyed.op", "config", makeConfig(7, tenants));
        scenario_.record().write("operator: version 7 with tenants " + tenants);
        sleepFor(kApplyTime);
        sendRequests("after, key of nobody", "key-2");
        sendRequests("after, key that was taken away", "key-1");
        const int foreign = ranWith("key-2");
        const int revoked = ranWith("key-1") - kRequests;
        scenario_.record().write(std::to_string(foreign)
                                 + " requests ran whose key no configuration ever held, "
                                 + std::to_string(revoked) + " with the dropped key");
        return foreign + revoked > 0 ? kRuleBroken : kRuleHeld;
    }

private:
    bool answer(Message &request, Connection &connection)
    {
        connection.readBody(request, true, kTimeout);
        const std::string id = request.field("Attempt-Id");
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            ran_.insert(id);
        }
        scenario_.record().write("server: runs " + id + ", Tenant '" + request.field("Tenant")
                                 + "'");
        return connection.send(sealedResponse(request, "ordered\n"));
    }

    void sendRequests(const std::string &label, const std::string &key)
    {
        for (int i = 0; i < kRequests; ++i) {
            const std::string id = key + "-" + std::to_string(++count_);
            Connection connection = Connection::open(daemon_.caller());
            std::string text =
                    "POST /orders/1 HTTP/1.1\r\nHost: shop.example\r\nDeadline-Ms: 2500\r\n";
            text.append("Attempt-Id: ").append(id).append("\r\nApi-Key: ").append(key);
            text.append("\r\nContent-Length: 5\r\n\r\norder");
            connection.send(text);
            const auto response = connection.readResponse(kTimeout);
            std::string line = "client: ";
            line.append(label).append(": ").append(id).append(" got ");
            line.append(response ? std::to_string(response->status()) : "no response");
            scenario_.record().write(line);
        }
    }

    int ranWith(const std::string &key)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return static_cast<int>(
                std::count_if(ran_.begin(), ran_.end(), [&key](const std::string &id) {
                    return id.rfind(key + "-", 0) == 0;
                }));
    }

    Scenario scenario_;
    std::mutex mutex_;
    // Ids of the requests that ran.
    std::set<std::string> ran_;
    int count_ = 0;
    Store store_;
    BackendServer server_;
    Daemon daemon_;
};

} // namespace

int main(int argc, char **argv)
{
    return argc == 2 ? Case(argv[1]).run() : kNotRun;
}
