#include "auburn/peers/documenttopic.h"

#include "auburn/core/hash.h"

#include <algorithm>

namespace auburn::peers {

namespace {

// Number of removals that are kept; a daemon that has missed more reads all documents.
constexpr std::size_t kMaxRemovals = 2000;

} // namespace

bool DocumentTopic::put(std::string_view key, std::string_view value, std::uint64_t offset,
                        std::uint64_t fingerprint)
{
    const auto [found, isNew] = documents_.try_emplace(std::string(key));
    Document &document = found->second;
    if (!isNew && document.offset >= offset)
        return false;
    if (isNew || document.fingerprint != fingerprint) {
        if (!isNew)
            digest_ ^= stableHash(key, document.fingerprint);
        digest_ ^= stableHash(key, fingerprint);
        document.changedOffset = offset;
        document.fingerprint = fingerprint;
    }
    document.value = value;
    document.offset = offset;
    return true;
}

void DocumentTopic::erase(std::string_view key, std::uint64_t offset)
{
    const auto found = documents_.find(key);
    if (found == documents_.end())
        return;
    digest_ ^= stableHash(key, found->second.fingerprint);
    documents_.erase(found);
    removals_.push_back({ .key = std::string(key), .offset = offset });
    if (removals_.size() <= kMaxRemovals)
        return;
    historyStart_ = std::max(historyStart_, removals_.front().offset + 1);
    removals_.pop_front();
}

void DocumentTopic::advance(std::uint64_t nextOffset)
{
    if (nextOffset_ == 0)
        historyStart_ = nextOffset;
    nextOffset_ = std::max(nextOffset_, nextOffset);
}

bool DocumentTopic::hasHistorySince(std::uint64_t offset) const
{
    return offset > 0 && offset >= historyStart_;
}

} // namespace auburn::peers
