// Replicated tables of leaving backend servers and of requests that crash backend servers.
//
// Both tables are bounded and expire by wall-clock time. Merging does not depend on the order of
// the messages, so all members converge to the same content. Equal digests indicate equal
// tables.
#pragma once

#include "auburn.pb.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace auburn {

// LeavingMarkTable holds the marks of backend servers that are leaving or were until recently.
class LeavingMarkTable
{
public:
    LeavingMarkTable(std::chrono::milliseconds lifetime, std::size_t limit);

    // Sets or clears the mark with a version above the known one. Returns true if the state
    // changed. A mark that stays set is renewed once half of its lifetime has passed.
    bool set(const std::string &backendServer, bool leaving, std::chrono::milliseconds wall);
    // Stores the mark if it is newer than the known one. Returns true if it was stored.
    bool merge(const proto::LeavingMark &mark, std::chrono::milliseconds wall);
    void expire(std::chrono::milliseconds wall);

    // Returns the version of the mark if the backend server is marked as leaving, otherwise 0. The
    // version is the wall-clock time of the mark in milliseconds.
    std::uint64_t leavingSince(const std::string &backendServer) const;
    // Returns the version of the mark, or 0 if there is none.
    std::uint64_t versionOf(const std::string &backendServer) const;
    std::set<std::string> leavingBackendServers() const;
    std::size_t size() const { return marks_.size(); }
    std::uint64_t digest() const { return digest_; }
    // Adds up to limit marks whose version is at least fromVersion. Iteration begins at index
    // start, modulo the table size, and wraps around, so that calls with random starts reach all
    // marks of a large table.
    void addTo(proto::Gossip &gossip, std::uint64_t fromVersion, int limit,
               std::size_t start) const;

private:
    struct Mark
    {
        std::uint64_t version = 0;
        bool leaving = false;
    };

    static std::uint64_t hashMark(const std::string &backendServer, const Mark &mark);
    // Inserts or replaces a mark. Returns false if the table is full of marks that rank higher.
    bool store(const std::string &backendServer, Mark mark);
    void erase(std::map<std::string, Mark>::iterator position);

    const std::chrono::milliseconds lifetime_;
    const std::size_t limit_;
    std::map<std::string, Mark> marks_;
    std::uint64_t digest_ = 0;
};

// CrashMarkTable counts the crashes that each request fingerprint has caused, per reporting daemon.
class CrashMarkTable
{
public:
    CrashMarkTable(std::chrono::milliseconds lifetime, std::size_t limit);

    // Adds one crash to the count of the reporter and returns the new mark.
    proto::CrashMark add(std::uint64_t fingerprint, std::uint32_t reporter,
                         std::chrono::milliseconds wall);
    // Merges the mark by the maximum of count and expiry. Returns true if the table changed.
    bool merge(const proto::CrashMark &mark, std::chrono::milliseconds wall);
    void expire(std::chrono::milliseconds wall);

    // Returns the number of crashes, summed over all reporters.
    unsigned crashCount(std::uint64_t fingerprint, std::chrono::milliseconds wall) const;
    std::size_t size() const { return marks_.size(); }
    std::uint64_t digest() const { return digest_; }
    // Adds up to limit marks that expire at fromExpiry or later, in the same order as
    // LeavingMarkTable::addTo().
    void addTo(proto::Gossip &gossip, std::uint64_t fromExpiry, int limit, std::size_t start) const;

private:
    // Request fingerprint and key of the reporter.
    using Key = std::pair<std::uint64_t, std::uint32_t>;
    struct Mark
    {
        unsigned crashes = 0;
        // Wall-clock time in milliseconds since the epoch.
        std::uint64_t expiresAt = 0;
    };

    static std::uint64_t hashMark(const Key &key, const Mark &mark);
    static proto::CrashMark toProto(const Key &key, const Mark &mark);
    // Inserts or replaces a mark. Returns false if the table is full of marks that expire later.
    bool store(const Key &key, Mark mark);
    void erase(std::map<Key, Mark>::iterator position);

    const std::chrono::milliseconds lifetime_;
    const std::size_t limit_;
    std::map<Key, Mark> marks_;
    std::uint64_t digest_ = 0;
};

} // namespace auburn
