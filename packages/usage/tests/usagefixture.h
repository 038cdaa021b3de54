// UsageFixture runs the usage reporting of several daemons in simulated time, with a log, an
// interface of the platform and a network that fail as a test asks.
#pragma once

#include "auburn/duties/conditionallog.h"
#include "auburn/duties/dutyapi.h"
#include "auburn/duties/dutypermit.h"
#include "auburn/usage/usagemetering.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace auburn::usage {

// The partition of the log that all daemons share.
class FakeLog : public duties::ConditionalLog
{
public:
    enum class Mode {
        Works,
        // Nothing is done, and the caller learns so.
        Down,
        // Appends are executed, but their responses are lost.
        LosesResponses,
        // Appends get no response and are executed by executeDelayed().
        DelaysAppends,
    };

    void list(ListHandler handler) override
    {
        if (mode == Mode::Down) {
            handler(std::nullopt);
            return;
        }
        duties::LogListing listing{ .end = logPosition(currentEra, end) };
        for (const auto &[key, item] : items)
            listing.items.push_back({ .key = key,
                                      .value = item.value,
                                      .position = logPosition(currentEra, item.position) });
        handler(std::move(listing));
    }

    void append(std::string key, std::string value, std::uint64_t expectedEnd,
                AppendHandler handler) override
    {
        BOOST_TEST(key.size() + value.size() <= 262144U);
        if (mode == Mode::Down) {
            handler({ .status = duties::AppendStatus::NotAppended });
        } else if (mode == Mode::DelaysAppends) {
            delayed.push_back([=, this] { execute(key, value, expectedEnd); });
            handler({});
        } else {
            const duties::AppendResult result = execute(key, value, expectedEnd);
            handler(mode == Mode::LosesResponses ? duties::AppendResult{} : result);
        }
    }

    std::uint64_t era() const override { return currentEra; }

    void executeDelayed()
    {
        for (const auto &append : std::exchange(delayed, {}))
            append();
    }

    duties::AppendResult execute(const std::string &key, const std::string &value,
                                 std::uint64_t expectedEnd)
    {
        if (expectedEnd != logPosition(currentEra, end))
            return { .status = duties::AppendStatus::Conflict };
        items[key] = { .key = key, .value = value, .position = end };
        ++end;
        return { .status = duties::AppendStatus::Appended,
                 .position = expectedEnd,
                 .end = logPosition(currentEra, end) };
    }

    // Keeps a copy in place of an earlier one.
    void keepCopy() { copy = { items, end }; }

    // Replaces the records by the copy, in the next era.
    void restoreCopy()
    {
        std::tie(items, end) = copy;
        ++currentEra;
    }

    Mode mode = Mode::Works;
    // Offsets are valid in this era.
    std::uint64_t currentEra = 1;
    // The positions are offsets.
    std::map<std::string, duties::LogItem> items;
    std::uint64_t end = 7;
    std::pair<std::map<std::string, duties::LogItem>, std::uint64_t> copy{ {}, 7 };
    std::vector<std::function<void()>> delayed;
};

struct FakePermit : duties::DutyPermit
{
    bool isHeld() const override { return held; }
    std::uint64_t token() const override { return number; }

    bool held = false;
    std::uint64_t number = 0;
};

// Collects the figures that the platform received, in the order of the calls.
struct FakeApi : duties::DutyApi
{
    void reportUsage(const duties::UsageFigure &figure, Handler handler) override
    {
        if (received)
            figures.push_back(figure);
        handler(rejected.contains(figure.window) ? duties::CallStatus::Rejected : status);
    }
    void orderServers(const duties::ServerOrder & /*order*/, Handler /*handler*/) override {}

    std::vector<duties::UsageFigure> figures;
    // Whether calls take effect, and what the caller learns.
    bool received = true;
    duties::CallStatus status = duties::CallStatus::Accepted;
    // Windows whose figures are never accepted.
    std::set<std::uint64_t> rejected;
};

// One daemon process.
struct FakeDaemon
{
    FakeDaemon(const UsageMetering::Options &options, FakeLog &log, FakeApi &api,
               std::chrono::milliseconds wallClock, BootClock::time_point now)
        : metering(options, { .log = log, .api = api, .permit = permit }, wallClock, now)
    {}

    FakePermit permit;
    UsageMetering metering;
    // Error of the wall clock.
    std::chrono::milliseconds wallError{ 0 };
};

struct UsageFixture
{
    using TimePoint = BootClock::time_point;

    // Starts a daemon, or restarts it.
    FakeDaemon &start(const std::string &vm);
    void kill(const std::string &vm) { daemons.erase(vm); }
    // Lets a daemon hold the duties under the next token; the previous holder stops.
    void giveDuties(const std::string &vm);
    void count(const std::string &vm, const std::string &organisation, unsigned requests = 1,
               std::chrono::milliseconds ago = std::chrono::milliseconds(0));
    // Moves time on in ticks of 100 ms.
    void run(std::chrono::milliseconds time);
    // Moves time on to an offset within the next window.
    void runToWindow(std::uint64_t window, std::chrono::milliseconds offset);
    void deliver(const std::string &sender, const std::string &address,
                 const proto::PeerDatagram &datagram);
    std::vector<LiveDaemon> livePeersOf(const std::string &vm) const;
    std::chrono::milliseconds trueTime() const;
    std::uint64_t window() const { return windowAt(trueTime(), kDefaultWindowLength); }
    // The figure that the platform received for a window; fails if there were different ones.
    // Empty if it received none.
    std::map<std::string, std::uint64_t> reported(std::uint64_t window) const;

    Metrics metrics;
    FakeLog log;
    FakeApi api;
    // The address of a daemon is its name, and its failure domain is the first character.
    std::map<std::string, std::unique_ptr<FakeDaemon>> daemons;
    TimePoint now{ std::chrono::seconds(1000) };
    duties::DutyHolder holder;
    std::uint64_t incarnations = 0;
    // Every n-th datagram is lost; 0 for none.
    unsigned lossPeriod = 0;
    unsigned datagrams = 0;
    // Counts in the reports that the holder received from other daemons.
    std::uint64_t countsReceived = 0;
    // The datagrams of this daemon are lost.
    std::string silenced;
    // Some datagrams to this address are lost.
    std::string lossyAddress;
};

} // namespace auburn::usage
