#include "auburn/peers/documenttopic.h"

#include "auburn/core/hash.h"

#include <algorithm>

namespace auburn::peers {

namespace {

// Number of removals that are kept; a daemon that has missed more reads all documents.
constexpr std::size_t kMaxRemovals = 2000;

} // namespace

bool DocumentTopic::put(std::string_view key, std::string_view value, LogPosition position,
                        std::uint64_t fingerprint)
{
    const auto [found, isNew] = documents_.try_emplace(std::string(key));
    Document &document = found->second;
    if (!isNew && document.position > position)
        return false;
    if (isNew || document.fingerprint != fingerprint) {
        if (!isNew)
            digest_ ^= stableHash(key, document.fingerprint);
        digest_ ^= stableHash(key, fingerprint);
        document.changedPosition = position;
        document.fingerprint = fingerprint;
    }
    document.value = value;
    document.position = position;
    return true;
}

void DocumentTopic::erase(std::string_view key, LogPosition position)
{
    const auto found = documents_.find(key);
    if (found == documents_.end())
        return;
    digest_ ^= stableHash(key, found->second.fingerprint);
    documents_.erase(found);
    removals_.push_back({ .key = std::string(key), .position = position });
    if (removals_.size() <= kMaxRemovals)
        return;
    historyStart_ = std::max(historyStart_, removals_.front().position + 1);
    removals_.pop_front();
}

void DocumentTopic::advance(LogPosition nextPosition)
{
    if (next_ == 0)
        historyStart_ = nextPosition;
    next_ = std::max(next_, nextPosition);
}

bool DocumentTopic::hasHistorySince(LogPosition position) const
{
    return position > 0 && position >= historyStart_;
}

} // namespace auburn::peers
