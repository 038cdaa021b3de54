// Streams that were begun anew at another software version after another daemon had read their
// record. See claim.txt.
#include "../lab-3/lab.h"

#include <atomic>
#include <deque>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace lab;

namespace {

constexpr unsigned kOldRunners = 10;
constexpr unsigned kNewRunners = 2;
constexpr long long kDarkMs = 2500;

// A client as the pages describe it: after a break it takes its stream up at another daemon, once.
void call(const std::string &front, const std::string &otherFront, StreamSeen &caller)
{
    caller.firstId = newAttemptId();
    const std::string prompt = "Model: m\r\nToken-Count: 300,120\r\nPrompt-Prefix: aa:50,"
                               + newAttemptId() + ":50," + caller.firstId + ":200\r\n";
    const Result first = send({ .front = front,
                                .path = "/chat/" + caller.firstId,
                                .id = caller.firstId,
                                .fields = prompt });
    caller.add(first, caller.firstId + " at " + front);
    if (first.isComplete || first.events.empty())
        return;
    const std::string id = newAttemptId();
    note("client: " + caller.firstId + " is taken up as " + id + " at " + otherFront
         + " after event " + first.events.back().first);
    const Result second = send({ .front = otherFront,
                                 .path = "/chat/" + caller.firstId,
                                 .id = id,
                                 .fields = prompt + "Last-Event-Id: " + first.events.back().first
                                           + "\r\nResumes: " + caller.firstId + "\r\n" });
    caller.add(second, id + " at " + otherFront);
}

// Lets new clients come at a regular rate until it is told to stop.
class Load
{
public:
    Load(std::string front, std::string otherFront, double perSecond)
        : front_(std::move(front))
        , otherFront_(std::move(otherFront))
        , pauseMs_(static_cast<long long>(1000 / perSecond))
        , thread_([this] { run(); })
    {}

    // Waits for the ends of all requests.
    void stop()
    {
        stops_ = true;
        if (thread_.joinable())
            thread_.join();
        for (std::thread &client : clients_)
            client.join();
        clients_.clear();
    }
    void pause() { stops_ = true; }

    const std::deque<StreamSeen> &callers() const { return callers_; }

private:
    void run()
    {
        while (!stops_) {
            StreamSeen &caller = callers_.emplace_back();
            clients_.emplace_back([this, &caller] { call(front_, otherFront_, caller); });
            sleepMs(pauseMs_);
        }
    }

    const std::string front_;
    const std::string otherFront_;
    const long long pauseMs_;
    std::atomic<bool> stops_{ false };
    std::deque<StreamSeen> callers_;
    std::vector<std::thread> clients_;
    std::thread thread_;
};

} // namespace

int main(int argc, char **argv)
{
    openRecord(argc > 1 ? argv[1] : "record.txt");
    Store store;
    store.append("keyed.op", "config", configuration(1));
    Runner desk(store, { .id = "i-desk", .service = "desk", .zone = "zone-a" });
    std::vector<std::unique_ptr<Runner>> runners;
    const auto addRunner = [&](const std::string &version) {
        const std::string number = std::to_string(runners.size());
        runners.push_back(std::make_unique<Runner>(
                store, Runner::Options{ .id = "i-" + number,
                                        .service = "engines",
                                        .zone = std::string("zone-") + "abc"[runners.size() % 3],
                                        .version = version,
                                        .events = 45,
                                        .gapMs = 80 }));
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

    // Retries reach other daemons.
    Load first(daemons[0]->front(), daemons[1]->front(), 120);
    Load third(daemons[2]->front(), daemons[1]->front(), 15);
    sleepMs(3000);
    if (hasTrouble()) {
        for (unsigned i = kOldRunners; i < runners.size(); ++i)
            runners[i]->goDark(kDarkMs);
    }
    // Shortly after the first new streams at the dark runners are sent elsewhere.
    sleepMs(950);
    third.pause();
    if (hasTrouble()) {
        note("edge-2 is killed");
        daemons[2]->kill();
    }
    sleepMs(kDarkMs);
    first.pause();
    if (hasTrouble()) {
        note("edge-0 is killed");
        daemons[0]->kill();
    }
    first.stop();
    third.stop();

    unsigned joined = 0;
    unsigned complete = 0;
    unsigned all = 0;
    for (const Load *load : { &first, &third }) {
        for (const StreamSeen &caller : load->callers()) {
            ++all;
            complete += caller.isComplete ? 1 : 0;
            if (caller.versions.size() < 2)
                continue;
            ++joined;
            note("ORDER: stream " + caller.firstId + " holds events of v1 and of v2");
        }
    }
    note(std::to_string(joined) + " streams hold events of two versions (2 are allowed); "
         + std::to_string(complete) + " of " + std::to_string(all) + " are complete");
    if (!hasTrouble() && complete < all)
        giveUp("streams are not complete without trouble");
    return joined > 2 ? kBroken : kHeld;
}
