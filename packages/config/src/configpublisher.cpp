#include "auburn/config/configpublisher.h"

#include "auburn/core/ids.h"
#include "auburn/core/lasterror.h"
#include "auburn/core/log.h"
#include "itemrules.h"
#include "mailbox.h"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace auburn {

namespace {

using Clock = std::chrono::steady_clock;

// One change between its submission and its result.
struct Submission
{
    proto::ConfigChange change;
    std::vector<ConfigPublisher::Callback> callbacks;
    Clock::time_point deadline;
    ConfigFollower::Handle reading;
    // Probes and appends that certainly had no effect.
    unsigned failures = 0;
    bool appending = false;
    bool mayBeOnLog = false;
    // Offset of the first append that got a response.
    std::optional<std::uint64_t> offset;
};

using SubmissionPtr = std::shared_ptr<Submission>;

PublishResult resultOf(const FoldedChange &folded)
{
    switch (folded.status) {
    case ChangeStatus::Conflict:
        return ChangeConflict{ folded.reason };
    case ChangeStatus::Invalid:
        return ChangeInvalid{ folded.reason };
    case ChangeStatus::Accepted:
        break;
    }
    return ChangeAccepted{ folded.offset };
}

// A conflict that is certain from the local state, which may lag behind the log: the item has
// changed after the base revision, or was removed after it.
std::optional<std::string> certainConflict(const ConfigState &state,
                                           const proto::ConfigChange &change)
{
    const Item *item = state.find(*keyOfChange(change));
    const std::uint64_t base = change.base_revision();
    if (item && item->revision > base) {
        return "the item is at revision " + std::to_string(item->revision)
               + ", the change is based on revision " + std::to_string(base);
    }
    if (!item && base > 0 && base <= state.revision())
        return "the item of revision " + std::to_string(base) + " no longer exists";
    return std::nullopt;
}

class LogPublisher : public ConfigPublisher
{
public:
    LogPublisher(ConfigPublisherOptions options, LogClient &log, ConfigFollower &follower,
                 ConfigStore &store)
        : options_(std::move(options))
        , log_(log)
        , follower_(follower)
        , store_(store)
        , mailbox_(std::make_shared<Mailbox>())
        , subscription_(follower.onFolded(
                  [this](const std::vector<FoldedChange> &folded) { takeFolded(folded); }))
    {}

    ~LogPublisher() override { mailbox_->close(); }

    void submit(proto::ConfigChange change, Callback callback) override
    {
        mailbox_->post([this, change = std::move(change), callback = std::move(callback)]() {
            begin(change, callback);
        });
    }

private:
    void begin(proto::ConfigChange change, const Callback &callback)
    {
        complete(change);
        if (const auto pending = pending_.find(change.change_id()); pending != pending_.end()) {
            pending->second->callbacks.push_back(callback);
            return;
        }
        if (const auto early = earlyResult(change)) {
            callback(*early);
            return;
        }
        const auto submission = std::make_shared<Submission>();
        submission->callbacks.push_back(callback);
        submission->deadline = Clock::now() + options_.deadline;
        pending_.emplace(change.change_id(), submission);
        submission->change = std::move(change);
        submission->reading = follower_.keepReading();
        mailbox_->postAfter(options_.deadline, [this, submission]() { expire(submission); });
        probe(submission);
    }

    // Appends only once the log answers a read: an append during an outage ends without a certain
    // outcome.
    void probe(const SubmissionPtr &submission)
    {
        if (isDone(submission))
            return;
        log_.read(options_.stream, store_.revision() + 1, 1, std::chrono::milliseconds(0),
                  [this, mailbox = mailbox_, submission](const std::optional<LogBatch> &batch) {
                      if (!mailbox->isOpen())
                          return;
                      if (batch)
                          append(submission);
                      else
                          takeFailedProbe(submission, lastError());
                  });
    }

    void takeFailedProbe(const SubmissionPtr &submission, const std::string &reason)
    {
        if (isDone(submission))
            return;
        if (++submission->failures >= options_.attempts) {
            finish(submission, ChangeUnavailable{ reason });
            return;
        }
        mailbox_->postAfter(options_.retryDelay, [this, submission]() { probe(submission); });
    }

    static void complete(proto::ConfigChange &change)
    {
        if (change.change_id().empty())
            change.set_change_id(makeRandomId());
        if (change.time_ms() == 0) {
            const auto now = std::chrono::system_clock::now().time_since_epoch();
            const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(now);
            change.set_time_ms(static_cast<std::uint64_t>(milliseconds.count()));
        }
    }

    // The result of a change that need not be appended.
    std::optional<PublishResult> earlyResult(const proto::ConfigChange &change) const
    {
        if (auto fault = shapeFault(change))
            return ChangeInvalid{ std::move(*fault) };
        const auto history = follower_.history();
        const auto earlier = std::find_if(history.begin(), history.end(),
                                          [&change](const FoldedChange &folded) {
                                              return folded.changeId == change.change_id();
                                          });
        if (earlier != history.end())
            return resultOf(*earlier);
        const auto state = store_.current();
        if (!state)
            return ChangeUnavailable{ "this daemon has no configuration yet" };
        if (auto conflict = certainConflict(*state, change))
            return ChangeConflict{ std::move(*conflict) };
        return std::nullopt;
    }

    void append(const SubmissionPtr &submission)
    {
        // The process may have been paused since the repeat was scheduled. A repeat that comes
        // after the result could be counted as a new change once its id is forgotten.
        if (isDone(submission) || Clock::now() >= submission->deadline)
            return;
        proto::ConfigRecord record;
        *record.mutable_change() = submission->change;
        submission->appending = true;
        log_.append(options_.stream, record.SerializeAsString(),
                    [this, mailbox = mailbox_, submission](const AppendResult &result) {
                        if (mailbox->isOpen())
                            takeAppend(submission, result);
                    });
    }

    void takeAppend(const SubmissionPtr &submission, const AppendResult &result)
    {
        submission->appending = false;
        if (isDone(submission))
            return;
        if (const auto *appended = std::get_if<Appended>(&result)) {
            takeOffset(submission, appended->offset);
            return;
        }
        if (const auto *unknown = std::get_if<AppendUnknown>(&result)) {
            logEvent(LogLevel::Warning, "config_append_unknown", { { "reason", unknown->reason } });
            submission->mayBeOnLog = true;
        } else if (!submission->mayBeOnLog && ++submission->failures >= options_.attempts) {
            finish(submission, ChangeUnavailable{ std::get<NotAppended>(result).reason });
            return;
        }
        mailbox_->postAfter(options_.retryDelay, [this, submission]() { append(submission); });
    }

    void takeOffset(const SubmissionPtr &submission, std::uint64_t offset)
    {
        // Readers ignore the record at offset 0, see ConfigFold.
        if (offset == 0) {
            append(submission);
            return;
        }
        submission->mayBeOnLog = true;
        submission->offset = offset;
        resolveFromState(submission);
    }

    void takeFolded(const std::vector<FoldedChange> &folded)
    {
        for (const FoldedChange &change : folded) {
            const auto found = pending_.find(change.changeId);
            if (found != pending_.end())
                finish(SubmissionPtr(found->second), resultOf(change));
        }
        // A copy, because a result removes the submission.
        const auto pending = pending_;
        for (const auto &entry : pending)
            resolveFromState(entry.second);
    }

    // Decides from the item alone when the state came as a whole, without the outcome of the
    // change. The change is known to be accepted only if the item still is as the change left it.
    void resolveFromState(const SubmissionPtr &submission)
    {
        const auto state = store_.current();
        if (!submission->offset || !state || state->revision() < *submission->offset)
            return;
        const Item *item = state->find(*keyOfChange(submission->change));
        if (item && item->revision == *submission->offset) {
            finish(submission, ChangeAccepted{ *submission->offset });
            return;
        }
        finish(submission,
               ChangeUnknown{ "the change was read back as part of a whole state, without its "
                              "outcome" });
    }

    void expire(const SubmissionPtr &submission)
    {
        if (isDone(submission))
            return;
        if (submission->mayBeOnLog || submission->appending)
            finish(submission, ChangeUnknown{ "the log did not confirm the change in time" });
        else
            finish(submission, ChangeUnavailable{ "the log did not accept the change in time" });
    }

    bool isDone(const SubmissionPtr &submission) const
    {
        const auto found = pending_.find(submission->change.change_id());
        return found == pending_.end() || found->second != submission;
    }

    void finish(const SubmissionPtr &submission, const PublishResult &result)
    {
        pending_.erase(submission->change.change_id());
        submission->reading.reset();
        const auto callbacks = std::move(submission->callbacks);
        for (const Callback &callback : callbacks)
            callback(result);
    }

    ConfigPublisherOptions options_;
    LogClient &log_;
    ConfigFollower &follower_;
    ConfigStore &store_;
    std::shared_ptr<Mailbox> mailbox_;
    std::map<std::string, SubmissionPtr> pending_;
    ConfigFollower::Handle subscription_;
};

} // namespace

std::unique_ptr<ConfigPublisher> ConfigPublisher::make(ConfigPublisherOptions options,
                                                       LogClient &log, ConfigFollower &follower,
                                                       ConfigStore &store)
{
    return std::make_unique<LogPublisher>(std::move(options), log, follower, store);
}

} // namespace auburn
