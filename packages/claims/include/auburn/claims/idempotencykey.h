// IdempotencyKey: the Idempotency-Key of a non-idempotent request, a UUID version 7 (RFC 9562).
//
// The timestamp in the key bounds its lifetime, so the claims of a key can be forgotten once it has
// expired: no later request with that key is accepted.
#pragma once

#include "auburn/core/hash.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace auburn {

// Age from which a key is refused. It must be well under the retention of the log.
constexpr std::chrono::minutes kIdempotencyKeyLifetime{ 15 };
// Difference between a caller's clock and ours that is tolerated.
constexpr std::chrono::minutes kMaxClientClockSkew{ 2 };
constexpr unsigned kClaimPartitionCount = 2;

enum class IdempotencyKeyValidity { Valid, Expired, TooFarInFuture };

class IdempotencyKey
{
public:
    // Milliseconds since the epoch.
    using WallTime = std::chrono::milliseconds;

    // The key in a header value; empty with lastError() set if it is not a UUID version 7.
    static std::optional<IdempotencyKey> parse(std::string_view text);

    // Time at which the caller made the key.
    WallTime time() const { return time_; }
    IdempotencyKeyValidity validityAt(WallTime now) const;

    // Hash under which the claims of an organisation's key are stored. Upper and lower case are the
    // same key.
    Hash128 hashFor(std::string_view organisation) const;

private:
    IdempotencyKey(std::string text, WallTime time);

    std::string text_;
    WallTime time_;
};

// Age of a key that was made at the given time.
IdempotencyKeyValidity checkIdempotencyKeyTime(IdempotencyKey::WallTime keyTime,
                                               IdempotencyKey::WallTime now);

// Partition that holds the claims of a key, its log stream, and its key for rendezvous hashing in a
// failure domain.
unsigned claimPartition(const Hash128 &key);
std::string claimStream(unsigned partition);
std::string claimOwnerKey(std::string_view failureDomain, unsigned partition);

} // namespace auburn
