// auburn_capacity: measures what control costs one daemon, with real daemons and small stand-ins.
//
// Each experiment starts a fleet, lets it settle, and reads over a window: processor time, memory
// and bus bytes of every daemon, reads of the log, and the time until an operator's change is in
// force everywhere. With --rate, callers send short requests meanwhile, so that the difference to a
// run without them is the cost of slot messages. It prints one CSV line per fleet.

#include "auburn/core/lasterror.h"
#include "cluster.h"
#include "loadgenerator.h"

#include <QCoreApplication>
#include <QJsonDocument>
#include <QJsonObject>

#include <tclap/CmdLine.h>

#include <algorithm>
#include <iostream>
#include <numeric>
#include <sstream>
#include <thread>
#include <vector>

namespace {

using namespace auburn::testing;
using std::chrono::microseconds;
using std::chrono::seconds;

struct Fleet
{
    unsigned failureDomains = 1;
    unsigned daemonsPerFailureDomain = 6;
    unsigned backendServersPerFailureDomain = 8;
    unsigned organisations = 10;
};

struct Options
{
    std::vector<Fleet> fleets;
    seconds settle{ 15 };
    seconds window{ 20 };
    unsigned changes = 3;
    // Requests per second through each daemon during the window.
    unsigned rate = 0;
};

// One daemon's counters at one moment.
struct Sample
{
    microseconds processor{ 0 };
    double resident = 0;
    double bytesOut = 0;
    double bytesIn = 0;
    double messagesOut = 0;
};

double sumOfMetric(const std::string &text, const std::string &name, const std::string &label)
{
    double sum = 0;
    std::istringstream lines(text);
    std::string line;
    while (std::getline(lines, line)) {
        if (line.rfind(name, 0) == 0 && line.find(label) != std::string::npos)
            sum += std::stod(line.substr(line.rfind(' ')));
    }
    return sum;
}

Sample sample(const DaemonSlot &daemon)
{
    const std::string text = Cluster::get(daemon.statusAddress(), "/metrics").body;
    return Sample{ .processor = processorTime(daemon.process->pid()).value_or(microseconds(0)),
                   .resident = static_cast<double>(
                           residentBytes(daemon.process->pid()).value_or(0)),
                   .bytesOut = sumOfMetric(text, "auburn_bus_bytes", "direction=\"out\""),
                   .bytesIn = sumOfMetric(text, "auburn_bus_bytes", "direction=\"in\""),
                   .messagesOut = sumOfMetric(text, "auburn_bus_messages", "direction=\"out\"") };
}

double logReads(const Cluster &cluster)
{
    const HttpAnswer answer = Cluster::get(cluster.logAddress(), "/control/stats");
    const QJsonObject streams = QJsonDocument::fromJson(QByteArray::fromStdString(answer.body))
                                        .object()["streams"]
                                        .toObject();
    double reads = 0;
    for (const auto &stream : streams)
        reads += stream.toObject()["reads"].toDouble();
    return reads;
}

ClusterOptions clusterOptions(const Fleet &fleet)
{
    ClusterOptions options;
    for (unsigned i = 0; i < fleet.failureDomains; ++i)
        options.failureDomains.push_back(
                FailureDomainSpec{ .name = "p" + std::to_string(i),
                                   .region = "region-" + std::to_string(i % 3),
                                   .daemons = fleet.daemonsPerFailureDomain,
                                   .poolBackendServers = fleet.backendServersPerFailureDomain,
                                   .deskBackendServers = 0,
                                   .plainBackendServers = 0 });
    options.extraOrganisations = fleet.organisations;
    options.daemonEnvironment = { { "AUBURN_LOG_LEVEL", "warning" } };
    return options;
}

// Times from the command to its return, over several changes.
microseconds slowestChange(const Cluster &cluster, unsigned changes, const DaemonSlot &daemon)
{
    std::vector<microseconds> times;
    for (unsigned i = 0; i < changes; ++i) {
        const auto start = std::chrono::steady_clock::now();
        const ProgramResult result = cluster.ctl(
                daemon, "set organisation acme max_concurrent=" + std::to_string(1000 + i),
                { "--wait", "--timeout", "60s" });
        const auto time = std::chrono::steady_clock::now() - start;
        if (result.exitCode != 0) {
            std::cerr << "change failed: " << result.output;
            return microseconds(-1);
        }
        times.push_back(std::chrono::duration_cast<microseconds>(time));
    }
    return times.empty() ? microseconds(0) : *std::max_element(times.begin(), times.end());
}

struct Statistics
{
    double mean = 0;
    double highest = 0;
};

template<typename Read>
Statistics statisticsOf(const std::vector<Sample> &before, const std::vector<Sample> &after,
                        Read read)
{
    Statistics result;
    for (std::size_t i = 0; i < before.size(); ++i) {
        const double value = read(before[i], after[i]);
        result.mean += value / static_cast<double>(before.size());
        result.highest = std::max(result.highest, value);
    }
    return result;
}

std::vector<Sample> sampleAll(Cluster &cluster)
{
    std::vector<Sample> samples;
    for (const DaemonSlot &daemon : cluster.daemons())
        samples.push_back(sample(daemon));
    return samples;
}

void print(const Statistics &statistics)
{
    std::cout << ',' << statistics.mean << ',' << statistics.highest;
}

// Lets the window pass, with requests at the given rate through each daemon.
void passWindow(Cluster &cluster, const Options &options)
{
    const auto end = std::chrono::steady_clock::now() + options.window;
    std::vector<LoadItem> items;
    const unsigned count = options.rate * static_cast<unsigned>(options.window.count());
    for (unsigned i = 0; i < count; ++i) {
        for (const DaemonSlot &daemon : cluster.daemons())
            items.push_back({ .at = microseconds(1000000) * i / options.rate,
                              .request = cluster.chat(daemon, "token-standard", "short", 2),
                              .tag = {} });
    }
    const std::vector<LoadResult> results = runLoad(items, { .keepAlive = true });
    const auto failed = std::count_if(results.begin(), results.end(),
                                      [](const LoadResult &result) { return !result.whole; });
    if (failed > 0)
        std::cerr << failed << " of " << results.size() << " requests failed" << std::endl;
    std::this_thread::sleep_until(end);
}

bool measure(const Fleet &fleet, const Options &options)
{
    const std::unique_ptr<Cluster> cluster = Cluster::start(clusterOptions(fleet));
    if (!cluster) {
        std::cerr << "cannot start: " << auburn::lastError() << std::endl;
        return false;
    }
    std::this_thread::sleep_for(options.settle);
    const double readsBefore = logReads(*cluster);
    const std::vector<Sample> before = sampleAll(*cluster);
    const auto start = std::chrono::steady_clock::now();
    passWindow(*cluster, options);
    const std::vector<Sample> after = sampleAll(*cluster);
    const double time = std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
                                .count();
    const double reads = (logReads(*cluster) - readsBefore) / time;
    std::cout << fleet.failureDomains << ',' << fleet.daemonsPerFailureDomain << ','
              << fleet.backendServersPerFailureDomain << ',' << fleet.organisations;
    print(statisticsOf(before, after, [time](const Sample &a, const Sample &b) {
        return static_cast<double>((b.processor - a.processor).count()) / time / 1e4;
    }));
    print(statisticsOf(before, after,
                       [](const Sample &, const Sample &b) { return b.resident / 1e6; }));
    print(statisticsOf(before, after, [time](const Sample &a, const Sample &b) {
        return (b.bytesOut - a.bytesOut + b.bytesIn - a.bytesIn) / time / 1e3;
    }));
    print(statisticsOf(before, after, [time](const Sample &a, const Sample &b) {
        return (b.messagesOut - a.messagesOut) / time;
    }));
    const microseconds change = slowestChange(*cluster, options.changes,
                                              cluster->daemons().front());
    std::cout << ',' << reads << ',' << static_cast<double>(change.count()) / 1e6 << std::endl;
    return true;
}

// "FAILURE_DOMAINS:DAEMONS:BACKEND_SERVERS:ORGANISATIONS"
Fleet parseFleet(const std::string &text)
{
    Fleet fleet;
    char colon = ':';
    std::istringstream stream(text);
    stream >> fleet.failureDomains >> colon >> fleet.daemonsPerFailureDomain >> colon
            >> fleet.backendServersPerFailureDomain >> colon >> fleet.organisations;
    if (!stream || colon != ':')
        throw TCLAP::ArgException("expected FAILURE_DOMAINS:DAEMONS:BACKEND_SERVERS:ORGANISATIONS",
                                  text);
    return fleet;
}

Options parseOptions(int argc, char **argv)
{
    TCLAP::CmdLine line("Measures the cost of control per daemon.");
    TCLAP::MultiArg<std::string> fleets("", "fleet",
                                        "FAILURE_DOMAINS:DAEMONS:BACKEND_SERVERS:ORGANISATIONS, "
                                        "daemons and backend servers per failure domain",
                                        true, "fleet", line);
    TCLAP::ValueArg<unsigned> settle("", "settle", "seconds before the window", false, 15, "s",
                                     line);
    TCLAP::ValueArg<unsigned> window("", "window", "seconds measured", false, 20, "s", line);
    TCLAP::ValueArg<unsigned> rate("", "rate", "requests per second through each daemon", false, 0,
                                   "1/s", line);
    line.parse(argc, argv);
    Options options{ .settle = seconds(settle.getValue()),
                     .window = seconds(window.getValue()),
                     .rate = rate.getValue() };
    for (const std::string &fleet : fleets.getValue())
        options.fleets.push_back(parseFleet(fleet));
    return options;
}

} // namespace

int main(int argc, char **argv)
{
    const QCoreApplication application(argc, argv);
    const Options options = parseOptions(argc, argv);
    std::cout << "failure_domains,daemons_per_failure_domain,backend_servers_per_failure_domain,"
                 "organisations,cpu_percent_mean,cpu_"
                 "percent_max,"
                 "resident_mb_mean,resident_mb_max,bus_kb_s_mean,bus_kb_s_max,messages_out_s_mean,"
                 "messages_out_s_max,log_reads_s,change_in_force_s"
              << std::endl;
    bool good = true;
    for (const Fleet &fleet : options.fleets)
        good = measure(fleet, options) && good;
    return good ? 0 : 1;
}
