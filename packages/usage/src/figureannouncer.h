// FigureAnnouncer tells other daemons of a committed figure before it is sent to the platform.
//
// The store may come back from an older copy that lacks the figure, at the moment at which its
// holder is killed. A daemon that has received the notice knows then that the window is closed, and
// can send the same figure again if the notice contained it. Without that, the next holder would
// close the window anew, with the counts that it has by then.
#pragma once

#include "figurerecord.h"

#include "auburn.pb.h"
#include "auburn/core/bootclock.h"
#include "auburn/core/confirmations.h"
#include "auburn/duties/dutyapi.h"
#include "auburn/usage/usagereporter.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace auburn::usage {

// Another daemon that gets notices.
struct NoticeReceiver
{
    std::string udpAddress;
    // The daemon has reported recently, so a figure waits for its confirmation.
    bool isReporting = false;
};

class FigureAnnouncer
{
public:
    using TimePoint = BootClock::time_point;

    struct Options
    {
        // Distinguishes processes of this VM.
        std::uint64_t incarnation = 0;
        SendDatagram send;
    };

    explicit FigureAnnouncer(Options options);

    // Announces a figure that the log holds in this era of the store.
    void add(duties::UsageFigure figure, std::uint64_t era, TimePoint now);
    void handleAck(const proto::UsageFigureAck &ack, const std::string &sender);
    // Forgets all figures.
    void clear() { pending_.clear(); }
    // Sends the notices that are due, and returns the figures that may be sent to the platform. To
    // be called about every 100 ms.
    Figures tick(TimePoint now, const std::vector<NoticeReceiver> &others);

private:
    struct Pending
    {
        duties::UsageFigure figure;
        std::uint64_t era = 0;
        TimePoint addedAt;
        proto::PeerDatagram notice;
        Confirmations confirmations;
    };

    // Sends the notice to the daemons that have not confirmed it.
    void sendNotice(Pending &pending, const std::vector<NoticeReceiver> &receivers) const;
    static bool isFinished(const Pending &pending, const std::vector<NoticeReceiver> &receivers,
                           TimePoint now);

    const Options options_;
    // By window.
    std::map<std::uint64_t, Pending> pending_;
};

// The notice of a figure. The counts are left out if the datagram would become too large.
proto::UsageFigureNotice makeFigureNotice(const duties::UsageFigure &figure, std::uint64_t era,
                                          std::uint64_t incarnation);

// The figure of a notice that contains the counts.
duties::UsageFigure figureOfNotice(const proto::UsageFigureNotice &notice);

} // namespace auburn::usage
