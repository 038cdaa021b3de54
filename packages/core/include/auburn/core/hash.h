// Hashes that every daemon computes alike.
//
// Ownership and partitioning depend on equal results in all processes, so std::hash cannot be used
// for them.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace auburn {

struct Hash128
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;
    auto operator<=>(const Hash128 &) const = default;
};

// 64-bit xxHash3 of the bytes; not cryptographic.
std::uint64_t stableHash(std::string_view bytes, std::uint64_t seed = 0);

// 128-bit xxHash3 of the bytes; not cryptographic.
Hash128 stableHash128(std::string_view bytes);

// SHA-256 of the bytes as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view bytes);

// The number in lower-case hexadecimal digits, without leading zeros.
std::string toHexadecimal(std::uint64_t number);

// True if both strings are equal; the running time does not depend on where they differ.
bool equalConstantTime(std::string_view left, std::string_view right);

} // namespace auburn
