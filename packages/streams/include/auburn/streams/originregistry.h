// OriginRegistry finds the software version that began a stream, also for streams of other daemons
// and of daemons that were killed.
//
// Each service has a baseline: the version that began every stream without a record. A stream that
// a server of another version begins is recorded before its caller sees its first event, so a
// missing record proves that the baseline version began the stream. The baseline moves to another
// version once no server has had the old one for the lifetime of a stream.
//
// After a restore of the store, and while this daemon cannot read it, a missing record and a single
// known version prove something only if all other daemons that may know more have confirmed it;
// they are asked then. The design and the ways that were weighed are in
// docs/design/stream-versions.md.
#pragma once

#include "auburn/core/bootclock.h"
#include "auburn/core/confirmations.h"
#include "auburn/duties/conditionallog.h"
#include "auburn/routing/serverdirectory.h"
#include "auburn/routing/streamorigins.h"
#include "auburn/routing/trafficconfig.h"
#include "auburn/streams/daemonprocesses.h"
#include "auburn/streams/originlog.h"
#include "auburn/streams/originpeers.h"
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
        // Null if the other daemons cannot be asked.
        OriginPeers *peers = nullptr;
        // The time at which this daemon's list of servers was complete; empty if that is unknown.
        // If there is no such function, the list always is.
        std::function<std::optional<Clock::time_point>()> viewConfirmedAt;
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
        // The other daemons are asked about a stream that the store has not told of after this
        // time, and again at this interval.
        std::chrono::milliseconds questionDelay{ 150 };
        // Other daemons that see the same need for a baseline write it at other times within this
        // time.
        std::chrono::milliseconds baselineSpread{ 1500 };
        // Within this time after a restore of the store, every daemon has noticed it and has
        // written its lost records again, if nothing is known of the other daemons.
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
        // Questions to the other daemons; a repeated one counts again.
        std::uint64_t questions = 0;
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

    // Records what another daemon has stated in a heartbeat.
    void observeProcess(const ProcessState &state);
    // The fleet has become so large that the silence of a daemon says nothing.
    void forgetProcesses() { processes_.clear(); }
    // The newest era of the store whose log holds all records of this daemon's streams; 0 if none.
    std::uint64_t recordsEra() const { return recordsEra_; }
    // True if this daemon knows of a process whose records the restored store may lack.
    bool missesRecords() const;
    // What this daemon knows about the stream that another one asks for. The number and the process
    // are up to the caller.
    OriginReply replyTo(const OriginQuestion &question) const;
    void handleReply(const OriginReply &reply);

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
    // What was known when a lookup began.
    struct Lookup
    {
        Clock::time_point startedAt;
        std::optional<std::uint64_t> era = {};
        bool isRestoreKnown = false;
        // The processes whose records the log might lack.
        std::vector<std::string> unconfirmed = {};
    };
    // A take-up that waits for the version of its stream.
    struct Query
    {
        // Identifies the query in questions to other daemons.
        std::uint64_t number = 0;
        // Empty if the caller does not name the stream.
        std::optional<std::uint64_t> stream;
        std::string service;
        Clock::time_point arrivedAt;
        Clock::time_point deadline;
        Clock::time_point nextQuestionAt;
        VersionHandler handler;
        // Is part of the lookup in progress.
        bool isInLookup = false;
        // The last complete lookup that it was part of.
        std::optional<Lookup> lookup = {};
        // The processes that do not know the stream.
        Confirmations denials = {};
        // Another daemon knows the stream.
        std::optional<StreamVersionOfService> origin = {};
        // The versions that these processes have seen, and whether one of them has for long.
        std::set<std::string> versions = {};
        bool hasSeenLifetime = false;
    };
    // The version that a query is answered with; empty if no server may resume the stream.
    struct Answer
    {
        std::optional<std::string> version;
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
    // The baseline of a service if no other version can have begun a stream.
    std::optional<std::string> onlyCurrentVersion(const std::string &service) const;
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
    // Counts one of the two reads of a lookup; the second one ends it.
    void lookupStepEnded(bool succeeded);
    // Looks up again what is still unknown after a delay.
    void scheduleLookup();

    // The answer to a query as far as it is certain now; empty if the query has to wait.
    std::optional<Answer> decide(const Query &query) const;
    std::optional<Answer> decideByRead(const Query &query) const;
    // The version that began the stream according to the last read of the records.
    std::optional<std::string> recordedVersion(std::uint64_t stream,
                                               const std::string &service) const;
    // True if the lookup read the log of the present era and began after the restore was known.
    bool knowsRestore(const Lookup &lookup) const;
    // True if the log had all records, and the newest of each stream, when the lookup began.
    bool isLogComplete(const Lookup &lookup) const;
    // True if a stream without a record was begun by the baseline version: no daemon can have begun
    // it at another version, written a record, and lost it by a restore of the store.
    bool isAbsenceProven(const Query &query) const;
    // The processes whose records the restored log may lack; one without a name stands for those
    // that only other daemons know of.
    std::vector<std::string> unconfirmedProcesses() const;
    bool isRestoreRecent() const;
    // True if no server of an unknown version can have begun a stream.
    bool isViewCurrent() const;
    // The only version that this daemon and all others that might know more have seen.
    std::optional<std::string> versionConfirmedByPeers(const Query &query) const;
    // The version that is assumed if the store does not respond; empty if none can be.
    std::optional<std::string> assumedVersion(const std::string &service) const;

    // Answers the queries that can be, and those whose time is over.
    void answerQueries();
    void askPeers(Query &query);
    void onStoreRestored();
    void updateRecordsEra();
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

    std::list<Query> queries_;
    std::uint64_t lastQuery_ = 0;
    // Reads of the lookup in progress that have not ended.
    unsigned lookupSteps_ = 0;
    bool hasLookupFailed_ = false;
    Lookup lookup_;
    bool isLookupScheduled_ = false;
    DaemonProcesses processes_;
    const Clock::time_point startedAt_;
    // Empty until the era is known.
    std::optional<std::uint64_t> era_;
    std::uint64_t recordsEra_ = 0;
    // When the last known restore of the store was noticed by the first daemon.
    std::optional<Clock::time_point> restoredAt_;

    Counters counters_;
    boost::asio::steady_timer batchTimer_;
    boost::asio::steady_timer expiryTimer_;
    bool isExpiryScheduled_ = false;
    boost::asio::steady_timer lookupTimer_;
};

} // namespace auburn::streams
