#include "streamtable.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>

#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace auburn::standins {

namespace {

// Keeps the responses that it is given.
class RecordingResponder : public Responder
{
public:
    void send(boost::beast::http::status, std::string json) override
    {
        responses.push_back(std::move(json));
    }
    void drop() override {}
    bool isOpen() const override { return responses.empty(); }

    std::vector<std::string> responses;
};

struct StreamTableFixture
{
    boost::asio::io_context context;
    StreamTable table{ context, Retention{}, 0 };
    std::shared_ptr<RecordingResponder> responder = std::make_shared<RecordingResponder>();
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(streamtable, StreamTableFixture)

BOOST_AUTO_TEST_CASE(append_whileReadWaits_answersWithTheRecord)
{
    table.read("claims", 0, 10, std::chrono::seconds(60), responder);
    BOOST_TEST(responder->responses.empty());
    table.append("claims", "record");
    context.run();
    BOOST_REQUIRE(responder->responses.size() == 1);
    BOOST_TEST(responder->responses.front().find("\"offset\":0") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(read_noRecordWithinItsWait_answersEmpty)
{
    table.read("claims", 0, 10, std::chrono::milliseconds(1), responder);
    context.run();
    BOOST_REQUIRE(responder->responses.size() == 1);
    BOOST_TEST(responder->responses.front().find("\"records\":[]") != std::string::npos);
    table.append("claims", "record");
    BOOST_TEST(responder->responses.size() == 1);
}

// Guards against a crash of the log: an append answered a waiting read and destroyed its timer
// while the handler of the timer, which cannot be cancelled any more, was already queued.
BOOST_AUTO_TEST_CASE(append_timerOfReadAlreadyExpired_answersOnce)
{
    boost::asio::steady_timer appendTimer(context, std::chrono::milliseconds(1));
    appendTimer.async_wait([this](boost::system::error_code) { table.append("claims", "record"); });
    table.read("claims", 0, 10, std::chrono::milliseconds(2), responder);
    // Both timers have expired when the context runs, so it queues both handlers at once.
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    context.run();
    BOOST_TEST(responder->responses.size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::standins
