// ClaimLog: what claims need of the platform's log.
//
// Abstract, so that claims can be tested with lost answers, outages and late appends.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace auburn {

// The record is in the log.
struct ClaimAppended
{
    std::uint64_t offset = 0;
};

// The record is not in the log and will not appear there.
struct ClaimNotAppended
{
    std::string reason;
};

// The answer was lost; the record may be in the log or appear there later.
struct ClaimAppendUnknown
{
    std::string reason;
};

using ClaimAppendResult = std::variant<ClaimAppended, ClaimNotAppended, ClaimAppendUnknown>;

struct ClaimLogRecord
{
    std::uint64_t offset = 0;
    // Time of the append by the log's clock, since the epoch.
    std::chrono::milliseconds time{ 0 };
    std::string data;
};

struct ClaimReadResult
{
    // False if the log did not answer; the other members are then void.
    bool succeeded = false;
    // First offset that is still retained.
    std::uint64_t earliest = 0;
    // Offset that follows the last record of the stream.
    std::uint64_t next = 0;
    // Consecutive records from the wanted offset, or from earliest if that is later.
    std::vector<ClaimLogRecord> records;
};

class ClaimLog
{
public:
    using AppendCallback = std::function<void(ClaimAppendResult)>;
    using ReadCallback = std::function<void(ClaimReadResult)>;

    virtual ~ClaimLog() = default;

    // Each callback is called once, from any thread, also from within the call.
    virtual void append(const std::string &stream, std::string bytes, AppendCallback callback) = 0;
    // Reads up to max records from an offset; waits up to the given time for the first one.
    virtual void read(const std::string &stream, std::uint64_t from, unsigned max,
                      std::chrono::milliseconds wait, ReadCallback callback) = 0;
};

} // namespace auburn
