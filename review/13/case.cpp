// Streams whose records the store has lost while the daemon that wrote them stands still. See
// claim.txt.
#include "../lab-3/lab.h"

#include <algorithm>
#include <csignal>
#include <deque>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace lab;

namespace {

constexpr unsigned kOldRunners = 7;
constexpr unsigned kNewRunners = 5;
constexpr unsigned kStreams = 40;

std::string takeUpFields(const std::string &lastEvent, const std::string &firstId)
{
    return "Last-Event-Id: " + lastEvent + "\r\nResumes: " + firstId + "\r\n";
}

// A client as the pages describe it: it leaves a stream after a gap, takes it up at other daemons a
// few times within its deadline, and honours Retry-After.
void call(const std::vector<std::string> &fronts, StreamSeen &caller)
{
    constexpr unsigned kRetries = 3;
    constexpr long long kDeadlineMs = 15000;
    const long long deadline = nowMs() + kDeadlineMs;
    caller.firstId = newAttemptId();
    const std::string prompt = "Model: m\r\nToken-Count: 300,120\r\nPrompt-Prefix: aa:50,"
                               + newAttemptId() + ":50," + caller.firstId + ":200\r\n";
    std::string id = caller.firstId;
    std::string taken;
    for (unsigned attempt = 0; attempt <= kRetries && !caller.isComplete; ++attempt) {
        const std::string &front = fronts[std::min<std::size_t>(attempt, fronts.size() - 1)];
        const Result result = send({ .front = front,
                                     .path = "/chat/" + caller.firstId,
                                     .id = id,
                                     .fields = prompt + taken,
                                     .deadlineMs = deadline - nowMs() });
        const std::string where = " at " + front;
        caller.add(result, id + where);
        if (!result.events.empty())
            taken = takeUpFields(result.events.back().first, caller.firstId);
        const auto wait = static_cast<long long>(result.retryAfterS * 1000);
        sleepMs(std::min(wait, (deadline - nowMs()) / 3));
        id = newAttemptId();
    }
}

} // namespace

int main(int argc, char **argv)
{
    openRecord(argc > 1 ? argv[1] : "record.txt");
    Store store;
    store.append("keyed.op", "config", configuration(1));
    Runner desk(store, { .id = "i-desk", .service = "desk", .zone = "zone-a" });
    std::vector<std::unique_ptr<Runner>> runners;
    const auto addRunner = [&](const std::string &version) {
        runners.push_back(std::make_unique<Runner>(
                store, Runner::Options{ .id = "i-" + std::to_string(runners.size()),
                                        .service = "engines",
                                        .zone = std::string("zone-") + "abc"[runners.size() % 3],
                                        .version = version,
                                        .events = 97,
                                        .gapMs = 60 }));
    };
    for (unsigned i = 0; i < kOldRunners; ++i)
        addRunner("v1");
    std::vector<std::unique_ptr<Daemon>> daemons;
    for (unsigned i = 0; i < 3; ++i) {
        daemons.push_back(std::make_unique<Daemon>(store, i));
        daemons.back()->start(true);
    }
    waitUntilReady(daemons);
    sleepMs(6000);
    note("runners of version v2 serve beside those of v1");
    for (unsigned i = 0; i < kNewRunners; ++i)
        addRunner("v2");
    sleepMs(6000);

    std::deque<StreamSeen> callers(kStreams);
    std::vector<std::thread> threads;
    const std::vector<std::string> fronts{ daemons[0]->front(), daemons[1]->front(),
                                           daemons[2]->front() };
    for (StreamSeen &caller : callers) {
        threads.emplace_back([&] { call(fronts, caller); });
        sleepMs(30);
    }
    sleepMs(800);
    if (hasTrouble()) {
        note("edge-0 is frozen for 4 s");
        daemons[0]->signal(SIGSTOP);
        store.restore(3000, 200);
        store.append("keyed.op", "config", configuration(1));
        sleepMs(3800);
        daemons[0]->signal(SIGCONT);
        note("edge-0 runs again");
    }
    for (std::thread &thread : threads)
        thread.join();

    unsigned joined = 0;
    unsigned complete = 0;
    for (const StreamSeen &caller : callers) {
        complete += caller.isComplete ? 1 : 0;
        if (caller.versions.size() < 2)
            continue;
        ++joined;
        note("ORDER: stream " + caller.firstId + " holds events of v1 and of v2");
    }
    note(std::to_string(joined) + " streams hold events of two versions (2 are allowed); "
         + std::to_string(complete) + " of " + std::to_string(callers.size()) + " are complete");
    if (!hasTrouble() && complete < callers.size())
        giveUp("streams are not complete without trouble");
    return joined > 2 ? kBroken : kHeld;
}
