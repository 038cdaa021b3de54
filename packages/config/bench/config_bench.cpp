// Measures fold time, memory, snapshot size and the transfer of the state to a booting peer, for
// deployments of different size. Prints one line of key=value pairs for each size; times are
// processor time.
//
// The transfer runs between two followers over a bus in memory that serialises and parses every
// envelope, so it leaves out encryption and the network.
#include "auburn/config/configfold.h"
#include "auburn/config/configfollower.h"
#include "auburn/config/configstore.h"
#include "auburn/core/hash.h"
#include "auburn/core/log.h"

#include <QCoreApplication>

#include <tclap/CmdLine.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <functional>
#include <malloc.h>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace auburn {

namespace {

// Processor time of this process, which neighbours on a shared machine disturb less than wall time.
class Stopwatch
{
public:
    double microseconds() const
    {
        return static_cast<double>(std::clock() - start_) * 1e6 / CLOCKS_PER_SEC;
    }

private:
    std::clock_t start_ = std::clock();
};

// Bytes in use on the heap.
std::size_t heapInUse()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

proto::ConfigChange changeTo(const ItemValue &value, std::uint64_t base, std::uint64_t number)
{
    proto::ConfigChange change;
    change.set_change_id(sha256Hex(std::to_string(number)).substr(0, 32));
    change.set_operator_name("bench");
    change.set_base_revision(base);
    *change.mutable_item() = itemToProto(Item{ value, 0 });
    return change;
}

// Changes that create a deployment: services, classes, organisations with one caller each, and one
// backend server for each seven organisations (3,300 backend servers for 21,000 organisations).
std::vector<proto::ConfigChange> deployment(unsigned organisations)
{
    std::vector<ItemValue> values;
    for (const char *name : { "chat", "code", "embed" })
        values.emplace_back(Service{ .name = name });
    for (unsigned tier = 0; tier < kTierCount; ++tier)
        values.emplace_back(RequestClass{ .name = "tier" + std::to_string(tier), .tier = tier });
    for (unsigned i = 0; i < organisations; ++i) {
        const std::string name = "organisation-" + std::to_string(i);
        values.emplace_back(Organisation{ .name = name, .maxConcurrent = 100 });
        values.emplace_back(Caller{ .name = "caller-" + std::to_string(i),
                                    .organisation = name,
                                    .className = "tier" + std::to_string(i % kTierCount),
                                    .tokenSha256 = sha256Hex(name) });
    }
    for (unsigned i = 0; i < (organisations + 6) / 7; ++i) {
        values.emplace_back(BackendServer{ .name = "server-" + std::to_string(i),
                                           .service = "chat",
                                           .failureDomain = "domain-" + std::to_string(i % 10),
                                           .address = "10.0.0.1:8000",
                                           .slots = 16 });
    }
    std::vector<proto::ConfigChange> changes;
    changes.reserve(values.size());
    for (const ItemValue &value : values)
        changes.push_back(changeTo(value, 0, changes.size()));
    return changes;
}

// Folds single changes, each followed by a new state, as a reader does at 2,800 changes a day.
double microsecondsPerChange(ConfigFold &fold, unsigned count)
{
    std::vector<proto::ConfigChange> changes;
    changes.reserve(count);
    for (unsigned i = 0; i < count; ++i) {
        const std::string name = "late-" + std::to_string(i);
        changes.push_back(changeTo(Organisation{ .name = name }, 0, 1000000 + i));
    }
    auto held = fold.state();
    const Stopwatch watch;
    for (const proto::ConfigChange &change : changes) {
        fold.fold(fold.revision() + 1, change);
        // The old state goes away when the new one is in place, as in the store.
        held = fold.state();
    }
    return watch.microseconds() / count;
}

// Delivers the envelopes of all daemons in turn, on the main thread.
class BenchNetwork
{
public:
    class Bus : public MessageBus
    {
    public:
        Bus(BenchNetwork &network, std::string id)
            : network_(network)
            , id_(std::move(id))
        {}

        bool send(const std::string &daemonId, proto::Envelope envelope) override
        {
            proto::Envelope parsed;
            const std::string bytes = envelope.SerializeAsString();
            network_.bytes += bytes.size();
            ++network_.messages;
            parsed.ParseFromString(bytes);
            network_.handlers.at(daemonId).at(envelope.body_case())(id_, parsed);
            return true;
        }

        void setHandler(proto::Envelope::BodyCase kind, Handler handler) override
        {
            network_.handlers[id_][kind] = std::move(handler);
        }

    private:
        BenchNetwork &network_;
        std::string id_;
    };

    std::map<std::string, std::map<proto::Envelope::BodyCase, MessageBus::Handler>> handlers;
    std::size_t bytes = 0;
    std::size_t messages = 0;
};

// A log in memory that holds the changes of the deployment.
class BenchLog : public LogClient
{
public:
    explicit BenchLog(const std::vector<proto::ConfigChange> &changes)
    {
        for (const proto::ConfigChange &change : changes) {
            proto::ConfigRecord record;
            *record.mutable_change() = change;
            records_.push_back(
                    { .offset = records_.size() + 1, .data = record.SerializeAsString() });
        }
    }

    void append(const std::string &, std::string, AppendCallback) override {}

    void read(const std::string &, std::uint64_t from, std::size_t max, std::chrono::milliseconds,
              ReadCallback callback) override
    {
        LogBatch batch{ .earliest = 1, .next = records_.size() + 1 };
        for (std::size_t i = std::max<std::size_t>(from, 1); i <= records_.size() && max-- > 0; ++i)
            batch.records.push_back(records_[i - 1]);
        if (!batch.records.empty())
            QMetaObject::invokeMethod(
                    &context_, [batch, callback]() { callback(batch); }, Qt::QueuedConnection);
    }

private:
    std::vector<LogRecord> records_;
    QObject context_;
};

void runUntil(const std::function<bool()> &condition)
{
    while (!condition())
        QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents);
}

struct Transfer
{
    double microseconds = 0;
    std::size_t bytes = 0;
    std::size_t messages = 0;
};

Transfer measureTransfer(const std::vector<proto::ConfigChange> &changes)
{
    BenchNetwork network;
    BenchLog log(changes);
    BenchNetwork::Bus peerBus(network, "peer");
    BenchNetwork::Bus daemonBus(network, "daemon");
    ConfigStore peerStore;
    ConfigStore daemonStore;
    const auto peer = ConfigFollower::make({ .readRecords = 100000 }, log, peerBus, peerStore);
    peer->setFollowing(true);
    peer->start();
    runUntil([&]() { return peerStore.revision() == changes.size(); });
    const auto daemon = ConfigFollower::make({}, log, daemonBus, daemonStore);
    daemon->start();
    const Stopwatch watch;
    daemon->onPeerRevision("peer", peerStore.revision());
    runUntil([&]() { return daemonStore.revision() == changes.size(); });
    return { watch.microseconds(), network.bytes, network.messages };
}

void measure(unsigned organisations)
{
    const auto changes = deployment(organisations);
    const std::size_t heapBefore = heapInUse();
    ConfigFold fold;
    Stopwatch watch;
    for (const proto::ConfigChange &change : changes)
        fold.fold(fold.revision() + 1, change);
    const double foldTime = watch.microseconds();
    const std::size_t foldHeap = heapInUse() - heapBefore;
    watch = Stopwatch();
    auto state = fold.state();
    const double stateTime = watch.microseconds();
    const std::size_t bothHeap = heapInUse() - heapBefore;
    state.reset();
    watch = Stopwatch();
    const auto chunks = fold.chunks("bench", 64UL * 1024);
    const double chunkTime = watch.microseconds();
    std::size_t snapshotBytes = 0;
    for (const proto::ConfigChunk &chunk : chunks)
        snapshotBytes += chunk.ByteSizeLong();
    watch = Stopwatch();
    auto loaded = ConfigFold::fromChunks(chunks);
    const double loadTime = watch.microseconds();
    loaded.reset();
    const double changeTime = microsecondsPerChange(fold, 200);
    const Transfer transfer = measureTransfer(changes);
    std::printf("organisations=%u items=%zu fold_us_per_record=%.2f first_state_ms=%.2f "
                "change_to_state_us=%.1f fold_heap_kb=%zu fold_and_state_heap_kb=%zu "
                "snapshot_kb=%zu chunks=%zu snapshot_ms=%.2f load_ms=%.2f transfer_ms=%.2f "
                "transfer_kb=%zu messages=%zu\n",
                organisations, changes.size(), foldTime / static_cast<double>(changes.size()),
                stateTime / 1000, changeTime, foldHeap / 1024, bothHeap / 1024,
                snapshotBytes / 1024, chunks.size(), chunkTime / 1000, loadTime / 1000,
                transfer.microseconds / 1000, transfer.bytes / 1024, transfer.messages);
}

} // namespace

} // namespace auburn

int main(int argc, char **argv)
{
    TCLAP::CmdLine line("Measures the configuration fold and the transfer of its state");
    TCLAP::MultiArg<unsigned> sizes("", "organisations", "number of organisations; repeatable",
                                    false, "count", line);
    line.parse(argc, argv);
    const QCoreApplication application(argc, argv);
    auburn::initialiseLog(auburn::LogLevel::Error, "config_bench");
    std::vector<unsigned> measured = sizes.getValue();
    if (measured.empty())
        measured = { 10, 1000, 21000 };
    for (const unsigned size : measured)
        auburn::measure(size);
    return 0;
}
