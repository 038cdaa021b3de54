// OriginLog is a log in the platform's store that records which software version began a stream.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace auburn::streams {

// Streams of one service that servers of one software version began.
struct OriginRecord
{
    std::string service;
    std::string softwareVersion;
    // Hashes of the request ids.
    std::vector<std::uint64_t> streams;
};

class OriginLog
{
public:
    // True if the records were appended; false if that is unknown or failed.
    using AppendHandler = std::function<void(bool appended)>;
    // Empty if the log could not be read.
    using ReadHandler = std::function<void(std::optional<std::vector<OriginRecord>> records)>;

    virtual ~OriginLog() = default;

    virtual void append(const std::vector<OriginRecord> &records, AppendHandler handler) = 0;
    // Reads the records that earlier calls have not returned, up to the end that the log has when
    // the store executes the call. The first call begins with the oldest record that is retained.
    virtual void readNew(ReadHandler handler) = 0;
    // The next call of readNew() begins with the oldest record again, because the log was restored
    // from an older copy.
    virtual void restart() = 0;
};

} // namespace auburn::streams
