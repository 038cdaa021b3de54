// Tables of leaving backend servers and of requests that crash backend servers.
//
// Both are bounded, expire by wall-clock time and merge without regard to order, so that all
// members converge to the same content. A digest tells whether two tables differ.
#pragma once

#include "auburn.pb.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace auburn {

class LeavingMarkTable
{
public:
    LeavingMarkTable(std::chrono::milliseconds lifetime, std::size_t limit);

    // Sets or lifts the mark with a version above the known one; true if the state changed. An
    // unchanged mark is renewed before its lifetime ends.
    bool set(const std::string &backendServer, bool leaving, std::chrono::milliseconds wall);
    // Takes over a newer mark; true if the mark is news.
    bool merge(const proto::LeavingMark &mark, std::chrono::milliseconds wall);
    void expire(std::chrono::milliseconds wall);

    // Version of the mark if the backend server is marked as leaving, otherwise 0.
    std::uint64_t leavingSince(const std::string &backendServer) const;
    // Version of the mark, 0 if there is none.
    std::uint64_t versionOf(const std::string &backendServer) const;
    std::set<std::string> leavingBackendServers() const;
    std::size_t size() const { return marks_.size(); }
    std::uint64_t digest() const { return digest_; }
    // Adds the marks from the given version on, at most limit, starting with the mark of the given
    // rank so that repeated calls reach all marks of a large table.
    void addTo(proto::Gossip &gossip, std::uint64_t fromVersion, int limit,
               std::size_t start) const;

private:
    struct Mark
    {
        std::uint64_t version = 0;
        bool leaving = false;
    };

    static std::uint64_t hashMark(const std::string &backendServer, const Mark &mark);
    // False if a full table holds higher ranking marks only.
    bool store(const std::string &backendServer, Mark mark);
    void erase(std::map<std::string, Mark>::iterator position);

    const std::chrono::milliseconds lifetime_;
    const std::size_t limit_;
    std::map<std::string, Mark> marks_;
    std::uint64_t digest_ = 0;
};

class CrashMarkTable
{
public:
    CrashMarkTable(std::chrono::milliseconds lifetime, std::size_t limit);

    // Counts one crash for the reporter and returns the new mark.
    proto::CrashMark add(std::uint64_t fingerprint, std::uint32_t reporter,
                         std::chrono::milliseconds wall);
    // Takes over a higher count; true if the mark is news.
    bool merge(const proto::CrashMark &mark, std::chrono::milliseconds wall);
    void expire(std::chrono::milliseconds wall);

    // Sum over all reporters.
    unsigned crashes(std::uint64_t fingerprint, std::chrono::milliseconds wall) const;
    std::size_t size() const { return marks_.size(); }
    std::uint64_t digest() const { return digest_; }
    // Adds the marks that expire at the given time or later, at most limit, as for leaving marks.
    void addTo(proto::Gossip &gossip, std::uint64_t fromExpiry, int limit, std::size_t start) const;

private:
    using Key = std::pair<std::uint64_t, std::uint32_t>;
    struct Mark
    {
        unsigned crashes = 0;
        std::uint64_t expiresAt = 0;
    };

    static std::uint64_t hashMark(const Key &key, const Mark &mark);
    static proto::CrashMark toProto(const Key &key, const Mark &mark);
    // False if a full table holds marks that expire later only.
    bool store(const Key &key, Mark mark);
    void erase(std::map<Key, Mark>::iterator position);

    const std::chrono::milliseconds lifetime_;
    const std::size_t limit_;
    std::map<Key, Mark> marks_;
    std::uint64_t digest_ = 0;
};

} // namespace auburn
