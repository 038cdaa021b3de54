// Lease decides which daemon performs the duties of the deployment.
//
// The lease is the newest record of one key in a ConditionalLog. The holder renews it by appending
// records. Its permit ends leaseTime after it sent the last append that succeeded, by a clock that
// includes suspended time. Another daemon takes the lease over only if it has known the newest
// record for leaseTime + kLeaseMargin, so the holder has stopped by then, whatever happened to it.
// Of several daemons that append on the basis of the same record only one succeeds.
//
// The class has no thread, timer or connection of its own: the owner calls tick() regularly. The
// log must invoke each handler once; it may do so late, or before the call returns.
#pragma once

#include "auburn/core/bootclock.h"
#include "auburn/duties/conditionallog.h"
#include "auburn/duties/dutyholder.h"
#include "auburn/duties/dutypermit.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace auburn::proto {
class LeaseRecord;
}

namespace auburn::duties {

// Time by which a takeover comes after the end of the former holder's permit. It covers calls of
// that holder that are still under way and clocks that run at different speeds.
constexpr std::chrono::milliseconds kLeaseMargin{ 500 };

class Lease : public DutyPermit
{
public:
    using TimePoint = BootClock::time_point;

    // All values are required.
    struct Options
    {
        std::string vm;
        // Random; distinguishes processes with the same name.
        std::uint64_t incarnation = 0;
        // IP:PORT at which the holder receives datagrams.
        std::string udpAddress;
        std::chrono::milliseconds leaseTime{ 3000 };
        ConditionalLog *log = nullptr;
        std::function<TimePoint()> now;
        // Returns true if this daemon may take the lease over.
        std::function<bool()> isCandidate;
        // A newer holder is known: its token, address or release has changed.
        std::function<void(const DutyHolder &holder)> onHolderChanged;
        // The permit of this daemon has begun or ended. tick() reports an expiry late; isHeld()
        // is always exact.
        std::function<void(bool held)> onHeldChanged;
    };

    explicit Lease(Options options);

    // Takes the next step if one is due: expiry, renewal, takeover or release.
    void tick();
    // Ends the permit for good; the lease is neither renewed nor acquired again.
    void stop();
    // Stops, and gives the lease up so that another daemon can acquire it. Calls to the cloud API
    // must have ended, because the successor may begin at once.
    void release();
    // Processes the holder that another daemon knows.
    void recordPeerHolder(const DutyHolder &holder);

    bool isHeld() const override;
    // 0 if this daemon has not held the lease.
    std::uint64_t token() const override { return token_; }
    // Time until the permit ends unless it is renewed; 0 if it is not held.
    std::chrono::milliseconds timeLeft() const;
    // The newest holder that this daemon knows; its token is 0 if it knows none.
    const DutyHolder &newestHolder() const { return newest_; }
    // Time since this daemon learned of the newest renewal, its own included; empty if it knows no
    // holder.
    std::optional<std::chrono::milliseconds> newestAge() const;
    // Number of renewals that succeeded since the start.
    std::uint64_t renewals() const { return renewals_; }

private:
    // An append whose outcome is not known.
    struct PendingAppend
    {
        TimePoint sentAt;
        LogPosition expectedEnd = 0;
    };

    void list();
    void listed(const std::optional<LogListing> &listing);
    // Evaluates the newest record of a listing.
    void recordNewest(const LogItem &item, LogPosition end);
    // True while a log without a record, which ends at this position, may have lost that of a
    // holder whose permit has not ended.
    bool mayHaveLostHolder(LogPosition end) const;
    // Appends this daemon's record to a log that ends at this position and was restored without the
    // newest known one: as its holder, or as a candidate if the holder has not written it again in
    // time. Returns false if the log was not restored, or if it is not this daemon's turn.
    bool writeAgain(LogPosition end);
    void append(LogPosition expectedEnd, bool released);
    // Processes the result of the append of this daemon's record.
    void appended(const DutyHolder &holder, const AppendResult &result);
    // Records that the newest record is this daemon's own.
    void holdRecord(const DutyHolder &holder, LogPosition end);
    bool isOwn(const proto::LeaseRecord &record) const;
    void stepDown();
    // Returns true if the holder was not known yet.
    bool learn(const DutyHolder &holder);
    // The earliest time for the next listing with the aim of taking the lease over.
    TimePoint takeoverTime() const;
    bool isTakeoverDue() const;
    void stepAsHolder();
    void stepAsFollower();
    void reportHeld();
    void retryAfter(std::chrono::milliseconds delay);
    void retryAfterFailure();
    std::chrono::milliseconds takeoverDelay() const;

    const Options options_;
    // This daemon's record is the newest one, as far as it knows.
    bool isHolder_ = false;
    bool stopped_ = false;
    bool releasing_ = false;
    // A call to the log is in progress.
    bool busy_ = false;
    // The end of the log is unknown: a listing is needed before the next append.
    bool needsListing_ = false;
    bool reportedHeld_ = false;
    std::uint64_t token_ = 0;
    // The end of the log after this daemon's newest record.
    LogPosition end_ = 0;
    TimePoint permitEnd_;
    TimePoint renewAt_;
    // When this daemon learned that it has acquired the lease.
    TimePoint acquiredAt_;
    TimePoint nextCallAt_;
    unsigned failures_ = 0;
    // Number of appends; distinguishes the records of this process.
    std::uint64_t appendCount_ = 0;
    std::uint64_t renewals_ = 0;
    std::map<std::uint64_t, PendingAppend> pendingAppends_;
    DutyHolder newest_;
    TimePoint learnedAt_;
    // Whether the newest record says that its holder held the lease for long; unset if the record
    // is known only from other daemons.
    std::optional<bool> heldLong_;
    // When this daemon became a candidate; unset if it is none.
    std::optional<TimePoint> candidateSince_;
};

} // namespace auburn::duties
