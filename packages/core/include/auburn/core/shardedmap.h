// ShardedMap: a hash map split into shards, each under its own lock, for state that several threads
// touch.
#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

namespace auburn {

template<typename Value, std::size_t ShardCount = 16>
class ShardedMap
{
public:
    // Inserts or replaces the value of key.
    void put(const std::string &key, Value value)
    {
        Shard &shard = shardOf(key);
        const std::lock_guard lock(shard.mutex);
        shard.entries.insert_or_assign(key, std::move(value));
    }

    // Removes and returns the value of key.
    std::optional<Value> take(const std::string &key)
    {
        Shard &shard = shardOf(key);
        const std::lock_guard lock(shard.mutex);
        const auto found = shard.entries.find(key);
        if (found == shard.entries.end())
            return std::nullopt;
        std::optional<Value> value(std::move(found->second));
        shard.entries.erase(found);
        return value;
    }

    // Calls visit(value) under the shard's lock; false if the key is absent.
    template<typename Visitor>
    bool visit(const std::string &key, Visitor visit)
    {
        Shard &shard = shardOf(key);
        const std::lock_guard lock(shard.mutex);
        const auto found = shard.entries.find(key);
        if (found == shard.entries.end())
            return false;
        visit(found->second);
        return true;
    }

    // Calls visit(key, value) for every entry, one shard locked at a time.
    template<typename Visitor>
    void visitAll(Visitor visit)
    {
        for (Shard &shard : shards_) {
            const std::lock_guard lock(shard.mutex);
            for (auto &entry : shard.entries)
                visit(entry.first, entry.second);
        }
    }

    // Number of entries; shards are counted one after the other.
    std::size_t size() const
    {
        std::size_t total = 0;
        for (const Shard &shard : shards_) {
            const std::lock_guard lock(shard.mutex);
            total += shard.entries.size();
        }
        return total;
    }

private:
    struct Shard
    {
        mutable std::mutex mutex;
        std::unordered_map<std::string, Value> entries;
    };

    Shard &shardOf(const std::string &key)
    {
        return shards_[std::hash<std::string>{}(key) % ShardCount];
    }

    std::array<Shard, ShardCount> shards_;
};

} // namespace auburn
