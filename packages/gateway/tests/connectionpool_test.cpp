// Tests which idle connections the pool hands out. The tests do not run the event loop between the
// server's action and the next call, as in a process that was stopped or gets little processor
// time.

#include "connectionpool.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <memory>
#include <string>

namespace auburn::gateway {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t kIdleLimit = 8;
constexpr milliseconds kMaxIdle{ 10000 };

// Counts the complete responses; they need no id.
struct CountingHandler : CallHandler
{
    ResponseMatch matchResponse(const ResponseHeader & /*header*/) override
    {
        return ResponseMatch::Unidentified;
    }
    void responseStarted(const ResponseHeader & /*header*/) override {}
    void responseData(const std::vector<std::string_view> & /*data*/) override {}
    void callEnded(const CallResult &result) override
    {
        completed += result.outcome == CallOutcome::Complete ? 1 : 0;
    }
    unsigned completed = 0;
};

struct ConnectionPoolFixture
{
    // Lets a connection carry one call and returns it to the pool.
    void addIdleConnection(const std::string &requestId = "first")
    {
        CountingHandler handler;
        const auto connection = std::make_shared<OutboundConnection>(io, address);
        connection->call({ .head = "GET / HTTP/1.1\r\nHost: h\r\n\r\n", .requestId = requestId },
                         milliseconds(300), &handler);
        io.restart();
        io.run_for(milliseconds(50));
        serverSides.push_back(acceptor.accept());
        boost::asio::streambuf request;
        boost::asio::read_until(serverSides.back(), request, "\r\n\r\n");
        const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        boost::asio::write(serverSides.back(), boost::asio::buffer(response));
        io.restart();
        io.run_for(milliseconds(50));
        BOOST_REQUIRE(handler.completed == 1U);
        pool->release(connection, kIdleLimit);
    }

    // Writes unsolicited bytes to an idle connection.
    void writeTo(tcp::socket &serverSide)
    {
        boost::asio::write(serverSide, boost::asio::buffer(std::string("HTTP/1.1 503 Full\r\n")));
    }

    // True if the next connection of the pool has been used before.
    bool acquireReused(const std::string &requestId = "next")
    {
        return pool->acquire(address, kMaxIdle, requestId).connection->isConnected();
    }

    // Lets the server answer the next request on the connection of a call.
    void answerCall(OutboundConnection &connection, tcp::socket &serverSide,
                    const std::string &requestId)
    {
        CountingHandler handler;
        connection.call({ .head = "GET / HTTP/1.1\r\nHost: h\r\n\r\n", .requestId = requestId },
                        milliseconds(300), &handler);
        boost::asio::streambuf request;
        boost::asio::read_until(serverSide, request, "\r\n\r\n");
        const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        boost::asio::write(serverSide, boost::asio::buffer(response));
        while (handler.completed == 0) {
            io.restart();
            io.run_one_for(milliseconds(1000));
        }
    }

    boost::asio::io_context io;
    tcp::acceptor acceptor{ io, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0) };
    const std::string address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    std::shared_ptr<ConnectionPool> pool = std::make_shared<ConnectionPool>(io);
    std::vector<tcp::socket> serverSides;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(connectionPool, ConnectionPoolFixture)

BOOST_AUTO_TEST_CASE(idleConnection_quiet_isReused)
{
    addIdleConnection();
    BOOST_TEST(acquireReused());
    BOOST_TEST(!acquireReused());
}

// Guards against bytes that arrived before a request and are taken for the response to it.
BOOST_AUTO_TEST_CASE(idleConnection_holdsUnreadBytes_isNotReused)
{
    addIdleConnection();
    writeTo(serverSides[0]);
    BOOST_TEST(!acquireReused());
}

// Guards against a request that is sent on a connection that its server has closed: its outcome
// would be unknown without need.
BOOST_AUTO_TEST_CASE(idleConnection_closedByServer_isNotReused)
{
    addIdleConnection();
    serverSides[0].close();
    BOOST_TEST(!acquireReused());
}

// Guards against giving up the sound connections beside one that is not.
BOOST_AUTO_TEST_CASE(idleConnections_newestHoldsUnreadBytes_anotherIsReused)
{
    addIdleConnection();
    addIdleConnection();
    writeTo(serverSides[1]);
    BOOST_TEST(acquireReused());
    BOOST_TEST(!acquireReused());
}

// Guards against a late copy of an earlier response that is taken for that to a request with the
// same id.
BOOST_AUTO_TEST_CASE(idleConnection_hasCarriedTheId_isNotReusedForItAgain)
{
    addIdleConnection("id");
    BOOST_TEST(!acquireReused("id"));
}

// Guards against a new connection for each repeated id although another idle one is sound.
BOOST_AUTO_TEST_CASE(idleConnections_newestHasCarriedTheId_anotherIsReused)
{
    addIdleConnection("another");
    addIdleConnection("id");
    BOOST_TEST(acquireReused("id"));
    BOOST_TEST(!acquireReused("id"));
}

// Guards against ids that are forgotten while copies of their responses may come, against memory
// that grows with the requests of a connection, and against a connection that ends because of them.
BOOST_AUTO_TEST_CASE(connection_carriesManyRequests_knowsTheNewestIds)
{
    constexpr unsigned kRequests = 1200;
    constexpr unsigned kKnown = 512;
    addIdleConnection("id0");
    const auto connection = pool->acquire(address, kMaxIdle, "id1").connection;
    BOOST_REQUIRE(connection->isConnected());
    for (unsigned i = 1; i < kRequests; ++i) {
        BOOST_REQUIRE(connection->isReusable());
        answerCall(*connection, serverSides[0], "id" + std::to_string(i));
    }
    for (unsigned i = 0; i < kRequests; ++i)
        BOOST_TEST(connection->hasCarried("id" + std::to_string(i)) == (i >= kRequests - kKnown),
                   i);
}

// Guards against one connection more than before at a server that resets those beyond its limit.
BOOST_AUTO_TEST_CASE(onlyConnection_hasCarriedTheId_isReplaced)
{
    addIdleConnection("id");
    const auto acquired = pool->acquire(address, kMaxIdle, "id");
    BOOST_TEST(acquired.repeatsId);
    BOOST_TEST(!acquired.connection->isConnected());
    BOOST_TEST(!acquireReused("another"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::gateway
