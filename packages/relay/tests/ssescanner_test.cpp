#include "ssescanner.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

namespace auburn {

BOOST_AUTO_TEST_SUITE(sseScanner)

// Guards against events that are lost or cut when the network splits them at any byte.
BOOST_AUTO_TEST_CASE(feed_splitAtEveryByte_sameEvents)
{
    const std::string stream = "id: 1\r\ndata: a\r\n\r\n: comment\n\nid:2\ndata:b\ndata:c\n\n"
                               "event: error\ndata: x\n\ndata: [DONE]\n\n";
    for (std::size_t first = 0; first <= stream.size(); ++first) {
        for (std::size_t second = first; second <= stream.size(); second += 7) {
            SseScanner scanner;
            std::string joined;
            std::string flags;
            const auto visit = [&](const SseEvent &event) {
                joined += event.text;
                flags += std::string(event.id) + (event.hasData ? "d" : "-")
                         + (event.error ? "e" : "") + (event.done ? "!" : "") + " ";
            };
            scanner.feed(std::string_view(stream).substr(0, first), visit);
            scanner.feed(std::string_view(stream).substr(first, second - first), visit);
            scanner.feed(std::string_view(stream).substr(second), visit);
            BOOST_REQUIRE(joined == stream);
            BOOST_REQUIRE(flags == "1d - 2d de d! ");
            BOOST_REQUIRE(scanner.pendingBytes() == 0U);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn
