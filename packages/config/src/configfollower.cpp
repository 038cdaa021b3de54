#include "auburn/config/configfollower.h"

#include "auburn/config/configfold.h"
#include "auburn/core/ids.h"
#include "auburn/core/lasterror.h"
#include "auburn/core/log.h"
#include "logbootstrap.h"
#include "mailbox.h"
#include "peerpull.h"
#include "pullserver.h"
#include "snapshottracker.h"

#include <QRandomGenerator>

#include <algorithm>
#include <map>
#include <mutex>
#include <optional>
#include <utility>

namespace auburn {

namespace {

long long logNumber(std::uint64_t value)
{
    return static_cast<long long>(value);
}

// A count that goes down when the handle is destroyed, and the listeners, outlive the follower.
struct Shared
{
    unsigned readingHandles = 0;
    std::map<std::uint64_t, ConfigFollower::FoldedListener> listeners;
    std::uint64_t nextListener = 0;
};

class StreamFollower : public ConfigFollower
{
public:
    StreamFollower(ConfigFollowerOptions options, LogClient &log, MessageBus &bus,
                   ConfigStore &store)
        : options_(std::move(options))
        , log_(log)
        , store_(store)
        , mailbox_(std::make_shared<Mailbox>())
        , shared_(std::make_shared<Shared>())
        , pullServer_(bus, options_.chunkBytes)
        , peerPull_(bus)
    {
        listen(bus, proto::Envelope::kConfigPull, &StreamFollower::answerPull);
        listen(bus, proto::Envelope::kConfigChunk, &StreamFollower::takeChunk);
    }

    ~StreamFollower() override { mailbox_->close(); }

    void start() override
    {
        started_ = true;
        mailbox_->postAfter(options_.bootPeerWait, [this]() {
            bootWaitOver_ = true;
            readOn();
        });
        pullOn();
        readOn();
    }

    void setFollowing(bool following) override
    {
        mailbox_->post([this, following]() {
            relay_ = following;
            readOn();
        });
    }

    void onPeerRevision(const std::string &peerId, std::uint64_t revision) override
    {
        // Gossip repeats revisions every second; the common case costs no task on the main thread.
        const auto current = store_.current();
        if (current && revision <= current->revision())
            return;
        mailbox_->post([this, peerId, revision]() {
            if (fold_ && revision <= fold_->revision())
                return;
            if (!behindSince_)
                behindSince_ = std::chrono::steady_clock::now();
            peerPull_.notePeer(peerId, revision);
            pullOn();
        });
    }

    std::vector<FoldedChange> history() const override
    {
        const std::lock_guard lock(foldMutex_);
        if (!fold_)
            return {};
        const auto &entries = fold_->history().entries();
        return { entries.begin(), entries.end() };
    }

    Handle keepReading() override
    {
        ++shared_->readingHandles;
        readOn();
        return { static_cast<void *>(shared_.get()),
                 [shared = shared_](void *) { --shared->readingHandles; } };
    }

    Handle onFolded(FoldedListener listener) override
    {
        const std::uint64_t id = ++shared_->nextListener;
        shared_->listeners.emplace(id, std::move(listener));
        return { static_cast<void *>(shared_.get()),
                 [shared = shared_, id](void *) { shared->listeners.erase(id); } };
    }

    SnapshotStatus snapshotStatus() const override
    {
        const proto::SnapshotMark &mark = tracker_.newest();
        const bool caughtUp = fold_ && !bootstrap_ && logHealthy_ && isReader()
                              && fold_->revision() + 1 >= logNext_;
        return SnapshotStatus{ .caughtUp = caughtUp,
                               .earliest = logEarliest_,
                               .next = logNext_,
                               .uptoOffset = mark.upto_offset(),
                               .time = std::chrono::milliseconds(mark.time_ms()),
                               .lastChunkRead = tracker_.lastChunkRead() };
    }

    std::vector<proto::ConfigChunk> snapshotChunks(std::size_t maxBytes) const override
    {
        if (!fold_)
            return {};
        return fold_->chunks(makeShortId(), maxBytes);
    }

private:
    template<typename Method>
    void listen(MessageBus &bus, proto::Envelope::BodyCase kind, Method method)
    {
        // The bus may call after this object was destroyed; the closed mailbox then drops the task.
        bus.setHandler(kind, [this, mailbox = mailbox_, method](const std::string &sender,
                                                                const proto::Envelope &envelope) {
            mailbox->post(
                    [this, method, sender, envelope]() { (this->*method)(sender, envelope); });
        });
    }

    bool isReader() const
    {
        const bool needsBase = !fold_ && bootWaitOver_;
        return started_ && (relay_ || shared_->readingHandles > 0 || needsBase);
    }

    // ---- Reading the log

    void readOn()
    {
        if (reading_ || retryPending_ || !isReader())
            return;
        if (!fold_ && !bootstrap_)
            bootstrap_.emplace();
        reading_ = true;
        readFrom_ = bootstrap_ ? bootstrap_->next() : followFrom();
        const auto wait = bootstrap_ ? std::chrono::milliseconds(0) : options_.pollWait;
        readStart_ = std::chrono::steady_clock::now();
        log_.read(options_.stream, readFrom_, options_.readRecords, wait,
                  [this, mailbox = mailbox_](const std::optional<LogBatch> &batch) {
                      if (!mailbox->isOpen())
                          return;
                      reading_ = false;
                      onRead(batch);
                  });
    }

    // A log that ends before this daemon's revision is read from its end, where the next record
    // will appear.
    std::uint64_t followFrom() const { return logBehind_ ? logNext_ : fold_->revision() + 1; }

    void onRead(const std::optional<LogBatch> &batch)
    {
        if (!batch) {
            onReadFailure();
            return;
        }
        logHealthy_ = true;
        failures_ = 0;
        logEarliest_ = batch->earliest;
        if (bootstrap_)
            continueBootstrap(*batch);
        else
            foldBatch(*batch);
        readOn();
    }

    void onReadFailure()
    {
        if (logHealthy_ || failures_ == 0) {
            logEvent(LogLevel::Warning, "config_log_read_failed",
                     { { "stream", options_.stream }, { "reason", lastError() } });
        }
        logHealthy_ = false;
        ++failures_;
        retryLater();
        pullOn();
    }

    // The delay doubles up to retryMax; the random half keeps readers from returning all at once.
    void retryLater()
    {
        const unsigned doublings = std::min(failures_, 20U);
        const std::chrono::milliseconds doubled = options_.retryMin * (1LL << doublings);
        const auto ceiling = std::min(options_.retryMax, doubled);
        const double share = 0.5 + QRandomGenerator::global()->bounded(0.5);
        retryAfter(std::chrono::milliseconds(
                static_cast<std::int64_t>(static_cast<double>(ceiling.count()) * share)));
    }

    void retryAfter(std::chrono::milliseconds delay)
    {
        retryPending_ = true;
        mailbox_->postAfter(delay, [this]() {
            retryPending_ = false;
            readOn();
        });
    }

    void foldBatch(const LogBatch &batch)
    {
        logNext_ = batch.next;
        if (batch.earliest > fold_->revision() + 1) {
            logEvent(LogLevel::Warning, "config_log_gap",
                     { { "revision", logNumber(fold_->revision()) },
                       { "earliest", logNumber(batch.earliest) } });
            bootstrap_.emplace();
            return;
        }
        // The read was started for a later revision than the state that came from a peer since.
        if (readFrom_ > fold_->revision() + 1)
            return;
        std::vector<FoldedChange> folded;
        for (const LogRecord &record : batch.records)
            foldRecord(record, folded);
        logBehind_ = batch.next <= fold_->revision();
        publish(folded);
        pauseAfterEmptyRead(batch);
    }

    // Keeps a log that does not honour the wait from being polled without pause.
    void pauseAfterEmptyRead(const LogBatch &batch)
    {
        const auto taken = std::chrono::steady_clock::now() - readStart_;
        if (batch.records.empty() && taken < options_.pollWait / 2)
            retryAfter(options_.retryMin);
    }

    void foldRecord(const LogRecord &logRecord, std::vector<FoldedChange> &folded)
    {
        proto::ConfigRecord record;
        if (!record.ParseFromString(logRecord.data)) {
            logEvent(LogLevel::Error, "config_record_unreadable",
                     { { "offset", logNumber(logRecord.offset) } });
            record.Clear();
        }
        if (record.has_snapshot())
            tracker_.addChunk(logRecord.time, record.snapshot());
        const std::lock_guard lock(foldMutex_);
        if (auto outcome = fold_->fold(logRecord.offset, record))
            folded.push_back(std::move(*outcome));
    }

    void continueBootstrap(const LogBatch &batch)
    {
        if (readFrom_ != bootstrap_->next())
            return;
        trackSnapshots(batch);
        switch (bootstrap_->add(batch)) {
        case LogBootstrap::Step::More:
            return;
        case LogBootstrap::Step::Gap:
            bootstrap_.emplace();
            return;
        case LogBootstrap::Step::NoBase:
            logEvent(LogLevel::Error, "config_log_without_usable_snapshot",
                     { { "earliest", logNumber(batch.earliest) } });
            bootstrap_.reset();
            if (fold_)
                bootstrap_.emplace();
            ++failures_;
            retryLater();
            pullOn();
            return;
        case LogBootstrap::Step::Done:
            logNext_ = batch.next;
            logBehind_ = false;
            ConfigFold fold = bootstrap_->take();
            bootstrap_.reset();
            adopt(std::move(fold), "log");
            return;
        }
    }

    void trackSnapshots(const LogBatch &batch)
    {
        proto::ConfigRecord record;
        for (const LogRecord &logRecord : batch.records) {
            if (record.ParseFromString(logRecord.data) && record.has_snapshot())
                tracker_.addChunk(logRecord.time, record.snapshot());
        }
    }

