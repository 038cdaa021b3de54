// ClaimLog is the interface of the platform's append-only log that claims are stored in.
//
// It is abstract so that claims can be tested with lost responses, outages and late appends.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace auburn {

// The append succeeded: the record is in the log.
struct ClaimAppended
{
    std::uint64_t offset = 0;
};

// The append failed: the record is not in the log and will not appear there.
struct ClaimNotAppended
{
    std::string reason;
};

// The response to the append was lost: the record may be in the log or may appear there later.
struct ClaimAppendUnknown
{
    std::string reason;
};

using ClaimAppendResult = std::variant<ClaimAppended, ClaimNotAppended, ClaimAppendUnknown>;

// A record as it is read from a stream.
struct ClaimLogRecord
{
    std::uint64_t offset = 0;
    // Time of the append by the clock of the log, in milliseconds since the Unix epoch.
    std::chrono::milliseconds time{ 0 };
    std::string data;
};

struct ClaimReadResult
{
    // False if the log did not respond; the other members are then meaningless.
    bool succeeded = false;
    // Offset of the oldest retained record.
    std::uint64_t earliest = 0;
    // Offset after the last record of the stream.
    std::uint64_t next = 0;
    // Consecutive records from the requested offset, or from earliest if that is later.
    std::vector<ClaimLogRecord> records;
};

class ClaimLog
{
public:
    using AppendCallback = std::function<void(ClaimAppendResult)>;
    using ReadCallback = std::function<void(ClaimReadResult)>;

    virtual ~ClaimLog() = default;

    // Appends one record. Every callback of this class is called exactly once, from any thread,
    // possibly before the call returns.
    virtual void append(const std::string &stream, std::string bytes, AppendCallback callback) = 0;
    // Reads up to max records from the given offset. Waits up to the given time for the first one.
    virtual void read(const std::string &stream, std::uint64_t from, unsigned max,
                      std::chrono::milliseconds wait, ReadCallback callback) = 0;
};

} // namespace auburn
