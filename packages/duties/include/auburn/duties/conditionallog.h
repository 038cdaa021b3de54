#pragma once

#include "auburn/core/logposition.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace auburn::duties {

// The newest record of one key.
struct LogItem
{
    std::string key;
    std::string value;
    LogPosition position = 0;
};

struct LogListing
{
    std::vector<LogItem> items;
    // Position one past the newest record of the partition.
    LogPosition end = 0;
};

enum class AppendStatus {
    Appended,
    // The partition did not end at the expected position, or was restored since.
    Conflict,
    // The store certainly did not append the record.
    NotAppended,
    // No response arrived: the record may have been appended, or may still be.
    Unknown,
};

struct AppendResult
{
    AppendStatus status = AppendStatus::Unknown;
    // Position of the record; set if it was appended.
    LogPosition position = 0;
    // End of the partition; set if the record was appended.
    LogPosition end = 0;
};

// ConditionalLog is one partition of a keyed topic in the platform's store. The store may be
// restored from an older copy; positions of a later era are higher.
//
// An append succeeds only if the partition ends where the caller expects it to, so of two daemons
// that append on the basis of the same listing only one succeeds.
class ConditionalLog
{
public:
    using ListHandler = std::function<void(std::optional<LogListing>)>;
    using AppendHandler = std::function<void(AppendResult)>;

    virtual ~ConditionalLog() = default;

    // Lists the newest record of every key. Passes nullopt and sets lastError() if that failed.
    virtual void list(ListHandler handler) = 0;
    virtual void append(std::string key, std::string value, LogPosition expectedEnd,
                        AppendHandler handler) = 0;
    // The era that the newest response of the store names; 0 if it names none.
    virtual std::uint64_t era() const { return 0; }
};

} // namespace auburn::duties
