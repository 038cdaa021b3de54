// Counts the bytes that are allocated, by the hooks of the address sanitizer.
#pragma once

#include <cstddef>

namespace auburn::fuzz {

// To be called once. The process must have one thread only.
void countAllocations();
// Starts a new measurement.
void resetAllocationPeak();
// Largest number of bytes held at once since resetAllocationPeak(), beyond what was held then.
std::size_t allocationPeak();

} // namespace auburn::fuzz