    // Takes a whole state; one that is not newer than the present state is dropped.
    void adopt(ConfigFold fold, const char *source)
    {
        if (fold_ && fold.revision() <= fold_->revision())
            return;
        logEvent(LogLevel::Info, "config_state_adopted",
                 { { "source", source }, { "revision", logNumber(fold.revision()) } });
        {
            const std::lock_guard lock(foldMutex_);
            if (fold_)
                fold.inheritHistory(*fold_);
            fold_ = std::move(fold);
        }
        publish({});
    }

    void publish(const std::vector<FoldedChange> &folded)
    {
        peerPull_.forgetUpTo(fold_->revision());
        behindSince_.reset();
        if (!store_.update(fold_->state()))
            return;
        // A copy, because a listener may remove itself.
        const auto listeners = shared_->listeners;
        for (const auto &entry : listeners)
            entry.second(folded);
    }

    // ---- Peers

    void pullOn()
    {
        const bool served = fold_ && !bootstrap_ && logHealthy_ && isReader() && !isOverdue();
        if (!started_ || served || peerPull_.isWaiting())
            return;
        peerPull_.begin(fold_ ? fold_->revision() : 0);
        if (peerPull_.isWaiting())
            watchPull(peerPull_.progress());
    }

    // True if a peer's higher revision should have come from the log by now. Gossip repeats the
    // revision, so this is checked again.
    bool isOverdue() const
    {
        return behindSince_
               && std::chrono::steady_clock::now() - *behindSince_ > options_.overdueAfter;
    }

    void watchPull(std::uint64_t progress)
    {
        mailbox_->postAfter(options_.pullTimeout, [this, progress]() {
            if (!peerPull_.isWaiting())
                return;
            if (peerPull_.progress() != progress) {
                watchPull(peerPull_.progress());
                return;
            }
            logEvent(LogLevel::Warning, "config_pull_timed_out");
            peerPull_.fail();
            pullOn();
        });
    }

    void answerPull(const std::string &sender, const proto::Envelope &envelope)
    {
        pullServer_.answer(sender, envelope.config_pull(), fold_ ? &*fold_ : nullptr,
                           tracker_.newest());
    }

    void takeChunk(const std::string &sender, const proto::Envelope &envelope)
    {
        if (const auto chunks = peerPull_.addChunk(sender, envelope.config_chunk()))
            takeAnswer(*chunks);
        pullOn();
    }

    void takeAnswer(const std::vector<proto::ConfigChunk> &chunks)
    {
        tracker_.adopt(chunks[0].newest_snapshot());
        logBehind_ = false;
        if (chunks[0].delta()) {
            takeDelta(chunks);
            return;
        }
        auto fold = ConfigFold::fromChunks(chunks);
        if (!fold) {
            logEvent(LogLevel::Warning, "config_pull_unusable", { { "reason", lastError() } });
            return;
        }
        adopt(std::move(*fold), "peer");
        // The bootstrap continues only if this daemon is still behind the log's retention.
        if (fold_->revision() + 1 >= logEarliest_)
            bootstrap_.reset();
    }

    void takeDelta(const std::vector<proto::ConfigChunk> &chunks)
    {
        std::vector<FoldedChange> folded;
        if (!fold_) {
            ConfigFold fold;
            if (!fold.foldDelta(chunks, folded))
                return;
            adopt(std::move(fold), "peer");
            bootstrap_.reset();
            return;
        }
        bool usable = false;
        {
            const std::lock_guard lock(foldMutex_);
            usable = fold_->foldDelta(chunks, folded);
        }
        if (!usable)
            logEvent(LogLevel::Warning, "config_pull_unusable", { { "reason", lastError() } });
        publish(folded);
    }

    ConfigFollowerOptions options_;
    LogClient &log_;
    ConfigStore &store_;
    std::shared_ptr<Mailbox> mailbox_;
    std::shared_ptr<Shared> shared_;
    PullServer pullServer_;
    PeerPull peerPull_;
    SnapshotTracker tracker_;

    bool started_ = false;
    bool bootWaitOver_ = false;
    bool relay_ = false;

    // Held while the fold changes on the main thread, and by history() on others.
    mutable std::mutex foldMutex_;
    std::optional<ConfigFold> fold_;
    std::optional<LogBootstrap> bootstrap_;

    // When a higher revision of a peer was first received since the last record was folded.
    std::optional<std::chrono::steady_clock::time_point> behindSince_;

    bool reading_ = false;
    bool retryPending_ = false;
    bool logHealthy_ = false;
    unsigned failures_ = 0;
    std::uint64_t readFrom_ = 0;
    std::chrono::steady_clock::time_point readStart_;
    std::uint64_t logEarliest_ = 0;
    std::uint64_t logNext_ = 0;
    bool logBehind_ = false;
};

} // namespace

std::unique_ptr<ConfigFollower> ConfigFollower::make(ConfigFollowerOptions options, LogClient &log,
                                                     MessageBus &bus, ConfigStore &store)
{
    return std::make_unique<StreamFollower>(std::move(options), log, bus, store);
}

} // namespace auburn
