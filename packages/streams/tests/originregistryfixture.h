// OriginRegistryFixture runs the registries of several daemons with logs that they share, without a
// network.
#pragma once

#include "auburn/streams/originregistry.h"

#include "scriptedserver.h"

#include <boost/asio/post.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace auburn::streams {

using std::chrono::milliseconds;

// What the daemons share: the topics of the store.
struct Store
{
    bool isAvailable = true;
    // Appends wait until this is false.
    bool holdsAppends = false;
    std::vector<OriginRecord> records;
    std::vector<duties::LogItem> baselines;
    std::vector<std::function<void()>> heldAppends;
    // Listings of baselines wait until this is false.
    bool holdsListings = false;
    std::vector<std::function<void()>> heldListings;
    unsigned appends = 0;
    unsigned calls = 0;

    void releaseAppends()
    {
        holdsAppends = false;
        for (const auto &append : std::exchange(heldAppends, {}))
            append();
    }
};

class FakeOriginLog : public OriginLog
{
public:
    explicit FakeOriginLog(Store &store)
        : store_(store)
    {}

    void append(const std::vector<OriginRecord> &records, AppendHandler handler) override
    {
        ++store_.appends;
        const auto execute = [this, records, handler] {
            if (store_.isAvailable)
                store_.records.insert(store_.records.end(), records.begin(), records.end());
            handler(store_.isAvailable);
        };
        if (store_.holdsAppends)
            store_.heldAppends.emplace_back(execute);
        else
            execute();
    }

    void readNew(ReadHandler handler) override
    {
        ++store_.calls;
        if (!store_.isAvailable) {
            handler(std::nullopt);
            return;
        }
        const std::size_t from = std::min(next_, store_.records.size());
        next_ = store_.records.size();
        handler(std::vector<OriginRecord>(
                store_.records.begin() + static_cast<std::ptrdiff_t>(from), store_.records.end()));
    }

    void restart() override { next_ = 0; }

private:
    Store &store_;
    std::size_t next_ = 0;
};

class FakeBaselineLog : public duties::ConditionalLog
{
public:
    explicit FakeBaselineLog(Store &store)
        : store_(store)
    {}

    void list(ListHandler handler) override
    {
        ++store_.calls;
        if (!store_.isAvailable) {
            handler(std::nullopt);
            return;
        }
        const duties::LogListing listing{ .items = store_.baselines,
                                          .end = store_.baselines.size() };
        if (store_.holdsListings)
            store_.heldListings.emplace_back([handler, listing] { handler(listing); });
        else
            handler(listing);
    }

    void append(std::string key, std::string value, std::uint64_t expectedEnd,
                AppendHandler handler) override
    {
        if (!store_.isAvailable || expectedEnd != store_.baselines.size()) {
            handler({ .status = store_.isAvailable ? duties::AppendStatus::Conflict
                                                   : duties::AppendStatus::NotAppended,
                      .end = store_.baselines.size() });
            return;
        }
        store_.baselines.push_back(
                { .key = std::move(key), .value = std::move(value), .position = expectedEnd });
        handler({ .status = duties::AppendStatus::Appended,
                  .position = expectedEnd,
                  .end = expectedEnd + 1 });
    }

private:
    Store &store_;
};

inline routing::TrafficConfigData resumableConfig()
{
    routing::TrafficConfigData data;
    data.version = 1;
    data.routes.push_back({ .name = "chat",
                            .host = "h",
                            .pathPrefix = "/",
                            .kind = routing::RequestKind::Stream,
                            .services = { { .service = "s" } },
                            .resumable = true });
    data.services.push_back({ .name = "s" });
    return data;
}

// The clocks of all daemons.
struct Clocks
{
    OriginRegistry::Clock::time_point now{ std::chrono::hours(1) };
    std::int64_t unixNow = 1000000000;

    void advance(milliseconds time)
    {
        now += time;
        unixNow += time.count();
    }
};

// Asks the other daemons of a test directly.
class FakePeers : public OriginPeers
{
public:
    void ask(const OriginQuestion &question) override
    {
        ++questions;
        if (askAll)
            askAll(question);
    }

    std::function<void(const OriginQuestion &question)> askAll;
    unsigned questions = 0;
};

struct Daemon
{
    Daemon(boost::asio::io_context &io, Store &store, Clocks &clocks,
           routing::ServerDirectory &directory,
           std::shared_ptr<const routing::TrafficConfig> &config, bool readsStore = true)
        : directory(directory)
        , records(store)
        , baselines(store)
        , registry(io, { .directory = &directory,
                         .config = &config,
                         .records = &records,
                         .baselines = &baselines,
                         .peers = &peers,
                         .viewConfirmedAt =
                                 [this, &clocks] {
                                     return viewConfirmedAt ? viewConfirmedAt : clocks.now;
                                 },
                         .mayMoveBaselines = [readsStore] { return readsStore; },
                         .batchTime = milliseconds(5),
                         .maxRecordWait = milliseconds(100),
                         .retryDelay = milliseconds(5),
                         .questionDelay = milliseconds(20),
                         .baselineSpread = milliseconds(0),
                         .now = [&clocks] { return clocks.now; },
                         .unixNow = [&clocks] { return clocks.unixNow; } })
    {}

