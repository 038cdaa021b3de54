#include "chunkassembler.h"

#include <boost/test/unit_test.hpp>

namespace auburn {

namespace {

proto::ConfigChunk chunk(const std::string &id, std::uint32_t index, std::uint32_t count)
{
    proto::ConfigChunk message;
    message.set_snapshot_id(id);
    message.set_index(index);
    message.set_count(count);
    return message;
}

} // namespace

BOOST_AUTO_TEST_SUITE(chunkassembler)

// Guards against a state that is put together from two answers, and one that counts a repeated
// chunk twice.
BOOST_AUTO_TEST_CASE(add_chunksOfTwoAnswers_completesOnlyOne)
{
    ChunkAssembler assembler;
    assembler.add(chunk("first", 0, 2));
    assembler.add(chunk("first", 0, 2));
    BOOST_TEST(!assembler.isComplete());
    assembler.add(chunk("second", 1, 2));
    BOOST_TEST(!assembler.isComplete());
    assembler.add(chunk("second", 0, 2));
    BOOST_REQUIRE(assembler.isComplete());
    for (const auto &taken : assembler.take())
        BOOST_TEST(taken.snapshot_id() == "second");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn
