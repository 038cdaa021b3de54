#include "auburn/peers/documenttopic.h"

#include <algorithm>

namespace auburn::peers {

bool DocumentTopic::put(std::string_view key, std::string_view value, std::uint64_t offset)
{
    const auto found = documents_.find(key);
    if (found != documents_.end() && found->second.offset >= offset)
        return false;
    documents_.insert_or_assign(std::string(key),
                                Document{ .value = std::string(value), .offset = offset });
    return true;
}

void DocumentTopic::erase(std::string_view key)
{
    const auto found = documents_.find(key);
    if (found != documents_.end())
        documents_.erase(found);
}

void DocumentTopic::advance(std::uint64_t nextOffset)
{
    nextOffset_ = std::max(nextOffset_, nextOffset);
}

} // namespace auburn::peers
