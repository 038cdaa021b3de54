#include "auburn/core/eventloop.h"

#include <boost/asio/post.hpp>
#include <boost/test/unit_test.hpp>

#include <stdexcept>
#include <string>
#include <vector>

namespace auburn {

BOOST_AUTO_TEST_SUITE(eventLoop)

// Guards against one faulty handler that ends the process and the requests of all its callers.
BOOST_AUTO_TEST_CASE(handler_throws_isReportedAndTheOthersRun)
{
    boost::asio::io_context io;
    std::vector<std::string> reasons;
    int handled = 0;
    boost::asio::post(io, [&] { ++handled; });
    boost::asio::post(io, [] { throw std::runtime_error("broken"); });
    boost::asio::post(io, [] { throw 1; });
    boost::asio::post(io, [&] { ++handled; });
    runEventLoop(io, [&](std::string_view reason) { reasons.emplace_back(reason); });
    BOOST_TEST(handled == 2);
    BOOST_REQUIRE(reasons.size() == 2U);
    BOOST_TEST(reasons[0] == "broken");
}

BOOST_AUTO_TEST_CASE(context_stopped_returns)
{
    boost::asio::io_context io;
    const auto work = boost::asio::make_work_guard(io);
    boost::asio::post(io, [&io] { io.stop(); });
    runEventLoop(io, [](std::string_view /*reason*/) {});
    BOOST_TEST(io.stopped());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn
