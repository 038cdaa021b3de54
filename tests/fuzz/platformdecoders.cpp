// Decoders of the platform's store, of its settings file and of the operators' HTTP queries.

#include "decoder.h"

#include "platform/documentdecoder.h"
#include "platform/documentspath.h"
#include "platform/explanation.h"
#include "platform/settings.h"
#include "platform/storerecords.h"

#include <memory>

namespace auburn::fuzz {

namespace {

// The status endpoint accepts requests up to this size.
constexpr std::size_t kMaxTarget = std::size_t{ 8 } * 1024;
const routing::ServerDirectory::TimePoint kNow{ std::chrono::hours(1) };

void decodeServer(std::string_view input)
{
    const auto server = platform::decodeServer("i-1", input, kNow);
    if (!server)
        return;
    routing::ServerDirectory directory;
    directory.update(*server, 1);
    directory.readyServers(server->service);
}

void decodeConfiguration(std::string_view input)
{
    const auto config = platform::decodeConfiguration(input);
    if (!config)
        return;
    config->findRoute("h", "/c/x");
    config->findService("e");
    config->findOrganisation("k2");
    config->limits();
}

// Targets of the documents that other daemons read, and of the operators' queries.
void decodeTarget(std::string_view input)
{
    platform::parseDocumentsPath(input);
    static gateway::RoutingState state{
        .directory = {},
        .placement = routing::Placement({ .failureDomain = "a", .regions = { { "a", "r" } } }),
        .retries = routing::RetryBudget({}),
        .config = nullptr
    };
    if (!state.config) {
        state.config = std::make_shared<const routing::TrafficConfig>(
                routing::TrafficConfigData{ .version = 1, .services = { { .name = "desk" } } });
        state.directory.update({ .id = "d",
                                 .service = "desk",
                                 .address = "127.0.0.1:1",
                                 .failureDomain = "a",
                                 .slots = 4 },
                               1);
    }
    if (platform::isExplanationTarget(input))
        platform::explainPlacement(input, state, kNow);
}

const char *const kConfiguration = R"({"version":7,"unknown":[1],
 "routes":[{"name":"c","host":"h","path_prefix":"/c/","kind":"streaming","timeout_ms":15000,
 "slo_ms":400,"priority":0,"service":"e","max_attempts":2,"resumable":true,"gap_target_ms":150},
 {"name":"d","host":"h","path_prefix":"/d/","kind":"safe","priority":1,"public":true,
 "split":[{"service":"e","weight":90},{"service":"f","weight":10}]}],
 "services":[{"name":"e","max_conns":610,"engine":{"slots":128,"kv_capacity":525395,"stride":3},
 "scaling":{"min":1,"max":48,"boot_s":4,"spot_price":0.4,"zone_prices":{"a":1.5}}},
 {"name":"f","max_conns":96}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
 "idle_timeout_ms":15000},
 "tenants":[{"name":"t","keys":["k1","k2"],"priority":1},{"name":"u","keys":["k3"]}]})";

const char *const kSettings = R"(node = "vm-1"
ip = "10.1.0.5"
zone = "a"
internal_ports = [7000, 7001]
seeds = ["10.1.0.6:7000", "10.1.0.7:7000"]
bootstrap = true
[listen]
front = "10.1.0.5:80"
ready = "10.1.0.5:81"
control = "10.1.0.5:82"
[platform]
addr = "10.9.0.1:8700"
[zones]
a = "r1"
b = "r2"
[bounds]
grace_s = 8.5
retry_budget_ratio = 0.1
budget_window_s = 10
budget_extra = 3
lease_ms = 3000
report_window_s = 5
[limits]
cpu_share = 0.5
memory_mb = 256
max_fds = 2000
[cloud_api]
addr = "10.9.0.2:8743"
duties = ["metering", "autoscale"]
rate_per_s = 40
duty_per_s = 20
)";

std::string bigEndian(std::uint64_t number)
{
    std::string bytes;
    for (int shift = 56; shift >= 0; shift -= 8)
        bytes.push_back(static_cast<char>(number >> shift & 0xff));
    return bytes;
}

} // namespace

std::vector<Decoder> platformDecoders()
{
    const std::string log = bigEndian(9) + bigEndian(2) + platform::encodeKeyedRecord("k", "value")
                            + platform::encodeKeyedRecord("k2", "")
                            + platform::encodeKeyedRecord(std::string(200, 'k'), "v");
    return {
        { .name = "store-log",
          .corpus = { log, bigEndian(0) + bigEndian(0) },
          .decode = [](std::string_view input) { platform::parseLogRead(input, 2); } },
        { .name = "store-listing",
          .corpus = { R"({"items":[{"key":"a","value":"dmFsdWU=","offset":3},)"
                      R"({"key":"b","value":"","offset":4}],"has_more":true,"end":5})" },
          .decode = [](std::string_view input) { platform::parseLogNewest(input); } },
        { .name = "store-server",
          .corpus = { R"({"service":"s","addr":"10.0.0.9:80","zone":"a","version":"v1","slots":6,"state":"ready",)"
                      R"("cold_left_ms":0,"seq":4,"born":1700000000123,"use_spot":true,)"
                      R"("leaves_ms":2500})" },
          .decode = decodeServer },
        { .name = "store-configuration",
          .corpus = { kConfiguration, R"({"version":1})" },
          .decode = decodeConfiguration },
        { .name = "settings",
          .corpus = { kSettings },
          .decode =
                  [](std::string_view input) {
                      platform::parsePlatformSettings(std::string(input));
                  } },
        { .name = "query-target",
          .corpus = { "/documents/12/345",
                      "/explain?service=desk&prompt=7:100,8:20&urgency=1&stream=1&deadline=900" },
          .decode = decodeTarget,
          .maxBytes = kMaxTarget },
    };
}

} // namespace auburn::fuzz
