// OriginRegistry finds the software version that began a stream, also for streams of other daemons
// and of daemons that were killed.
//
// Each service has a baseline: the version that began every stream without a record. A stream that
// a server of another version begins is recorded before its caller sees its first event, so a
// missing record proves that the baseline version began the stream. The baseline moves to another
// version once no server has had the old one for the lifetime of a stream. The design and the ways
// that were weighed are in docs/design/stream-versions.md.
#pragma once

#include "auburn/core/bootclock.h"
#include "auburn/duties/conditionallog.h"
#include "auburn/routing/serverdirectory.h"
#include "auburn/routing/streamorigins.h"
#include "auburn/routing/trafficconfig.h"
#include "auburn/streams/originlog.h"
#include "auburn/streams/versionhistory.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace auburn::streams {

class OriginRegistry : public routing::StreamOrigins
{
public:
    // Counts the time for which the VM is suspended.
    using Clock = BootClock;

    struct Options
    {
        const routing::ServerDirectory *directory = nullptr;
        const std::shared_ptr<const routing::TrafficConfig> *config = nullptr;
        OriginLog *records = nullptr;
        // The baselines, by service.
        duties::ConditionalLog *baselines = nullptr;
        // The whole system is starting for the first time.
        bool isFirstStart = false;
        // Returns true if this daemon reads the store, so that its view of the servers is a basis
        // for a new baseline.
        std::function<bool()> mayMoveBaselines;
        // Records of streams are collected for this long before they are appended together.
        std::chrono::milliseconds batchTime{ 100 };
        // Longest delay of a first event that waits for its record.
        std::chrono::milliseconds maxRecordWait{ 300 };
        // Delay before an append or a listing that failed is repeated.
        std::chrono::milliseconds retryDelay{ 300 };
        // Other daemons that see the same need for a baseline write it at other times within this
        // time.
        std::chrono::milliseconds baselineSpread{ 1500 };
        // Within this time after a restore of the store, every daemon has noticed it and has
        // written its lost records again.
        std::chrono::milliseconds rewriteTime{ 2500 };
        std::function<Clock::time_point()> now = [] { return Clock::now(); };
        // The wall clock, in milliseconds since the Unix epoch.
        std::function<std::int64_t()> unixNow = [] {
            return std::chrono::duration_cast<std::chrono::milliseconds>(
                           std::chrono::system_clock::now().time_since_epoch())
                    .count();
        };
    };

    // What the registry did, for metrics.
    struct Counters
    {
        std::uint64_t recorded = 0;
        // Streams whose record was not acknowledged before the limit of the wait.
        std::uint64_t unrecorded = 0;
        std::uint64_t lookups = 0;
        // Lookups that did not find the version.
        std::uint64_t unknown = 0;
    };

    OriginRegistry(boost::asio::io_context &io, Options options);

    void find(const std::string &requestId, const std::string &service,
              std::chrono::milliseconds timeLimit, VersionHandler handler) override;
    std::optional<std::string> preferredVersion(const std::string &service) const override;
    bool preferenceYieldsToLatency(const std::string &service) const override;
    void streamSent(const routing::StreamOrigin &origin) override;
    void whenFindable(const std::string &requestId, FindableHandler handler) override;

    // To be called after the configuration or the directory of servers has changed, and at least
    // once a second.
    void update();
    // Reports the newest era of the store's log that this daemon knows. A later era than the known
    // one means that the store was restored from an older copy: what it has lost is written again.
    void observeEra(std::uint64_t era);
    // Reports that another daemon noticed a restore of the store this long ago: records may be
    // missing that have not been written again yet.
    void observeRestore(std::chrono::milliseconds ago);

    const Counters &counters() const { return counters_; }
    // The baseline of a service; empty if none is known.
    std::optional<std::string> baselineOf(const std::string &service) const;

private:
    struct Baseline
    {
        std::string version;
        std::uint64_t generation = 0;
        // The generation that the store lists.
        std::uint64_t listedGeneration = 0;
        // No server has had the version at some time since the baseline was listed, so another
        // daemon may have moved it.
        bool mayHaveMoved = false;
        // Since when the version has had servers; empty if it has none.
        std::optional<Clock::time_point> servedSince = {};
    };
    // A stream whose version this daemon knows.
    struct Stream
    {
        std::string service;
        std::string version;
        Clock::time_point knownAt;
        // This daemon has sent the stream.
        bool isOwn = false;
        // The version was read after a caller had resumed the stream. Until then its daemon may
        // send it to another version and replace the record.
        bool isFinal = false;
        // The log has a record of the stream, maybe of another version that it was sent to before.
        bool hasRecord = false;
        // The version has to be recorded.
        bool isPending = false;
    };
    struct Query
    {
        std::uint64_t stream = 0;
        std::string service;
        Clock::time_point deadline;
        VersionHandler handler;
    };
    struct Waiter
    {
        std::uint64_t stream = 0;
        Clock::time_point deadline;
        FindableHandler handler;
    };

    // True if the stream is known to belong to another service. Servers of different services
    // cannot continue each other's streams either.
    bool isOfOtherService(std::uint64_t stream, const std::string &service) const;
    // The version of a stream as far as this daemon knows it without a call; empty if it does not.
    std::optional<std::string> knownVersion(std::uint64_t stream, const std::string &service) const;
    // The services whose streams may be resumed.
    std::set<std::string> resumableServices() const;

    // The baseline of a service, if no other daemon can have moved it; empty otherwise.
    std::optional<std::string> currentBaseline(const std::string &service) const;
    // Notes which baselines have servers.
    void observeBaselines();
    // True if every daemon knows that the baseline's version has servers, so that none moves it.
    bool isServedForLong(const std::string &service, const Baseline &baseline) const;
    // True if the baseline of a service whose streams may be resumed is not known, or may have
    // moved although its version has servers.
    bool needsListing(const std::set<std::string> &services) const;
    void listBaselines();
    void baselinesListed(const std::optional<duties::LogListing> &listing);
    void recordBaseline(const std::string &service, const Baseline &baseline);
    // Records the streams of this daemon that relied on another baseline than this one, or on one
    // that the store has lost if none is given.
    void recordUnlistedStreams(const std::string &service,
                               const std::optional<std::string> &baseline);
    // The baseline that has to be written for the service; empty if none has to be.
    std::optional<Baseline> dueBaseline(const std::string &service, Clock::time_point now) const;
    // Writes the first baseline of a service, or moves it, if that is due. Lists the baselines
    // directly before, because another daemon may have written it.
    void proposeBaselines();
    void appendDueBaseline();
    void baselineAppended(const std::string &service, const Baseline &baseline,
                          const duties::AppendResult &result);

    void scheduleBatch(std::chrono::milliseconds delay);
    void setPending(std::uint64_t id, Stream &stream);
    void appendBatch();
    void batchAppended(const std::vector<std::uint64_t> &ids, bool appended);
    void setLogLost(bool isLost);
    // The version whose streams need no record, if the log takes none now and the version has
    // servers; empty otherwise.
    std::optional<std::string> versionWithoutRecords(const std::string &service) const;
    // The version that should begin new streams because another one is new.
    std::optional<std::string> settledVersion(const std::string &service) const;
    // True if the stream has a record that is not acknowledged.
    bool awaitsRecord(std::uint64_t stream) const;
    // Calls the handlers of the waiters that need not wait any longer.
    void releaseWaiters();

    // Reads the baselines and the new records for the queries that wait.
    void startLookup();
    void recordsRead(const std::optional<std::vector<OriginRecord>> &records);
    // Counts one of the two reads of a lookup; the second one answers the queries.
    void lookupStepEnded(bool succeeded);
    void answer(const Query &query, bool isComplete);
    // The version that is assumed if the store does not respond; empty if none can be.
    std::optional<std::string> assumedVersion(const std::string &service) const;
    void onStoreRestored();
    // Answers the queries whose time is over.
    void expireQueries();
    void scheduleExpiry();
    void expireStreams();

    const Options options_;
    VersionHistory history_;
    std::map<std::string, Baseline> baselines_;
    // The end of the topic of baselines when it was listed.
    std::uint64_t baselinesEnd_ = 0;
    bool areBaselinesListed_ = false;
    bool isListing_ = false;
    // The time from which the baselines may be listed again.
    Clock::time_point nextListing_;
    // When this daemon may propose a baseline, by service.
    std::map<std::string, Clock::time_point> proposalTimes_;
    bool appendsAfterListing_ = false;
    bool isAppendingBaseline_ = false;

    std::unordered_map<std::uint64_t, Stream> streams_;
    std::vector<std::uint64_t> pending_;
    bool isAppending_ = false;
    // The streams of the append in progress.
    std::unordered_set<std::uint64_t> appending_;
    bool isBatchScheduled_ = false;
    // The last append failed or takes too long, so first events do not wait for their records.
    bool isLogLost_ = false;
    std::list<Waiter> waiters_;

    // Queries that wait for the next lookup, and those of the lookup in progress.
    std::list<Query> nextQueries_;
    std::list<Query> currentQueries_;
    // Reads of the lookup in progress that have not ended.
    unsigned lookupSteps_ = 0;
    bool hasLookupFailed_ = false;
    Clock::time_point lookupStartedAt_;
    // Empty until the era is known.
    std::optional<std::uint64_t> era_;
    // When all records that the restored store has lost are written again. Until then a missing
    // record proves nothing.
    Clock::time_point recordsCompleteAt_;

    Counters counters_;
    boost::asio::steady_timer batchTimer_;
    boost::asio::steady_timer expiryTimer_;
    bool isExpiryScheduled_ = false;
    boost::asio::steady_timer listTimer_;
};

} // namespace auburn::streams
