#include "auburn/config/snapshotwriter.h"

#include "auburn/core/log.h"
#include "mailbox.h"

#include <QRandomGenerator>

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace auburn {

namespace {

using Clock = std::chrono::steady_clock;

// After the last chunk of another writer's unfinished snapshot, it is taken to have stopped.
constexpr std::chrono::seconds kStandBack{ 10 };
// Failed appends of one chunk before the snapshot is given up.
constexpr unsigned kChunkAttempts = 5;
constexpr std::chrono::milliseconds kRetryDelay{ 500 };

std::chrono::milliseconds wallTime()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch());
}

// True if a reader could start from the newest snapshot.
bool hasUsable(const SnapshotStatus &status)
{
    return status.time.count() > 0 && status.uptoOffset + 1 >= status.earliest;
}

// True if a log that removes records by count is about to remove the records that the snapshot
// needs: more than two thirds of the held records are newer than the snapshot.
bool isNearRemoval(const SnapshotStatus &status)
{
    const std::uint64_t held = status.next - status.earliest;
    const std::uint64_t newer = status.next - status.uptoOffset;
    return status.earliest > 1 && newer * 3 > held * 2;
}

class LogSnapshotWriter : public SnapshotWriter
{
public:
    LogSnapshotWriter(SnapshotWriterOptions options, LogClient &log, ConfigFollower &follower)
        : options_(std::move(options))
        , log_(log)
        , follower_(follower)
        , mailbox_(std::make_shared<Mailbox>())
    {
        check();
    }

    ~LogSnapshotWriter() override { mailbox_->close(); }

    void setActive(bool active) override
    {
        mailbox_->post([this, active]() { active_ = active; });
    }

    unsigned written() const override { return written_; }

private:
    void check()
    {
        mailbox_->postAfter(options_.checkInterval, [this]() { check(); });
        if (!active_ || !chunks_.empty())
            return;
        const SnapshotStatus status = follower_.snapshotStatus();
        const auto now = Clock::now();
        if (!isDue(status) || now - status.lastChunkRead < kStandBack) {
            writeAt_.reset();
            return;
        }
        if (!writeAt_)
            writeAt_ = now + randomDelay();
        if (now >= *writeAt_)
            begin();
    }

    std::chrono::milliseconds randomDelay() const
    {
        const auto most = static_cast<double>(options_.maxDelay.count());
        return std::chrono::milliseconds(
                static_cast<std::int64_t>(most * QRandomGenerator::global()->generateDouble()));
    }

    bool isDue(const SnapshotStatus &status) const
    {
        const bool tooSoon = lastBegin_ && Clock::now() - *lastBegin_ < options_.minInterval;
        if (!status.caughtUp || status.next <= 1 || tooSoon)
            return false;
        if (!hasUsable(status) || isNearRemoval(status))
            return true;
        return wallTime() - status.time > options_.retention / 3;
    }

    void begin()
    {
        writeAt_.reset();
        lastBegin_ = Clock::now();
        chunks_ = follower_.snapshotChunks(options_.chunkBytes);
        nextChunk_ = 0;
        failures_ = 0;
        if (!chunks_.empty())
            appendChunk();
    }

    void appendChunk()
    {
        // A writer that was paused for long would append a state that no reader can use.
        if (!active_ || Clock::now() - *lastBegin_ > options_.retention / 6) {
            giveUp("the writer stopped or was too slow");
            return;
        }
        proto::ConfigRecord record;
        *record.mutable_snapshot() = chunks_[nextChunk_];
        log_.append(options_.stream, record.SerializeAsString(),
                    [this, mailbox = mailbox_](const AppendResult &result) {
                        if (mailbox->isOpen())
                            takeAppend(result);
                    });
    }

    void takeAppend(const AppendResult &result)
    {
        if (std::holds_alternative<Appended>(result)) {
            failures_ = 0;
            ++nextChunk_;
            takeChunkDone();
            return;
        }
        if (++failures_ >= kChunkAttempts) {
            giveUp("the log did not accept a chunk");
            return;
        }
        // A chunk that is on the log twice counts once.
        mailbox_->postAfter(kRetryDelay, [this]() { appendChunk(); });
    }

    void takeChunkDone()
    {
        if (nextChunk_ < chunks_.size()) {
            mailbox_->postAfter(options_.chunkPause, [this]() { appendChunk(); });
            return;
        }
        logEvent(LogLevel::Info, "config_snapshot_written",
                 { { "upto", static_cast<long long>(chunks_[0].upto_offset()) },
                   { "chunks", static_cast<long long>(chunks_.size()) } });
        chunks_.clear();
        ++written_;
    }

    void giveUp(const char *reason)
    {
        logEvent(LogLevel::Warning, "config_snapshot_abandoned", { { "reason", reason } });
        chunks_.clear();
    }

    SnapshotWriterOptions options_;
    LogClient &log_;
    ConfigFollower &follower_;
    std::shared_ptr<Mailbox> mailbox_;
    bool active_ = false;
    // When the snapshot that is due is written.
    std::optional<Clock::time_point> writeAt_;
    std::optional<Clock::time_point> lastBegin_;
    // The snapshot in progress; empty if there is none.
    std::vector<proto::ConfigChunk> chunks_;
    std::size_t nextChunk_ = 0;
    unsigned failures_ = 0;
    unsigned written_ = 0;
};

} // namespace

std::unique_ptr<SnapshotWriter> SnapshotWriter::make(SnapshotWriterOptions options, LogClient &log,
                                                     ConfigFollower &follower)
{
    return std::make_unique<LogSnapshotWriter>(std::move(options), log, follower);
}

} // namespace auburn
