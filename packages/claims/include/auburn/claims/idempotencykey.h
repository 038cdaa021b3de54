// IdempotencyKey is the parsed Idempotency-Key of a non-idempotent request: a UUID version 7 (RFC
// 9562).
//
// The timestamp in the key bounds its lifetime. The claims of an expired key can be removed because
// no later request with that key is accepted.
#pragma once

#include "auburn/core/hash.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace auburn {

// Age beyond which a key is refused. Must be well below the retention time of the log.
constexpr std::chrono::minutes kIdempotencyKeyLifetime{ 15 };
// How far a key's timestamp may lie ahead of the local clock, to tolerate clock skew of callers.
constexpr std::chrono::minutes kMaxCallerClockSkew{ 2 };
// Number of log streams over which claims are distributed.
constexpr unsigned kClaimPartitionCount = 2;

// Result of checking a key's timestamp against the current time.
enum class IdempotencyKeyValidity { Valid, Expired, TooFarInFuture };

class IdempotencyKey
{
public:
    // Milliseconds since the Unix epoch.
    using WallTime = std::chrono::milliseconds;

    // Parses a header value. Returns nothing, with lastError() set, if it is not a UUID version 7.
    static std::optional<IdempotencyKey> parse(std::string_view text);

    // Time at which the caller generated the key.
    WallTime time() const { return time_; }
    IdempotencyKeyValidity validityAt(WallTime now) const;

    // Hash of the organisation and the key, under which claims are stored. Keys that differ only in
    // case have the same hash.
    Hash128 hashFor(std::string_view organisation) const;

private:
    IdempotencyKey(std::string text, WallTime time);

    std::string text_;
    WallTime time_;
};

// Checks the timestamp of a key against the given time.
IdempotencyKeyValidity checkIdempotencyKeyTime(IdempotencyKey::WallTime keyTime,
                                               IdempotencyKey::WallTime now);

// Partition that stores the claims of a key hash.
unsigned claimPartition(const Hash128 &key);
// Name of the log stream of a partition.
std::string claimStream(unsigned partition);
// Key for rendezvous hashing that selects a partition's owner in a failure domain.
std::string claimOwnerKey(std::string_view failureDomain, unsigned partition);

} // namespace auburn
