// auburn_demo: runs the whole path once and shows it: platform stand-ins, 15 engines and 3 plain
// backend servers, and six daemons in three failure domains of two regions. It ends by itself and
// stops everything that it started.

#include "auburn/core/lasterror.h"
#include "cluster.h"
#include "httpcaller.h"

#include <QCoreApplication>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <string>

namespace {

using namespace auburn::testing;

ClusterOptions clusterOptions()
{
    return ClusterOptions{ .failureDomains = { { .name = "a1", .region = "region-a" },
                                               { .name = "a2", .region = "region-a" },
                                               { .name = "b1", .region = "region-b" } },
                           .trace = true };
}

void printHeading(const std::string &text)
{
    std::cout << "\n== " << text << std::endl;
}

// Shows one streamed answer as it arrives; true if it was whole.
bool showStream(const Cluster &cluster, const DaemonSlot &daemon)
{
    printHeading("streamed answer through " + daemon.id);
    std::size_t shown = 0;
    std::string body;
    const HttpAnswer answer = httpCall(
            cluster.chat(daemon, "token-interactive", "How dry is batch 12?", 24, true),
            [&](const std::string &piece) {
                body += piece;
                const std::string text = completionText(
                        { .status = 200,
                          .headers = { { "content-type", "text/event-stream" } },
                          .body = body });
                std::cout << text.substr(shown) << std::flush;
                shown = text.size();
                return true;
            });
    std::cout << "\n-- status " << answer.status << ", request " << answer.header("x-request-id")
              << ", first byte after " << answer.firstByte.count() << " us" << std::endl;
    return answer.status == 200 && streamDone(answer);
}

// One plain answer per class and daemon; the number of whole answers.
unsigned showPlain(Cluster &cluster)
{
    printHeading("plain answers, one per class through each daemon");
    unsigned whole = 0;
    for (const DaemonSlot &daemon : cluster.daemons()) {
        for (const CallerSpec &caller : Cluster::standardCallers()) {
            const HttpAnswer answer = httpCall(
                    cluster.chat(daemon, caller.token, "ping " + daemon.id, 4));
            const std::string text = completionText(answer);
            std::cout << daemon.id << ' ' << caller.className << ' ' << answer.status << ' ' << text
                      << '\n';
            if (answer.status == 200 && !text.empty())
                ++whole;
        }
    }
    return whole;
}

void showOperatorCommands(Cluster &cluster)
{
    const DaemonSlot &daemon = cluster.daemons().front();
    waitFor([&] {
        return cluster.ctl(daemon, "show failure_domains").output.find("b1") != std::string::npos;
    });
    for (const char *command :
         { "show classes", "show backend_servers limit 4", "show daemons", "show failure_domains",
           "drain backend_server chat-pool-a1-0", "show history sort revision desc limit 2" }) {
        printHeading("auburnctl " + std::string(command));
        std::cout << cluster.ctl(daemon, command, { "--wait" }).output;
    }
}

std::size_t countSpans(const Cluster &cluster, const std::string &name)
{
    std::size_t count = 0;
    const std::string mark = "\"name\":\"" + name + "\"";
    for (const auto &entry : std::filesystem::directory_iterator(cluster.folder())) {
        if (entry.path().extension() != ".trace")
            continue;
        std::ifstream file(entry.path());
        const std::string text(std::istreambuf_iterator<char>(file), {});
        for (std::size_t at = text.find(mark); at != std::string::npos;
             at = text.find(mark, at + 1))
            ++count;
    }
    return count;
}

bool showTraces(const Cluster &cluster)
{
    printHeading("spans in the trace files");
    bool all = true;
    for (const char *name : { "caller", "queue", "attempt", "backend_server" }) {
        waitFor([&] { return countSpans(cluster, name) > 0; }, std::chrono::seconds(5));
        const std::size_t count = countSpans(cluster, name);
        std::cout << name << ' ' << count << '\n';
        all = all && count > 0;
    }
    return all;
}

// Stops every daemon by SIGTERM; true if all ended by themselves.
bool stopDaemons(Cluster &cluster)
{
    printHeading("graceful stop of all daemons");
    bool all = true;
    for (DaemonSlot &daemon : cluster.daemons())
        daemon.process->sendSignal(SIGTERM);
    for (DaemonSlot &daemon : cluster.daemons()) {
        const auto code = daemon.process->waitForExit(std::chrono::seconds(20));
        std::cout << daemon.id << " exit code " << code.value_or(-1) << '\n';
        all = all && code == 0;
    }
    return all;
}

} // namespace

int main(int argc, char **argv)
{
    const QCoreApplication application(argc, argv);
    const std::unique_ptr<Cluster> cluster = Cluster::start(clusterOptions());
    if (!cluster) {
        std::cerr << "cannot start: " << auburn::lastError() << std::endl;
        return 1;
    }
    std::cout << "six daemons ready; logs in " << cluster->folder() << std::endl;
    bool good = showStream(*cluster, cluster->daemons().front());
    good = showStream(*cluster, cluster->daemons().back()) && good;
    const unsigned expected = static_cast<unsigned>(cluster->daemons().size()
                                                    * Cluster::standardCallers().size());
    good = showPlain(*cluster) == expected && good;
    showOperatorCommands(*cluster);
    good = showTraces(*cluster) && good;
    good = stopDaemons(*cluster) && good;
    std::cout << (good ? "\nall steps passed\n" : "\nsome steps FAILED\n");
    return good ? 0 : 1;
}
