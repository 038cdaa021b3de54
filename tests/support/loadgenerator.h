// Load generator: sends a prepared schedule of requests with open arrivals and records what came
// back.
//
// Arrivals never wait for answers, so a slow system shows as latency and not as a lower offered
// load.
#pragma once

#include "httpcaller.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace auburn::testing {

struct LoadItem
{
    // Arrival time from the start of the run.
    std::chrono::microseconds at{ 0 };
    HttpRequest request;
    // Free text to group results by, for example the class name.
    std::string tag;
};

struct LoadResult
{
    std::size_t item = 0;
    std::string tag;
    HttpAnswer answer;
    // Content events of a stream; 0 for a plain answer.
    unsigned tokens = 0;
    // From the arrival to the first content event (or to the body of a plain answer).
    std::chrono::microseconds firstToken{ 0 };
    // Time between content events: the mean, and the 95th percentile within the stream.
    std::chrono::microseconds meanGap{ 0 };
    std::chrono::microseconds gapP95{ 0 };
    // True for status 200 with a whole answer: [DONE] at the end of a stream, or a complete body.
    bool whole = false;
    // Stable error code of a refusal; empty otherwise.
    std::string refusalCode;
};

struct LoadOptions
{
    unsigned threads = 2;
    // Reuse connections between requests to one address.
    bool keepAlive = false;
};

// Runs the whole schedule and returns one result per item, in item order. Returns when the last
// answer has ended.
std::vector<LoadResult> runLoad(const std::vector<LoadItem> &items,
                                const LoadOptions &options = {});

// The value at the given share (0..1) of sorted samples; 0 for an empty list. Sorts the argument.
std::chrono::microseconds percentile(std::vector<std::chrono::microseconds> samples, double share);

} // namespace auburn::testing
