#include "figureannouncer.h"

#include "auburn/core/hash.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <utility>

namespace auburn::usage {

using std::chrono::milliseconds;

namespace {

// A notice with its datagram's framing.
constexpr std::size_t kMaxNoticeBytes = 1180;
// Encoded size of the tag and length of a count.
constexpr std::size_t kCountBytes = 3;
// Receivers of a notice. In a large fleet the other daemons learn of it from the reports of these.
constexpr std::size_t kMaxReceivers = 12;
// A figure that one daemon has confirmed does not wait longer for the others.
constexpr milliseconds kMaxWait{ 500 };
// A figure that nobody has confirmed is sent after this time: a daemon that can't be reached is no
// longer live by then, so the others run an earlier version of the software.
constexpr milliseconds kMaxUnconfirmedWait{ 3500 };

// The daemons that get the notice of a window, those that report first.
std::vector<NoticeReceiver> selectReceivers(std::uint64_t window,
                                            const std::vector<NoticeReceiver> &others)
{
    std::vector<NoticeReceiver> receivers = others;
    const auto rank = [window](const NoticeReceiver &receiver) {
        return std::pair(!receiver.isReporting, stableHash(receiver.udpAddress, window));
    };
    std::sort(receivers.begin(), receivers.end(),
              [&rank](const NoticeReceiver &left, const NoticeReceiver &right) {
                  return rank(left) < rank(right);
              });
    receivers.resize(std::min(receivers.size(), kMaxReceivers));
    return receivers;
}

} // namespace

proto::UsageFigureNotice makeFigureNotice(const duties::UsageFigure &figure, std::uint64_t era,
                                          std::uint64_t incarnation)
{
    proto::UsageFigureNotice notice;
    notice.set_incarnation(incarnation);
    notice.set_window(figure.window);
    notice.set_era(era);
    notice.set_has_counts(true);
    std::size_t bytes = notice.ByteSizeLong();
    for (const auto &[organisation, requests] : figure.requests) {
        proto::UsageCount &count = *notice.add_counts();
        count.set_organisation(organisation);
        count.set_requests(requests);
        bytes += kCountBytes + count.ByteSizeLong();
        if (bytes <= kMaxNoticeBytes)
            continue;
        notice.clear_counts();
        notice.set_has_counts(false);
        break;
    }
    return notice;
}

duties::UsageFigure figureOfNotice(const proto::UsageFigureNotice &notice)
{
    duties::UsageFigure figure{ .window = notice.window() };
    for (const proto::UsageCount &count : notice.counts())
        figure.requests[count.organisation()] = count.requests();
    return figure;
}

FigureAnnouncer::FigureAnnouncer(Options options)
    : options_(std::move(options))
{}

void FigureAnnouncer::add(duties::UsageFigure figure, std::uint64_t era, TimePoint now)
{
    Pending pending{ .figure = std::move(figure), .era = era, .addedAt = now };
    *pending.notice.mutable_usage_figure_notice() = makeFigureNotice(pending.figure, era,
                                                                     options_.incarnation);
    const std::uint64_t window = pending.figure.window;
    pending_.insert_or_assign(window, std::move(pending));
}

void FigureAnnouncer::handleAck(const proto::UsageFigureAck &ack, const std::string &sender)
{
    const auto found = pending_.find(ack.window());
    if (found != pending_.end() && ack.incarnation() == options_.incarnation)
        found->second.confirmations.confirm(sender, found->second.era, found->second.addedAt);
}

Figures FigureAnnouncer::tick(TimePoint now, const std::vector<NoticeReceiver> &others)
{
    Figures finished;
    for (auto entry = pending_.begin(); entry != pending_.end();) {
        Pending &pending = entry->second;
        const std::vector<NoticeReceiver> receivers = selectReceivers(entry->first, others);
        if (!isFinished(pending, receivers, now))
            sendNotice(pending, receivers);
        if (!isFinished(pending, receivers, now)) {
            ++entry;
            continue;
        }
        finished[entry->first] = std::move(pending.figure);
        entry = pending_.erase(entry);
    }
    return finished;
}

void FigureAnnouncer::sendNotice(Pending &pending,
                                 const std::vector<NoticeReceiver> &receivers) const
{
    for (const NoticeReceiver &receiver : receivers) {
        pending.confirmations.expect(receiver.udpAddress);
        if (!pending.confirmations.askedAt(receiver.udpAddress))
            options_.send(receiver.udpAddress, pending.notice);
    }
}

bool FigureAnnouncer::isFinished(const Pending &pending,
                                 const std::vector<NoticeReceiver> &receivers, TimePoint now)
{
    if (receivers.empty())
        return true;
    const Confirmations::Bound bound{ .era = pending.era, .askedSince = pending.addedAt };
    if (pending.confirmations.confirmed(bound) == 0)
        return now - pending.addedAt >= kMaxUnconfirmedWait;
    const bool isAwaited = std::any_of(
            receivers.begin(), receivers.end(), [&pending](const NoticeReceiver &receiver) {
                return receiver.isReporting && !pending.confirmations.askedAt(receiver.udpAddress);
            });
    return !isAwaited || now - pending.addedAt >= kMaxWait;
}

} // namespace auburn::usage
