#include "fleet.h"

#include <cstdlib>
#include <filesystem>
#include <iostream>

namespace review {

namespace {

const std::vector<std::string> kZones{ "kuching-a", "pasir-gudang-a", "ipoh-a" };

constexpr const char *kPlainService =
        R"({"name":"desk","health_path":"/healthz","max_conns":96,"protocol":"h1","tls":false})";
constexpr const char *kEngineService =
        R"({"name":"desk","health_path":"/healthz","max_conns":610,"protocol":"h1","tls":false,)"
        R"("engine":{"slots":128,"kv_capacity":525395,"kv_token_bytes":35136,"link_mbps":370000.0,)"
        R"("moves":true,"backups":true,"stride":3,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,)"
        R"("handle_s":5.0,"models":[{"name":"m"}]}})";

std::string makeRoute(const RouteOptions &route)
{
    return R"({"name":")" + route.name + R"(","host":"desk.example","path_prefix":")"
           + route.pathPrefix + R"(","kind":")" + route.kind + R"(","timeout_ms":)"
           + std::to_string(route.timeout.count()) + R"(,"slo_ms":250,"priority":2,"service":")"
           + route.service + R"(","max_attempts":)" + std::to_string(route.maxAttempts)
           + R"(,"public":false,"gap_target_ms":250})";
}

std::string makeTemporaryFolder()
{
    std::string name = (std::filesystem::temp_directory_path() / "auburn-review-XXXXXX").string();
    return mkdtemp(name.data()) ? name : std::string();
}

} // namespace

Fleet::Fleet(Options options)
    : options_(std::move(options))
    , record_(options_.folder + "/record.txt")
    , network_(freeNetwork())
    , temporaryFolder_(makeTemporaryFolder())
    , store_(network_ + ".200:8742")
{}

Fleet::~Fleet()
{
    daemons_.reset();
    runners_.clear();
    std::error_code ignored;
    const bool keep = std::getenv("KEEP_LOGS") != nullptr;
    if (!temporaryFolder_.empty() && !keep)
        std::filesystem::remove_all(temporaryFolder_, ignored);
}

bool Fleet::start()
{
    if (temporaryFolder_.empty() || !store_.open())
        return false;
    std::vector<std::string> routes;
    for (const RouteOptions &route : options_.routes)
        routes.push_back(makeRoute(route));
    store_.put("keyed.op", "config",
               configuration(7, routes, { options_.engines ? kEngineService : kPlainService }));
    for (unsigned i = 0; i < kZones.size() * options_.runnersPerZone; ++i) {
        Runner::Options runner = options_.runner;
        runner.id = "i-" + std::to_string(i + 1);
        runner.address = network_ + "." + std::to_string(101 + i) + ":8080";
        runner.service = "desk";
        runner.zone = kZones[i % kZones.size()];
        runners_.push_back(std::make_unique<Runner>(std::move(runner), store_));
        if (!runners_.back()->start())
            return false;
    }
    daemons_ = std::make_unique<Daemons>(Daemons::Options{ .root = options_.root,
                                                           .folder = temporaryFolder_,
                                                           .network = network_,
                                                           .storeAddress = store_.address(),
                                                           .zones = kZones,
                                                           .memoryMb = options_.memoryMb });
    if (!daemons_->start() || !waitReady())
        return false;
    record_.line("all daemons are ready; logs in " + temporaryFolder_);
    return true;
}

unsigned Fleet::endedDaemons()
{
    unsigned ended = 0;
    for (unsigned i = 0; i < daemons_->count(); ++i)
        ended += daemons_->isRunning(i) ? 0 : 1;
    return ended;
}

std::string makeRequest(const std::string &method, const std::string &path, const std::string &id,
                        const std::string &body, Milliseconds deadline)
{
    const std::string length = method == "GET"
                                       ? std::string()
                                       : "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return method + " " + path + " HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: " + id
           + "\r\nDeadline-Ms: " + std::to_string(deadline.count()) + "\r\nApi-Key: " + kApiKey
           + "\r\n" + length + "\r\n" + body;
}

std::string makeStreamRequest(const std::string &path, const std::string &id,
                              const std::string &promptParts)
{
    const std::string body = id + std::string(1000, 'q');
    return "POST " + path + " HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: " + id
           + "\r\nModel: m\r\nToken-Count: 1460,80\r\nPrompt-Prefix: " + promptParts
           + "\r\nDeadline-Ms: 6000\r\nApi-Key: " + kApiKey
           + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

bool isTroubleWanted()
{
    const char *trouble = std::getenv("TROUBLE");
    return !trouble || std::string(trouble) != "0";
}

int report(int result)
{
    const char *text = result == kHeld     ? "the rule held"
                       : result == kBroken ? "the rule was broken"
                                           : "the case could not run";
    std::cout << text << "\n";
    return result;
}

} // namespace review
