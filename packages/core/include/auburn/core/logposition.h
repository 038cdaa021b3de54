// Positions in a log that may be restored from an older copy.
//
// After a restore, the log gives out offsets again, so an offset means something only within one
// era of the log. A position combines both in one number. Positions of all eras are ordered: those
// of a later era are higher, whatever their offsets.
#pragma once

#include <cstdint>

namespace auburn {

using LogPosition = std::uint64_t;

// The low bits of a position hold the offset, the others the era. A log that takes 1,000 records a
// second reaches the highest offset after 34 years.
constexpr unsigned kLogOffsetBits = 40;
constexpr std::uint64_t kMaxLogOffset = (std::uint64_t{ 1 } << kLogOffsetBits) - 1;
constexpr std::uint64_t kMaxLogEra = (std::uint64_t{ 1 } << (64 - kLogOffsetBits)) - 1;

// The era is at most kMaxLogEra; a log without eras has era 0. Higher offsets than kMaxLogOffset
// are reduced to it.
constexpr LogPosition logPosition(std::uint64_t era, std::uint64_t offset)
{
    return era << kLogOffsetBits | (offset < kMaxLogOffset ? offset : kMaxLogOffset);
}

constexpr std::uint64_t eraOf(LogPosition position)
{
    return position >> kLogOffsetBits;
}

constexpr std::uint64_t offsetOf(LogPosition position)
{
    return position & kMaxLogOffset;
}

} // namespace auburn
