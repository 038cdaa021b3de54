#include "replayoffsetsearch.h"

#include <boost/test/unit_test.hpp>

namespace auburn {

namespace {

// Reads one record of a log that retains the offsets from earliest to next - 1. The record at
// offset N was appended at N seconds.
ClaimReadResult readOne(std::uint64_t from, std::uint64_t earliest, std::uint64_t next)
{
    ClaimReadResult result{ .succeeded = true, .earliest = earliest, .next = next };
    const std::uint64_t offset = std::max(from, earliest);
    if (offset < next)
        result.records.push_back({ .offset = offset, .time = std::chrono::seconds(offset) });
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(replayoffsetsearch)

// Guards against a start offset after a relevant record, which would allow a second winner, and
// against reading the whole stream. The log removes records during the search.
BOOST_AUTO_TEST_CASE(addReadResult_variousStreams_startOffsetIsShortlyBeforeCutoff)
{
    for (const std::uint64_t next : { 0, 1, 11, 500, 100000 }) {
        for (const std::uint64_t cutoff : { 0, 7, 499, 60000, 200000 }) {
            for (const std::uint64_t removed : { 0, 1, 300 }) {
                ReplayOffsetSearch search(std::chrono::seconds(cutoff), 10);
                std::uint64_t earliest = 0;
                unsigned reads = 0;
                while (!search.isDone()) {
                    search.addReadResult(readOne(search.probeOffset(), earliest, next));
                    earliest = std::min(next, earliest + removed);
                    BOOST_REQUIRE_LT(++reads, 25U);
                }
                const std::uint64_t wanted = std::min(cutoff, next);
                BOOST_TEST(search.startOffset() <= wanted);
                if (removed == 0)
                    BOOST_TEST(search.startOffset() + 10 >= wanted);
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn
