#include "allocations.h"

#include <algorithm>
#include <cstdint>

// GCC installs no header for these functions of its sanitizer library.
// NOLINTBEGIN(bugprone-reserved-identifier)
extern "C" {
std::size_t __sanitizer_get_allocated_size(const volatile void *block);
int __sanitizer_install_malloc_and_free_hooks(void (*allocated)(const volatile void *, std::size_t),
                                              void (*freed)(const volatile void *));
}
// NOLINTEND(bugprone-reserved-identifier)

namespace auburn::fuzz {

namespace {

std::int64_t heldBytes = 0;
std::int64_t heldAtReset = 0;
std::int64_t peakBytes = 0;

void allocated(const volatile void * /*block*/, std::size_t size)
{
    heldBytes += static_cast<std::int64_t>(size);
    peakBytes = std::max(peakBytes, heldBytes);
}

void freed(const volatile void *block)
{
    if (block)
        heldBytes -= static_cast<std::int64_t>(__sanitizer_get_allocated_size(block));
}

} // namespace

void countAllocations()
{
    __sanitizer_install_malloc_and_free_hooks(allocated, freed);
}

void resetAllocationPeak()
{
    heldAtReset = heldBytes;
    peakBytes = heldBytes;
}

std::size_t allocationPeak()
{
    return static_cast<std::size_t>(std::max<std::int64_t>(peakBytes - heldAtReset, 0));
}

} // namespace auburn::fuzz
