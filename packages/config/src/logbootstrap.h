// LogBootstrap: builds the state from the log alone.
//
// Reads every record that the log holds. The state starts from the first complete snapshot whose
// following records are all still held, or from nothing if the log holds all records; a snapshot
// that is too old for this is never used.
#pragma once

#include "auburn/config/configfold.h"
#include "auburn/config/logclient.h"
#include "chunkassembler.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace auburn {

class LogBootstrap
{
public:
    enum class Step {
        // Read on at next().
        More,
        // The end is reached and take() returns the state.
        Done,
        // Records were removed before they were read; start again with a new object.
        Gap,
        // The end is reached, and no snapshot is usable.
        NoBase,
    };

    // Offset to read from.
    std::uint64_t next() const { return next_; }

    // Adds the response to a read from next().
    Step add(const LogBatch &batch);

    ConfigFold take();

private:
    void addRecord(std::uint64_t offset, const proto::ConfigRecord &record);
    void addChunk(const proto::ConfigChunk &chunk);

    bool started_ = false;
    std::uint64_t earliest_ = 0;
    std::uint64_t next_ = 0;
    std::optional<ConfigFold> fold_;
    // Used until fold_ exists.
    std::map<std::string, ChunkAssembler> snapshots_;
    std::deque<proto::OffsetChange> changes_;
};

} // namespace auburn
