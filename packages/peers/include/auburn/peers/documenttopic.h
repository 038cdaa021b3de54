// DocumentTopic: the newest document of each key of one topic of the platform's store, as a daemon
// passes it on to daemons that cannot read the store or need not.
//
// A record of the store may only renew a document. What a document says is summed up by a
// fingerprint, so that another daemon gets only what has changed since it last read, and two
// daemons with the same digest need not read from each other at all.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace auburn::peers {

struct Document
{
    std::string value;
    // Position of the newest record in the topic, and of the first one with this fingerprint.
    std::uint64_t offset = 0;
    std::uint64_t changedOffset = 0;
    std::uint64_t fingerprint = 0;
};

struct RemovedDocument
{
    std::string key;
    std::uint64_t offset = 0;
};

class DocumentTopic
{
public:
    // Keeps the document unless a newer one is known; false if it is not newer.
    bool put(std::string_view key, std::string_view value, std::uint64_t offset,
             std::uint64_t fingerprint);
    void erase(std::string_view key, std::uint64_t offset);
    // The topic was read up to this offset. What was removed before the first one is not known.
    void advance(std::uint64_t nextOffset);

    // 0 before anything was read completely.
    std::uint64_t nextOffset() const { return nextOffset_; }
    // Equal for equal keys with equal fingerprints.
    std::uint64_t digest() const { return digest_; }
    const std::map<std::string, Document, std::less<>> &documents() const { return documents_; }

    // All changes at or after the offset are known, removals included.
    bool hasHistorySince(std::uint64_t offset) const;
    // Oldest first.
    const std::deque<RemovedDocument> &removals() const { return removals_; }

private:
    std::map<std::string, Document, std::less<>> documents_;
    std::deque<RemovedDocument> removals_;
    std::uint64_t historyFrom_ = 0;
    std::uint64_t nextOffset_ = 0;
    std::uint64_t digest_ = 0;
};

} // namespace auburn::peers
