// ClaimPartition: one owner's work on one claims stream: its open batches, and the fold of what it
// has read.
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
    using Reply = std::function<void(const std::string &receiver, const std::string &attemptId,
                                     proto::ClaimStatus status)>;

    struct Options
    {
        ClaimLog *log = nullptr;
        std::string stream;
        // Tells the batches of this process from those of others.
        std::string writer;
        Reply reply;
        std::function<TimePoint()> clock;
        std::function<IdempotencyKey::WallTime()> wallClock;
    };

    explicit ClaimPartition(Options options);

    void claim(const std::string &client, proto::ClaimRecord record);
    // The client is told with status UNSPECIFIED once the outcome is in the log.
    void finish(const std::string &client, proto::ClaimOutcomeRecord record);
    void tick(TimePoint now, bool owned);
    // Late answers of the log have no effect after this.
    void close();

private:
    struct Claim
    {
        proto::ClaimRecord record;
        std::string client;
        TimePoint since;
    };

    struct Outcome
    {
        proto::ClaimOutcomeRecord record;
        std::set<std::string> clients;
        TimePoint since;
    };

    struct Batch
    {
        std::string bytes;
        // Attempt ids.
        std::vector<std::string> claims;
        std::vector<std::string> outcomes;
        bool inFlight = false;
        // True once an append had no certain result; a copy may then be in the log.
        bool uncertain = false;
        TimePoint retryAt;
        std::chrono::milliseconds retryPause{ 0 };
    };

    struct Answer
    {
        std::string receiver;
        std::string attemptId;
        proto::ClaimStatus status;
    };

    // What to do once the lock is released.
    struct Work
    {
        std::vector<Answer> answers;
        std::vector<std::uint64_t> appends;
        bool read = false;
    };

    void perform(const Work &work);
    void append(std::uint64_t number);
    void read();
    void onAppended(std::uint64_t number, const ClaimAppendResult &result);
    void onRead(const ClaimReadResult &result);
    void onSearchRead(const ClaimReadResult &result, Work &work);
    void onRecords(const ClaimReadResult &result, Work &work);
    void foldRecord(const ClaimLogRecord &record, Work &work);
    void answer(const ClaimDecision &decision, Work &work);
    void answerOutcomes(const proto::ClaimBatch &batch, Work &work);
    void noteGap(const ClaimReadResult &result);
    void makeBatch(TimePoint now, Work &work);
    void retryBatches(TimePoint now, Work &work);
    void giveUp(TimePoint now, Work &work);
    bool hasWork() const;
    void forgetFold();

    const Options options_;
    std::mutex mutex_;
    bool closed_ = false;
    // Not answered yet, by attempt id.
    std::map<std::string, Claim> claims_;
    std::map<std::string, Outcome> outcomes_;
    std::deque<std::string> queuedClaims_;
    std::deque<std::string> queuedOutcomes_;
    // Appended or being appended, and not read yet.
    std::map<std::uint64_t, Batch> batches_;
    std::uint64_t nextBatch_ = 1;
    TimePoint lastBatch_;
    // Set while the failure domain to begin is searched; then fold_ is set.
    std::optional<ReplayOffsetSearch> search_;
    std::optional<ClaimStateMachine> fold_;
    std::uint64_t nextOffset_ = 0;
    bool reading_ = false;
    TimePoint readAgainAt_;
    TimePoint lastNeeded_;
};

} // namespace auburn
