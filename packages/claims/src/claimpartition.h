// ClaimPartition processes the claims of one log stream for a ClaimOwner: it appends claims and
// outcomes in batches, reads the stream, and replies to clients when it reads the records of their
// claims.
//
// All methods are thread-safe.
#pragma once

#include "auburn/claims/claimlog.h"
#include "auburn/claims/claimowner.h"
#include "auburn/claims/claimstatemachine.h"
#include "replayoffsetsearch.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace auburn {

class ClaimPartition : public std::enable_shared_from_this<ClaimPartition>
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;
    using ReplyCallback = std::function<void(
            const std::string &receiver, const std::string &attemptId, proto::ClaimStatus status)>;

    struct Options
    {
        ClaimLog *log = nullptr;
        std::string stream;
        // Identifies the batches of this process among those of others.
        std::string writer;
        // Called without the mutex held.
        ReplyCallback reply;
        std::function<TimePoint()> clock;
        std::function<IdempotencyKey::WallTime()> wallClock;
    };

    explicit ClaimPartition(Options options);

    // Queues a claim. The client receives its status in a reply, at the latest after kClaimTimeout.
    void claim(const std::string &client, proto::ClaimRecord record);
    // Queues an outcome. The client receives a reply with status UNSPECIFIED once the outcome is in
    // the log.
    void finish(const std::string &client, proto::ClaimOutcomeRecord record);
    // Expires and retries requests, appends a batch if one is due, and starts a read unless one is
    // running.
    void tick(TimePoint now, bool isOwner);
    // Makes later responses of the log have no effect.
    void close();

private:
    // A claim that has no reply yet.
    struct PendingClaim
    {
        proto::ClaimRecord record;
        std::string client;
        TimePoint receivedAt;
    };

    // An outcome that has not been read from the log yet. Every client that sent it gets a reply.
    struct PendingOutcome
    {
        proto::ClaimOutcomeRecord record;
        std::set<std::string> clients;
        TimePoint receivedAt;
    };

    // A batch whose record has been sent to the log and has not been read back yet.
    struct Batch
    {
        std::string serializedBatch;
        // Attempt ids of the claims and outcomes in the batch.
        std::vector<std::string> claims;
        std::vector<std::string> outcomes;
        bool inFlight = false;
        // True once the result of an append was unknown: a copy of the batch may be in the log.
        bool uncertain = false;
        TimePoint retryAt;
        std::chrono::milliseconds retryDelay{ 0 };
    };

    struct OutgoingReply
    {
        std::string receiver;
        std::string attemptId;
        proto::ClaimStatus status;
    };

    // Callbacks and log calls that are collected under the mutex and performed after its release.
    struct DeferredWork
    {
        std::vector<OutgoingReply> replies;
        // Numbers of the batches to append.
        std::vector<std::uint64_t> appends;
        bool read = false;
    };

    void perform(const DeferredWork &work);
    void append(std::uint64_t number);
    void read();
    void onAppended(std::uint64_t number, const ClaimAppendResult &result);
    void onRead(const ClaimReadResult &result);
    // Continues the search for the first offset to apply, and starts with an empty state machine
    // once it is found.
    void onSearchResult(const ClaimReadResult &result, DeferredWork &work);
    void onRecords(const ClaimReadResult &result, DeferredWork &work);
    void applyRecord(const ClaimLogRecord &record, DeferredWork &work);
    // Queues the reply to a claim and removes the claim. Does nothing if it is not pending here.
    void queueReply(const ClaimDecision &decision, DeferredWork &work);
    void queueOutcomeReplies(const proto::ClaimBatch &batch, DeferredWork &work);
    // Skips records that the log has removed before they were read. Keys that may have been claimed
    // in them are made unavailable unless they have expired.
    void handleRetentionGap(const ClaimReadResult &result);
    // Creates a batch of queued claims and outcomes if the batch interval has passed and the limits
    // on open batches allow it.
    void createBatch(TimePoint now, DeferredWork &work);
    // Repeats appends whose result is unknown while their batch contains pending requests, and
    // drops batches that contain none.
    void retryBatches(TimePoint now, DeferredWork &work);
    // Answers claims older than kClaimTimeout and drops outcomes whose keys have expired.
    void expireRequests(TimePoint now, DeferredWork &work);
    bool hasPendingRequests() const;
    // Frees the state of the stream. The next read searches for the start again.
    void resetStateMachine();

    const Options options_;
    std::mutex mutex_;
    bool closed_ = false;
    // Requests without a reply, by attempt id.
    std::map<std::string, PendingClaim> claims_;
    std::map<std::string, PendingOutcome> outcomes_;
    // Attempt ids that are not in a batch yet.
    std::deque<std::string> queuedClaims_;
    std::deque<std::string> queuedOutcomes_;
    // Batches that are appended or being appended and have not been read back, by batch number.
    std::map<std::uint64_t, Batch> batches_;
    std::uint64_t nextBatchNumber_ = 1;
    // Time of the last batch. After a failed append it is set to a later time, which delays the
    // next batch.
    TimePoint lastBatchTime_;
    // Set while the offset to start reading from is searched for. stateMachine_ is set after that.
    std::optional<ReplayOffsetSearch> startSearch_;
    std::optional<ClaimStateMachine> stateMachine_;
    std::uint64_t nextOffset_ = 0;
    bool reading_ = false;
    TimePoint nextReadAt_;
    // Last time at which the partition was owned or had pending requests.
    TimePoint lastActive_;
};

} // namespace auburn
