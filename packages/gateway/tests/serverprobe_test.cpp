#include "serverprobe.h"

#include "scriptedserver.h"

#include <boost/test/unit_test.hpp>

#include <list>
#include <optional>

namespace auburn::gateway {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

struct ServerProbeFixture
{
    ServerProbeFixture()
        : acceptor(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    {
        accept();
    }

    void accept()
    {
        acceptor.async_accept([this](boost::system::error_code error, tcp::socket socket) {
            if (error)
                return;
            ++accepted;
            if (resetsConnections)
                reset(socket);
            else
                sockets.push_back(std::move(socket));
            accept();
        });
    }

    static void reset(tcp::socket &socket)
    {
        socket.set_option(asio::socket_base::linger(true, 0));
        socket.close();
    }

    // Ends the server as its kernel does: first a connection, then the listening socket.
    void endServer()
    {
        for (tcp::socket &socket : sockets)
            reset(socket);
        acceptor.close();
    }

    // Returns why the server accepts no connections; empty if it does.
    std::string examine()
    {
        std::optional<std::string> result;
        probe = std::make_shared<ServerProbe>(io, endpoint,
                                              [&](const std::string &reason) { result = reason; });
        probe->start();
        BOOST_REQUIRE(runUntil(
                io, [&] { return result.has_value(); }, milliseconds(2000)));
        runFor(io, milliseconds(20));
        return *result;
    }

    asio::io_context io;
    tcp::acceptor acceptor;
    const tcp::endpoint endpoint = acceptor.local_endpoint();
    std::list<tcp::socket> sockets;
    std::shared_ptr<ServerProbe> probe;
    bool resetsConnections = false;
    unsigned accepted = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(serverProbe, ServerProbeFixture)

BOOST_AUTO_TEST_CASE(server_lives_acceptsOneConnection)
{
    BOOST_TEST(examine().empty());
    BOOST_TEST(accepted == 1U);
}

BOOST_AUTO_TEST_CASE(server_isGone_acceptsNone)
{
    endServer();
    BOOST_TEST(!examine().empty());
}

// Guards against a crash that is not seen because the process that ends still accepts a connection.
BOOST_AUTO_TEST_CASE(server_endsWhileItIsExamined_acceptsNoOther)
{
    asio::steady_timer timer(io, milliseconds(30));
    timer.async_wait([this](boost::system::error_code) { endServer(); });
    BOOST_TEST(!examine().empty());
}

// Guards against sound servers that seem to have crashed because they reset the connections beyond
// their limit.
BOOST_AUTO_TEST_CASE(server_resetsConnectionsBeyondItsLimit_accepts)
{
    resetsConnections = true;
    BOOST_TEST(examine().empty());
    BOOST_TEST(accepted == 2U);
}

// Guards against a connection that breaks while an earlier one is examined and is judged too early.
BOOST_AUTO_TEST_CASE(examination_isExtended_seesALaterEnd)
{
    asio::steady_timer extension(io, milliseconds(60));
    extension.async_wait([this](boost::system::error_code) { probe->extend(); });
    asio::steady_timer end(io, milliseconds(130));
    end.async_wait([this](boost::system::error_code) { endServer(); });
    BOOST_TEST(!examine().empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::gateway
