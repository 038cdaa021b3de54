#include "auburn/claims/idempotencykey.h"

#include "auburn/core/lasterror.h"

#include <cctype>
#include <charconv>
#include <utility>

namespace auburn {

namespace {

// Length of a UUID in its text form, with dashes.
constexpr std::size_t kUuidLength = 36;
// Number of hexadecimal digits of the timestamp, without the dash.
constexpr std::size_t kTimestampDigits = 12;

bool hasUuidLayout(std::string_view text)
{
    if (text.size() != kUuidLength)
        return false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool isDash = i == 8 || i == 13 || i == 18 || i == 23;
        const bool matches = isDash ? text[i] == '-'
                                    : std::isxdigit(static_cast<unsigned char>(text[i])) != 0;
        if (!matches)
            return false;
    }
    return true;
}

} // namespace

std::optional<IdempotencyKey> IdempotencyKey::parse(std::string_view text)
{
    std::string key(text);
    for (char &c : key)
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    const bool isVersion7 = hasUuidLayout(key) && key[14] == '7'
                            && std::string_view("89ab").find(key[19]) != std::string_view::npos;
    if (!isVersion7) {
        setLastError("the key is not a UUID version 7");
        return std::nullopt;
    }
    const std::string digits = key.substr(0, 8) + key.substr(9, 4);
    std::uint64_t milliseconds = 0;
    std::from_chars(digits.data(), digits.data() + kTimestampDigits, milliseconds, 16);
    return IdempotencyKey(std::move(key), WallTime(milliseconds));
}

IdempotencyKey::IdempotencyKey(std::string text, WallTime time)
    : text_(std::move(text))
    , time_(time)
{}

IdempotencyKeyValidity IdempotencyKey::validityAt(WallTime now) const
{
    return checkIdempotencyKeyTime(time_, now);
}

Hash128 IdempotencyKey::hashFor(std::string_view organisation) const
{
    // The key has a fixed length, so the concatenation is unambiguous.
    return stableHash128(text_ + std::string(organisation));
}

IdempotencyKeyValidity checkIdempotencyKeyTime(IdempotencyKey::WallTime keyTime,
                                               IdempotencyKey::WallTime now)
{
    if (now - keyTime > kIdempotencyKeyLifetime)
        return IdempotencyKeyValidity::Expired;
    return keyTime - now > kMaxCallerClockSkew ? IdempotencyKeyValidity::TooFarInFuture
                                               : IdempotencyKeyValidity::Valid;
}

unsigned claimPartition(const Hash128 &key)
{
    return static_cast<unsigned>(key.high % kClaimPartitionCount);
}

std::string claimStream(unsigned partition)
{
    return "claims-" + std::to_string(partition);
}

std::string claimOwnerKey(std::string_view failureDomain, unsigned partition)
{
    return "claims/" + std::string(failureDomain) + '/' + std::to_string(partition);
}

} // namespace auburn
