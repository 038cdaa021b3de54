// ClaimLogAdapter: gives claims access to the log client, which lives on the thread of Qt's event
// loop.
#pragma once

#include "auburn/claims/claimlog.h"
#include "auburn/config/logclient.h"

#include <QObject>

namespace auburn {

class ClaimLogAdapter : public ClaimLog
{
public:
    // Made on the thread of Qt's event loop; the log must outlive the adapter.
    explicit ClaimLogAdapter(LogClient &log);

    void append(const std::string &stream, std::string bytes, AppendCallback callback) override;
    void read(const std::string &stream, std::uint64_t from, unsigned max,
              std::chrono::milliseconds wait, ReadCallback callback) override;

private:
    LogClient &log_;
    // Receiver of the posted calls.
    QObject context_;
};

} // namespace auburn
