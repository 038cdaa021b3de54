// A prompt part that crashes runners comes again after all daemons were killed at once. See
// claim.txt.
#include "../lab-3/lab.h"

#include <algorithm>
#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace lab;

namespace {

constexpr unsigned kDaemons = 6;
constexpr long long kStableWindowMs = 4000;
// The requests that the rule allows.
constexpr long long kAllowed = 3;

std::string promptField(const std::string &parts)
{
    return "Model: m\r\nToken-Count: 200,60\r\nPrompt-Prefix: aa:50," + parts + newAttemptId()
           + ":50\r\n";
}

} // namespace

int main(int argc, char **argv)
{
    openRecord(argc > 1 ? argv[1] : "record.txt");
    Store store;
    store.append("keyed.op", "config", configuration(1));
    Runner desk(store, { .id = "i-desk", .service = "desk", .zone = "zone-a" });
    std::vector<std::unique_ptr<Runner>> runners;
    for (unsigned i = 0; i < 12; ++i)
        runners.push_back(std::make_unique<Runner>(
                store, Runner::Options{ .id = "i-" + std::to_string(i),
                                        .service = "engines",
                                        .zone = std::string("zone-") + "abc"[i % 3],
                                        .events = 20,
                                        .gapMs = 80,
                                        .crashingPart = "bad1" }));
    std::vector<std::unique_ptr<Daemon>> daemons;
    for (unsigned i = 0; i < kDaemons; ++i) {
        daemons.push_back(std::make_unique<Daemon>(store, i));
        daemons.back()->start(true);
    }
    waitUntilReady(daemons);
    sleepMs(5000);

    // Sound requests, whose streams end with the runners that crash.
    std::atomic<bool> stops{ false };
    std::atomic<unsigned> sound{ 0 };
    std::atomic<unsigned> broken{ 0 };
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < 20; ++i)
        threads.emplace_back([&, i] {
            for (unsigned turn = i; !stops; ++turn) {
                const Result result = send({ .front = daemons[turn % kDaemons]->front(),
                                             .path = "/chat/sound",
                                             .id = newAttemptId(),
                                             .fields = promptField({}) });
                ++sound;
                broken += result.isComplete && result.status == 200 ? 0 : 1;
                sleepMs(100);
            }
        });
    // No two of them are alike but for the part.
    std::atomic<unsigned> turn{ 0 };
    const auto sendBad = [&] {
        const std::string id = newAttemptId();
        const std::string front = daemons[turn++ % kDaemons]->front();
        const Result result = send({ .front = front,
                                     .path = "/chat/" + id,
                                     .id = id,
                                     .fields = promptField("bad1:100,") });
        note("client: " + id + " with the part that crashes runners gets "
             + std::to_string(result.status) + " at " + front);
    };
    const auto waitFor = [&](long long ms) {
        const long long until = nowMs() + ms;
        while (nowMs() < until) {
            sendBad();
            sleepMs(std::min(5000LL, until - nowMs()));
        }
    };
    // The times at which the part has reached runners, or crashed them.
    const auto timesOf = [&](std::vector<long long> (Runner::*part)()) {
        std::vector<long long> times;
        for (const auto &runner : runners) {
            const std::vector<long long> own = (runner.get()->*part)();
            times.insert(times.end(), own.begin(), own.end());
        }
        std::sort(times.begin(), times.end());
        return times;
    };

    sleepMs(10000);
    const long long limit = nowMs() + 20000;
    while (timesOf(&Runner::crashTimes).size() < 5) {
        if (nowMs() > limit)
            giveUp("fewer than five crashes");
        sendBad();
        sleepMs(400);
    }
    waitFor(10000);
    const long long fifthAt = timesOf(&Runner::crashTimes)[4];
    long long inTouchFrom = 0;
    if (hasTrouble()) {
        note("all daemons are killed at once");
        for (const auto &daemon : daemons)
            daemon->kill();
        sleepMs(2000);
        for (const auto &daemon : daemons)
            daemon->start(false);
        waitUntilReady(daemons);
        inTouchFrom = nowMs() + kStableWindowMs;
        sleepMs(kStableWindowMs + 1000);
        note("all machines are in touch again");
    }
    waitFor(32000);
    stops = true;
    for (std::thread &thread : threads)
        thread.join();
    const std::vector<long long> times = timesOf(&Runner::crashingArrivals);
    const auto later = std::count_if(times.begin(), times.end(), [&](long long at) {
        return at > fifthAt + kStableWindowMs && at > inTouchFrom;
    });
    note("the fifth crash was at " + std::to_string(fifthAt) + " ms; " + std::to_string(later)
         + " requests with the part have reached runners later than "
         + std::to_string(kStableWindowMs) + " ms after it, from machines in touch ("
         + std::to_string(kAllowed) + " are allowed); " + std::to_string(broken) + " of "
         + std::to_string(sound) + " sound requests were broken off or refused");
    return later > kAllowed ? kBroken : kHeld;
}
