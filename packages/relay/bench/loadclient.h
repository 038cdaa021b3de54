// LoadClient: many concurrent streams against one address, with the times at which tokens arrive.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace auburn::bench {

struct LoadOptions
{
    // host:port of each server; streams are spread over them.
    std::vector<std::string> addresses;
    unsigned streams = 500;
    // Tokens of each answer.
    unsigned tokens = 200;
    std::chrono::milliseconds duration{ 3000 };
    std::string token;
};

struct LoadResult
{
    std::vector<std::uint32_t> firstTokenUs;
    std::vector<std::uint32_t> gapUs;
    std::uint64_t tokens = 0;
    std::uint64_t failures = 0;
    double seconds = 0;

    void add(const LoadResult &other);
};

// Keeps the given number of streams open for the duration, then ends. Blocks.
LoadResult runLoad(const LoadOptions &options);

// Value at the given share (0 to 1) of the samples; sorts them.
std::uint32_t percentile(std::vector<std::uint32_t> &samples, double share);

} // namespace auburn::bench
