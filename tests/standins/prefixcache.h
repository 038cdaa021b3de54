// PrefixCache: the engine stand-in's finite cache of prompt prefixes, with the events that it
// publishes late and with gaps.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <unordered_map>

namespace auburn::standin {

class PrefixCache
{
public:
    // Every gapEvery-th event is lost (0: none); events are published delay after they happen.
    PrefixCache(std::size_t capacity, unsigned gapEvery, std::chrono::milliseconds delay);

    // True if the prefix was cached; it is afterwards.
    bool touch(std::uint64_t prefix);
    // {"next":N,"events":[{"seq","type":"stored|removed","hash"}]} from the given number on.
    std::string eventsJson(std::uint64_t from) const;

private:
    struct Event
    {
        std::uint64_t sequence = 0;
        bool stored = false;
        std::uint64_t prefix = 0;
        std::chrono::steady_clock::time_point published;
    };

    void publish(bool stored, std::uint64_t prefix);

    std::size_t capacity_;
    unsigned gapEvery_;
    std::chrono::milliseconds delay_;
    // Most recently used first.
    std::list<std::uint64_t> order_;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> entries_;
    std::deque<Event> events_;
    std::uint64_t nextSequence_ = 0;
};

} // namespace auburn::standin
