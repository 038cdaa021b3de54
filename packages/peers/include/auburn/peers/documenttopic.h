// DocumentTopic holds the newest document of each key of one topic of the platform's store, so that
// a daemon can pass the documents on to daemons that cannot or need not read the store.
//
// A record of the store may republish a document without changing it. A fingerprint identifies the
// content of a document, so that another daemon receives only what has changed since its last read,
// and daemons with equal digests do not read from each other at all.
#pragma once

#include "auburn/core/logposition.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace auburn::peers {

// The newest value of one key.
struct Document
{
    std::string value;
    // Position of the newest record in the topic, and of the first record with the current
    // fingerprint.
    LogPosition position = 0;
    LogPosition changedPosition = 0;
    std::uint64_t fingerprint = 0;
};

// A key that was removed, and the position of its removal.
struct RemovedDocument
{
    std::string key;
    LogPosition position = 0;
};

class DocumentTopic
{
public:
    // Stores the document unless a record with a higher position is known; returns false in that
    // case.
    bool put(std::string_view key, std::string_view value, LogPosition position,
             std::uint64_t fingerprint);
    void erase(std::string_view key, LogPosition position);
    // Records that all records before nextPosition were read. A lower position than before has no
    // effect. Removals before the nextPosition of the first call are unknown.
    void advance(LogPosition nextPosition);

    // 0 until the topic was read completely for the first time.
    LogPosition nextPosition() const { return next_; }
    // Equal for topics with the same keys and fingerprints.
    std::uint64_t digest() const { return digest_; }
    const std::map<std::string, Document, std::less<>> &documents() const { return documents_; }

    // Returns true if all changes at or after the position are known, including removals.
    bool hasHistorySince(LogPosition position) const;
    // Oldest first.
    const std::deque<RemovedDocument> &removals() const { return removals_; }

private:
    std::map<std::string, Document, std::less<>> documents_;
    std::deque<RemovedDocument> removals_;
    LogPosition historyStart_ = 0;
    LogPosition next_ = 0;
    std::uint64_t digest_ = 0;
};

} // namespace auburn::peers
