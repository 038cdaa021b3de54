// DocumentTopic: the newest document of each key of one topic of the platform's store, as a daemon
// passes it on to daemons that cannot read the store.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace auburn::peers {

struct Document
{
    std::string value;
    // Position of the record in the topic.
    std::uint64_t offset = 0;
};

class DocumentTopic
{
public:
    // Keeps the document unless a newer one is known; false if it is not newer.
    bool put(std::string_view key, std::string_view value, std::uint64_t offset);
    void erase(std::string_view key);
    // The topic was read up to this offset.
    void advance(std::uint64_t nextOffset);

    std::uint64_t nextOffset() const { return nextOffset_; }
    const std::map<std::string, Document, std::less<>> &documents() const { return documents_; }

private:
    std::map<std::string, Document, std::less<>> documents_;
    std::uint64_t nextOffset_ = 0;
};

} // namespace auburn::peers