    const routing::ServerDirectory &directory;
    FakeOriginLog records;
    FakeBaselineLog baselines;
    FakePeers peers;
    // The list of servers was complete at this time; always if empty.
    std::optional<OriginRegistry::Clock::time_point> viewConfirmedAt;
    // A daemon that stands still or is cut off replies to nothing.
    bool isSilent = false;
    OriginRegistry registry;
};

struct OriginRegistryFixture
{
    OriginRegistryFixture()
    {
        add("i-1", "v1", 1000);
        first = startDaemon();
        // The first update lists the baselines, the second one writes that of the service.
        first->registry.update();
        first->registry.update();
        BOOST_REQUIRE(first->registry.baselineOf("s").value_or("") == "v1");
        second = startDaemon();
        second->registry.update();
        observeEra(1);
    }

    std::unique_ptr<Daemon> startDaemon()
    {
        auto daemon = std::make_unique<Daemon>(io, store, clocks, directory, config);
        daemon->registry.update();
        return daemon;
    }

    // The server starts now unless a time is given; 0 is an unknown time.
    void add(const std::string &id, const std::string &version,
             std::optional<std::int64_t> startedAt = std::nullopt)
    {
        directory.update({ .id = id,
                           .service = "s",
                           .startedAtUnixMs = startedAt.value_or(clocks.unixNow),
                           .softwareVersion = version },
                         ++position);
    }

    // Advances the clocks; daemons update once a second.
    void updateAfter(milliseconds time)
    {
        do {
            const milliseconds step = std::min(time, milliseconds(1000));
            clocks.advance(step);
            for (Daemon *daemon : { first.get(), second.get() })
                daemon->registry.update();
            time -= step;
        } while (time > milliseconds(0));
    }

    // Lets the daemons ask each other, and hear each other's heartbeats.
    void connect(const std::vector<Daemon *> &daemons)
    {
        connected = daemons;
        for (Daemon *daemon : daemons)
            daemon->peers.askAll = [this, daemon](const OriginQuestion &question) {
                answer(*daemon, question);
            };
        exchangeHeartbeats();
    }

    void answer(Daemon &asker, const OriginQuestion &question)
    {
        for (std::size_t i = 0; i < connected.size(); ++i) {
            Daemon *other = connected[i];
            if (other == &asker || other->isSilent || asker.isSilent)
                continue;
            OriginReply reply = other->registry.replyTo(question);
            reply.number = question.number;
            reply.process = processOf(i);
            boost::asio::post(io, [&asker, reply] { asker.registry.handleReply(reply); });
        }
    }

    static DaemonProcess processOf(std::size_t index)
    {
        return { .vm = "vm" + std::to_string(index), .incarnation = 1 };
    }

    void exchangeHeartbeats()
    {
        for (std::size_t i = 0; i < connected.size(); ++i) {
            for (Daemon *receiver : connected) {
                const Daemon &sender = *connected[i];
                if (&sender == receiver || sender.isSilent || receiver->isSilent)
                    continue;
                receiver->registry.observeProcess(
                        { .process = processOf(i),
                          .recordsEra = sender.registry.recordsEra(),
                          .missesRecords = sender.registry.missesRecords(),
                          .hasSameServers = &sender.directory == &receiver->directory });
            }
        }
    }

    void observeEra(std::uint64_t era)
    {
        for (Daemon *daemon : { first.get(), second.get() })
            daemon->registry.observeEra(era);
    }

    // Returns the version that the daemon finds within the time limit, or "unknown".
    std::string find(Daemon &daemon, const std::string &request)
    {
        std::optional<std::string> result;
        daemon.registry.find(request, "s", milliseconds(100),
                             [&result](const std::optional<std::string> &version) {
                                 result = version.value_or("unknown");
                             });
        BOOST_TEST(runUntil(io, [&] {
            if (!result)
                clocks.advance(milliseconds(10));
            return result.has_value();
        }));
        return result.value_or("no answer");
    }

    static void send(Daemon &daemon, const std::string &request, const std::string &version)
    {
        daemon.registry.streamSent(
                { .requestId = request, .service = "s", .softwareVersion = version });
    }

    // Sends a stream and waits for its record. Returns true if its version is findable.
    bool begin(Daemon &daemon, const std::string &request, const std::string &version)
    {
        send(daemon, request, version);
        std::optional<bool> findable;
        daemon.registry.whenFindable(request, [&findable](bool value) { findable = value; });
        BOOST_TEST(runUntil(io, [&findable] { return findable.has_value(); }));
        return findable.value_or(false);
    }

    // Sends a stream, and again to the preferred version if its own one is not findable. Returns
    // the version whose first event is passed on.
    std::string beginAtFindableVersion(Daemon &daemon, const std::string &request,
                                       const std::string &version)
    {
        if (begin(daemon, request, version))
            return version;
        std::string preferred = daemon.registry.preferredVersion("s").value_or(version);
        if (preferred != version)
            begin(daemon, request, preferred);
        return preferred;
    }

    boost::asio::io_context io;
    Store store;
    Clocks clocks;
    routing::ServerDirectory directory;
    LogPosition position = 0;
    std::shared_ptr<const routing::TrafficConfig> config =
            std::make_shared<const routing::TrafficConfig>(resumableConfig());
    std::unique_ptr<Daemon> first;
    std::unique_ptr<Daemon> second;
    std::vector<Daemon *> connected;
};

} // namespace auburn::streams
