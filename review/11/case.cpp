// Two different usage reports for one window. See claim.txt.
#include "../lab-3/lab.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

using namespace lab;

namespace {

constexpr unsigned kDaemons = 4;
constexpr unsigned kRunners = 5;
constexpr unsigned kFaultyRunners = 3;
constexpr unsigned kLostPercent = 40;
constexpr long long kWindowMs = 5000;

struct Report
{
    std::string holder;
    std::string token;
    std::string counts;
};

// The platform's interface for duties.
class Cloud
{
public:
    Cloud()
        : server_(network() + "251", 0, [this](const Request &request, Connection &connection) {
            return handle(request, connection);
        })
    {
        server_.open();
    }

    std::string address() const { return server_.address(); }

    std::vector<Report> reports(long long window)
    {
        const std::lock_guard lock(mutex_);
        return reports_[window];
    }

private:
    bool handle(const Request &request, Connection &connection)
    {
        const std::string windowField = "\"window_id\":";
        const std::string countsField = "\"counts\":{";
        const std::size_t window = request.body.find(windowField);
        const std::size_t counts = request.body.find(countsField);
        if (window == std::string::npos || counts == std::string::npos)
            return connection.send(answer(400, ""));
        const std::size_t begin = counts + countsField.size();
        const Report report{ .holder = request.field("Duty-Holder"),
                             .token = request.field("Fence-Token"),
                             .counts = request.body.substr(begin,
                                                           request.body.find('}', begin) - begin) };
        const long long number = std::stoll(request.body.substr(window + windowField.size()));
        note("platform: usage of window " + std::to_string(number) + " from " + report.holder
             + ", token " + report.token + ": " + report.counts);
        const std::lock_guard lock(mutex_);
        reports_[number].push_back(report);
        return connection.send(answer(200, "{}"));
    }

    std::mutex mutex_;
    std::map<long long, std::vector<Report>> reports_;
    HttpServer server_;
};

} // namespace

int main(int argc, char **argv)
{
    openRecord(argc > 1 ? argv[1] : "record.txt");
    Store store;
    Cloud cloud;
    store.append("keyed.op", "config", configuration(1));
    std::vector<std::unique_ptr<Runner>> runners;
    for (unsigned i = 0; i < kRunners; ++i)
        runners.push_back(std::make_unique<Runner>(
                store, Runner::Options{ .id = "i-desk-" + std::to_string(i),
                                        .service = "desk",
                                        .zone = std::string("zone-") + "abc"[i % 3] }));
    std::vector<std::unique_ptr<Daemon>> daemons;
    for (unsigned i = 0; i < kDaemons; ++i) {
        daemons.push_back(std::make_unique<Daemon>(
                store, i, 260,
                "[cloud_api]\naddr = \"" + cloud.address()
                        + "\"\nrate_per_s = 50.0\nduties = [\"metering\"]\nduty_per_s = 50.0\n"));
        daemons.back()->start(true);
    }
    waitUntilReady(daemons);

    std::atomic<bool> stops{ false };
    std::vector<std::thread> callers;
    for (unsigned i = 0; i < 60; ++i)
        callers.emplace_back([&, i] {
            // The callers don't send in step.
            sleepMs(1000 * i / 60);
            for (unsigned turn = i; !stops; ++turn) {
                send({ .front = daemons[turn % kDaemons]->front(),
                       .path = "/order/x",
                       .id = newAttemptId(),
                       .body = "order",
                       .deadlineMs = 2500 });
                sleepMs(1000);
            }
        });
    // A window in the middle of regular traffic.
    const long long window = unixMs() / kWindowMs + 3;
    const long long endsAt = (window + 1) * kWindowMs;
    sleepMs(endsAt - 1500 - unixMs());
    if (hasTrouble()) {
        note("answers of three runners are lost");
        for (unsigned i = 0; i < kFaultyRunners; ++i)
            runners[i]->loseAnswers(kLostPercent);
    }
    sleepMs(2500);
    for (const auto &runner : runners)
        runner->loseAnswers(0);
    note("the answers of all runners arrive again");
    const long long limit = unixMs() + 10000;
    while (cloud.reports(window).empty()) {
        if (unixMs() > limit)
            giveUp("the window is not reported");
        sleepMs(2);
    }
    if (hasTrouble()) {
        const std::string holder = cloud.reports(window).front().holder;
        for (const auto &daemon : daemons) {
            if (daemon->name() != holder)
                continue;
            daemon->kill();
            note(holder + ", which holds the duty, is killed");
        }
        store.restore(3000, 200);
        store.append("keyed.op", "config", configuration(1));
    }
    sleepMs(14000);
    stops = true;
    for (std::thread &caller : callers)
        caller.join();
    const std::vector<Report> reports = cloud.reports(window);
    bool isBroken = false;
    for (const Report &report : reports) {
        isBroken = isBroken || report.counts != reports.front().counts;
        note("window " + std::to_string(window) + ": " + report.holder + " reported "
             + report.counts);
    }
    note(isBroken ? "ONE: the platform accepted two reports with different counts"
                  : "all reports of the window are equal");
    return isBroken ? kBroken : kHeld;
}
