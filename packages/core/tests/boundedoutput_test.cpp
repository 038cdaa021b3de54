#include "auburn/core/boundedoutput.h"

#include <boost/test/unit_test.hpp>

#include <fcntl.h>
#include <string>
#include <unistd.h>

namespace auburn {

namespace {

struct BoundedOutputFixture
{
    BoundedOutputFixture() { BOOST_REQUIRE(pipe(ends) == 0); }
    ~BoundedOutputFixture()
    {
        close(ends[0]);
        close(ends[1]);
    }

    std::string readAll() const
    {
        fcntl(ends[0], F_SETFL, O_NONBLOCK);
        std::string text;
        char buffer[4096];
        for (ssize_t size = 0; (size = read(ends[0], buffer, sizeof(buffer))) > 0;)
            text.append(buffer, static_cast<std::size_t>(size));
        return text;
    }

    int ends[2];
    BoundedOutput::Clock::time_point now = BoundedOutput::Clock::now();
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(boundedOutput, BoundedOutputFixture)

BOOST_AUTO_TEST_CASE(lines_areWrittenInOrder)
{
    BoundedOutput output({ .descriptor = ends[1] });
    output.add("one", now);
    output.add("two", now);
    BOOST_TEST(output.flush());
    BOOST_TEST(readAll() == "one\ntwo\n");
}

// A reader that has stopped must not stop the daemon; what it misses is counted.
BOOST_AUTO_TEST_CASE(reader_stopped_neverBlocksAndCountsWhatIsDropped)
{
    BoundedOutput output({ .descriptor = ends[1],
                           .bufferBytes = 100000,
                           .linesPerSecond = 1e9,
                           .burstLines = 1e9 });
    const std::string line(999, 'x');
    for (int i = 0; i < 1000; ++i) {
        output.add(line, now);
        output.flush();
    }
    BOOST_TEST(output.dropped() > 700U);
    BOOST_TEST(!output.isEmpty());
    readAll();
    output.flush();
    output.add("last", now);
    std::string rest;
    while (!output.flush())
        rest += readAll();
    rest += readAll();
    BOOST_TEST(rest.find("event=log_lines_dropped count=") != std::string::npos);
    BOOST_TEST(rest.find("last\n") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(rate_exceeded_isBounded)
{
    BoundedOutput output({ .descriptor = ends[1], .linesPerSecond = 10, .burstLines = 20 });
    for (int i = 0; i < 100; ++i)
        output.add("x", now);
    BOOST_TEST(output.dropped() == 80U);
    output.add("x", now + std::chrono::seconds(1));
    BOOST_TEST(output.dropped() == 80U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn
