// Compares streams through the relay with streams that go to the engines directly.
//
// Rounds of both kinds alternate in one run, so that other load on the machine affects both alike.
// The engines run in a process of their own; the relay and the load client share this process, each
// with its own threads, and the memory printed is that of both. One line of CSV for each path, then
// one with the differences.
#include "loadclient.h"

#include "auburn/core/hash.h"
#include "auburn/core/lasterror.h"
#include "auburn/core/log.h"
#include "auburn/relay/callerserver.h"

#include <QCoreApplication>
#include <QProcess>
#include <tclap/CmdLine.h>

#include <atomic>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <string>
#include <unistd.h>
#include <vector>

namespace {

using namespace auburn;
using namespace auburn::bench;

constexpr const char *kToken = "bench-token";

struct Settings
{
    LoadOptions load;
    unsigned rounds = 3;
    unsigned threads = 1;
    unsigned engines = 16;
    double rate = 80;
};

// Grants a slot on the next engine at once, so that only the relay is measured.
class InstantSlots final : public SlotSource
{
public:
    explicit InstantSlots(std::vector<std::string> addresses)
        : addresses_(std::move(addresses))
    {}

    void request(SlotRequest demand, Callback callback) override
    {
        const std::string &address = addresses_[next_++ % addresses_.size()];
        const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(5);
        callback(GrantedSlot{ .slotId = demand.requestId,
                              .backendServer = address,
                              .address = address,
                              .service = demand.service,
                              .dispatchDeadline = until });
    }

