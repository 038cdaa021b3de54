// Tests SlotClient and CellOwner under concurrency, over buses that deliver on their own threads.
#include "auburn/schedule/cells.h"
#include "auburn/schedule/slotclient.h"

#include "fakenetwork.h"

#include <boost/test/unit_test.hpp>

#include <condition_variable>
#include <deque>
#include <thread>

namespace auburn {

namespace {

// A bus between two daemons; run() delivers its messages on the calling thread.
class ThreadedBus : public MessageBus
{
public:
    bool send(const std::string &daemonId, proto::Envelope envelope) override
    {
        const std::lock_guard lock(mutex_);
        messages_.emplace_back(daemonId, std::move(envelope));
        wake_.notify_one();
        return true;
    }

    void setHandler(proto::Envelope::BodyCase kind, Handler handler) override
    {
        handlers_[kind] = std::move(handler);
    }

    // Delivers messages to the peer's handlers until stop() is called.
    void run(const ThreadedBus &peer, const std::string &self)
    {
        std::unique_lock lock(mutex_);
        while (!stopped_) {
            if (messages_.empty()) {
                wake_.wait(lock);
                continue;
            }
            const auto message = std::move(messages_.front());
            messages_.pop_front();
            lock.unlock();
            const auto handler = peer.handlers_.find(message.second.body_case());
            if (handler != peer.handlers_.end())
                handler->second(self, message.second);
            lock.lock();
        }
    }

    void stop()
    {
        const std::lock_guard lock(mutex_);
        stopped_ = true;
        wake_.notify_one();
    }

private:
    std::mutex mutex_;
    std::condition_variable wake_;
    std::deque<std::pair<std::string, proto::Envelope>> messages_;
    std::map<proto::Envelope::BodyCase, Handler> handlers_;
    bool stopped_ = false;
};

struct ThreadNode
{
    ThreadNode(const std::string &id, const std::shared_ptr<const ConfigState> &config)
    {
        views.set(readyView(id, "p", { "a", "b" }));
        const auto configNow = [config] { return config; };
        owner = CellOwner::make(
                { .selfId = id, .bus = &bus, .views = &views, .config = configNow });
        client = SlotClient::make({ .selfId = id,
                                    .bus = &bus,
                                    .views = &views,
                                    .config = configNow,
                                    .localOwner = owner.get() });
    }

    ThreadedBus bus;
    FakeViews views;
    std::unique_ptr<CellOwner> owner;
    std::unique_ptr<SlotClient> client;
};

std::shared_ptr<const ConfigState> smallConfig()
{
    ConfigState::ItemMap items;
    const auto add = [&](const ItemValue &value) {
        items[keyOf(value)] = std::make_shared<const Item>(Item{ .value = value });
    };
    add(Service{ .name = "s" });
    for (const char *name : { "r1", "r2", "r3" })
        add(BackendServer{
                .name = name, .service = "s", .failureDomain = "p", .address = name, .slots = 2 });
    return ConfigState::make(items, 1);
}

// The number of answers to one request and whether it was cancelled.
struct RequestState
{
    std::atomic<unsigned> answers = 0;
    std::atomic<bool> cancelled = false;
    std::atomic<bool> answeredAfterCancel = false;
};

} // namespace

BOOST_AUTO_TEST_SUITE(slotthreads)

// Guards against races between callbacks, cancels and ticks that cause a lost or duplicate answer,
// an answer after cancel() has returned, a leaked slot or a deadlock.
BOOST_AUTO_TEST_CASE(request_manyThreads_eachAnsweredOnceAndAllSlotsAreFreed)
{
    constexpr unsigned kThreads = 3;
    constexpr unsigned kRequests = 200;
    const auto config = smallConfig();
    ThreadNode a("a", config);
    ThreadNode b("b", config);
    std::vector<std::thread> buses;
    buses.emplace_back([&] { a.bus.run(b.bus, "a"); });
    buses.emplace_back([&] { b.bus.run(a.bus, "b"); });
    std::atomic<bool> stop = false;
    std::thread ticker([&] {
        while (!stop) {
            for (ThreadNode *node : { &a, &b }) {
                node->owner->tick(std::chrono::steady_clock::now());
                node->client->tick(std::chrono::steady_clock::now());
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
        }
    });

    std::deque<RequestState> states(2ULL * kThreads * kRequests);
    const auto work = [&](SlotClient &client, unsigned first) {
        for (unsigned i = first; i < first + kRequests; ++i) {
            RequestState &state = states[i];
            const std::string id = "q" + std::to_string(i);
            client.request(
                    { .requestId = id,
                      .service = "s",
                      .tier = i % 3,
                      .organisation = "o" + std::to_string(i % 5),
                      .deadline = std::chrono::steady_clock::now() + std::chrono::seconds(60) },
                    [&state, &client](const SlotAnswer &answer) {
                        ++state.answers;
                        if (state.cancelled)
                            state.answeredAfterCancel = true;
                        if (const auto *slot = std::get_if<GrantedSlot>(&answer))
                            client.release(*slot, { .outcome = SlotOutcome::Completed });
                    });
            if (i % 3 == 0) {
                client.cancel(id);
                state.cancelled = true;
            }
        }
    };
    std::vector<std::thread> workers;
    for (unsigned thread = 0; thread < 2 * kThreads; ++thread) {
        SlotClient &client = thread % 2 == 0 ? *a.client : *b.client;
        workers.emplace_back(work, std::ref(client), thread * kRequests);
    }
    for (std::thread &worker : workers)
        worker.join();
    const auto allFinished = [&] {
        unsigned outstanding = 0;
        for (ThreadNode *node : { &a, &b }) {
            outstanding += static_cast<unsigned>(node->client->pendingCount()
                                                 + node->client->heldCount());
            for (const CellLoad &load : node->owner->loads())
                outstanding += load.totalSlots - load.freeSlots;
        }
        return outstanding == 0;
    };
    while (!allFinished())
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    stop = true;
    ticker.join();
    a.bus.stop();
    b.bus.stop();
    for (std::thread &bus : buses)
        bus.join();
    for (const RequestState &state : states) {
        BOOST_REQUIRE(!state.answeredAfterCancel);
        BOOST_REQUIRE(state.answers == 1U || (state.answers == 0U && state.cancelled));
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn
