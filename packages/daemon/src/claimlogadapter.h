#pragma once

#include "auburn/claims/claimlog.h"
#include "auburn/config/logclient.h"

#include <QObject>

namespace auburn {

// Implements ClaimLog with the log client, which must be called on the thread of Qt's event loop.
//
// Calls may come from any thread and are posted to the event loop.
class ClaimLogAdapter : public ClaimLog
{
public:
    // Must be called on the thread of Qt's event loop. The log client must outlive the adapter.
    explicit ClaimLogAdapter(LogClient &log);

    void append(const std::string &stream, std::string bytes, AppendCallback callback) override;
    void read(const std::string &stream, std::uint64_t from, unsigned max,
              std::chrono::milliseconds wait, ReadCallback callback) override;

private:
    LogClient &log_;
    // Receives the posted calls; ties them to the event loop's thread and to the adapter's
    // lifetime.
    QObject context_;
};

} // namespace auburn