    void cancel(const std::string & /*requestId*/) override {}
    void release(const GrantedSlot & /*slot*/, SlotReport /*report*/) override {}

private:
    std::vector<std::string> addresses_;
    std::atomic<std::size_t> next_{ 0 };
};

Settings parseSettings(int argc, char **argv)
{
    TCLAP::CmdLine line("Cost of the relay compared with direct streams");
    TCLAP::ValueArg<unsigned> streams("", "streams", "concurrent streams", false, 500, "N", line);
    TCLAP::ValueArg<double> rate("", "rate", "tokens per second and stream", false, 80, "R", line);
    TCLAP::ValueArg<unsigned> tokens("", "tokens", "tokens per answer", false, 200, "N", line);
    TCLAP::ValueArg<unsigned> seconds("", "seconds", "length of a round", false, 4, "S", line);
    TCLAP::ValueArg<unsigned> rounds("", "rounds", "rounds of each kind", false, 3, "N", line);
    TCLAP::ValueArg<unsigned> threads("", "threads", "relay threads", false, 1, "N", line);
    TCLAP::ValueArg<unsigned> engines("", "engines", "stand-in engines", false, 16, "N", line);
    line.parse(argc, argv);
    return Settings{ .load = { .streams = streams.getValue(),
                               .tokens = tokens.getValue(),
                               .duration = std::chrono::seconds(seconds.getValue()),
                               .token = kToken },
                     .rounds = rounds.getValue(),
                     .threads = threads.getValue(),
                     .engines = engines.getValue(),
                     .rate = rate.getValue() };
}

bool startEngines(QProcess &process, const Settings &settings, std::vector<std::string> *addresses)
{
    process.setProcessChannelMode(QProcess::ForwardedErrorChannel);
    process.start(QCoreApplication::applicationDirPath() + "/standin_engine",
                  { "--count", QString::number(settings.engines), "--threads", "2", "--slots",
                    "1000", "--batch-slowdown", "0", "--tokens-per-second",
                    QString::number(settings.rate) });
    while (addresses->size() < settings.engines) {
        if (!process.canReadLine() && !process.waitForReadyRead(5000))
            return false;
        while (process.canReadLine())
            addresses->push_back(process.readLine().trimmed().split(' ').value(1).toStdString());
    }
    return true;
}

std::shared_ptr<const ConfigState> benchConfig()
{
    ConfigState::ItemMap items;
    const std::vector<ItemValue> values{
        Service{ .name = "m" },
        RequestClass{ .name = "standard" },
        Organisation{ .name = "org" },
        Caller{ .name = "caller",
                .organisation = "org",
                .className = "standard",
                .tokenSha256 = sha256Hex(kToken) },
    };
    for (const ItemValue &value : values)
        items[keyOf(value)] = std::make_shared<const Item>(Item{ value, 1 });
    return ConfigState::make(items, 1);
}

std::size_t residentKilobytes(const char *key)
{
    std::ifstream file("/proc/self/status");
    std::string word;
    while (file >> word) {
        std::size_t value = 0;
        if (word == key && file >> value)
            return value;
    }
    return 0;
}

double cpuSeconds(const CallerServer &server)
{
    double total = 0;
    for (const auto time : server.cpuTimes())
        total += std::chrono::duration<double>(time).count();
    return total;
}

// Time that all threads but the calling one, which is the load client, were ready to run and waited
// for a processor. It shows how much other load on the machine adds to the latencies.
double waitSeconds()
{
    double total = 0;
    const std::string self = std::to_string(::gettid());
    for (const auto &entry : std::filesystem::directory_iterator("/proc/self/task")) {
        if (entry.path().filename() == self)
            continue;
        std::ifstream file(entry.path() / "schedstat");
        double running = 0;
        double waiting = 0;
        if (file >> running >> waiting)
            total += waiting * 1e-9;
    }
    return total;
}

struct RelayTimes
{
    double cpu = 0;
    double waited = 0;
};

void printLine(const std::string &path, const Settings &settings, LoadResult &result,
               const RelayTimes &times)
{
    std::cout << path << ',' << settings.load.streams << ',' << result.tokens << ','
              << static_cast<std::uint64_t>(static_cast<double>(result.tokens) / result.seconds)
              << ',' << result.failures << ',' << percentile(result.firstTokenUs, 0.5) << ','
              << percentile(result.firstTokenUs, 0.95) << ',' << percentile(result.gapUs, 0.5)
              << ',' << percentile(result.gapUs, 0.95) << ',' << times.cpu << ',' << times.waited
              << ',';
    if (times.cpu > 0)
        std::cout << static_cast<std::uint64_t>(static_cast<double>(result.tokens) / times.cpu);
    std::cout << ',' << residentKilobytes("VmHWM:") << std::endl;
}

int run(const Settings &settings)
{
    QProcess process;
    std::vector<std::string> engines;
    if (!startEngines(process, settings, &engines)) {
        std::cerr << "standin_engine did not start\n";
        return 1;
    }
    InstantSlots slots(engines);
    auto config = benchConfig();
    const auto server = CallerServer::make({ .threads = settings.threads,
                                             .config = [config] { return config; },
                                             .slots = &slots });
    if (!server) {
        std::cerr << lastError() << '\n';
        return 1;
    }
    LoadResult direct;
    LoadResult relayed;
    RelayTimes times;
    for (unsigned round = 0; round < settings.rounds; ++round) {
        LoadOptions load = settings.load;
        load.addresses = engines;
        direct.add(runLoad(load));
        load.addresses = { "127.0.0.1:" + std::to_string(server->port()) };
        const double cpuBefore = cpuSeconds(*server);
        const double waitBefore = waitSeconds();
        relayed.add(runLoad(load));
        times.cpu += cpuSeconds(*server) - cpuBefore;
        times.waited += waitSeconds() - waitBefore;
    }
    std::cout << "path,streams,tokens,tokens_per_s,failures,first_token_p50_us,first_token_p95_us,"
                 "gap_p50_us,gap_p95_us,relay_cpu_s,relay_wait_s,tokens_per_cpu_s,peak_rss_kb\n";
    printLine("direct", settings, direct, {});
    printLine("relay", settings, relayed, times);
    const auto added = [&](std::vector<std::uint32_t> &with, std::vector<std::uint32_t> &without,
                           double share) {
        return static_cast<std::int64_t>(percentile(with, share)) - percentile(without, share);
    };
    std::cout << "added,,,,," << added(relayed.firstTokenUs, direct.firstTokenUs, 0.5) << ','
              << added(relayed.firstTokenUs, direct.firstTokenUs, 0.95) << ','
              << added(relayed.gapUs, direct.gapUs, 0.5) << ','
              << added(relayed.gapUs, direct.gapUs, 0.95) << ",,,," << std::endl;
    process.kill();
    process.waitForFinished();
    return relayed.failures + direct.failures == 0 ? 0 : 3;
}

} // namespace

int main(int argc, char **argv)
{
    const QCoreApplication application(argc, argv);
    initialiseLog(LogLevel::Warning, "relay_bench");
    try {
        return run(parseSettings(argc, argv));
    } catch (const TCLAP::ArgException &error) {
        std::cerr << error.argId() << ": " << error.error() << '\n';
        return 2;
    }
}
