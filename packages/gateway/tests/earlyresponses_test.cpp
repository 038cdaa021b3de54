// Tests servers that respond, without a length, before they have read a long request. What breaks
// such a connection is reported to the pending write, and reading then ends as after an orderly
// close.

#include "auburn/gateway/httpclient.h"
#include "gatewayfixture.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace auburn::gateway {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;
using ErrorCode = boost::system::error_code;

namespace {

// Longer than the buffers of both sockets together.
constexpr std::size_t kLongBodyBytes = std::size_t{ 4 } * 1024 * 1024;

// Reads the head of each request, responds, and then ends the connection.
class EarlyServer
{
public:
    enum class End {
        // Resets the connection.
        Reset,
        // Leaves the rest of the request unread.
        ReadNothing,
        // Closes its side, and reads the request to its end.
        Close,
        // Reads the rest of the request late, and then sends the rest of the response.
        ReadLate,
    };

    EarlyServer(asio::io_context &io, std::string response, End end, std::string rest = {})
        : acceptor_(io)
        , response_(std::move(response))
        , rest_(std::move(rest))
        , end_(end)
    {
        constexpr int kReceiveBufferBytes = 16384;
        const tcp::endpoint endpoint(asio::ip::make_address("127.0.0.1"), 0);
        acceptor_.open(endpoint.protocol());
        acceptor_.set_option(asio::socket_base::receive_buffer_size(kReceiveBufferBytes));
        acceptor_.bind(endpoint);
        acceptor_.listen();
        accept();
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

private:
    struct Connection : std::enable_shared_from_this<Connection>
    {
        Connection(tcp::socket accepted, const EarlyServer &owner)
            : socket(std::move(accepted))
            , timer(socket.get_executor())
            , server(owner)
        {}

        void start()
        {
            asio::async_read_until(socket, head, "\r\n\r\n",
                                   [self = shared_from_this()](ErrorCode error, std::size_t) {
                                       if (!error)
                                           self->respond();
                                   });
        }

        void respond()
        {
            asio::async_write(
                    socket, asio::buffer(server.response_),
                    [self = shared_from_this()](ErrorCode, std::size_t) { self->endLater(); });
        }

        // Gives the client the time to read the response.
        void endLater()
        {
            constexpr milliseconds kReadingTime{ 100 };
            // Longer than the time after which a connection without progress is given up.
            constexpr milliseconds kLateReadingTime{ 3000 };
            timer.expires_after(server.end_ == End::ReadLate ? kLateReadingTime : kReadingTime);
            timer.async_wait([self = shared_from_this()](ErrorCode) { self->finish(); });
        }

        void finish()
        {
            if (server.end_ == End::Reset) {
                socket.set_option(asio::socket_base::linger(true, 0));
                socket.close();
            } else if (server.end_ == End::Close) {
                socket.shutdown(tcp::socket::shutdown_send);
                drain();
            } else if (server.end_ == End::ReadLate) {
                drain();
                asio::async_write(socket, asio::buffer(server.rest_),
                                  [self = shared_from_this()](ErrorCode, std::size_t) {});
            } else {
                keepOpen();
            }
        }

        void drain()
        {
            socket.async_read_some(asio::buffer(buffer),
                                   [self = shared_from_this()](ErrorCode error, std::size_t) {
                                       if (!error)
                                           self->drain();
                                   });
        }

        void keepOpen()
        {
            timer.expires_after(std::chrono::minutes(1));
            timer.async_wait([self = shared_from_this()](ErrorCode) {});
        }

        tcp::socket socket;
        asio::steady_timer timer;
        asio::streambuf head;
        std::array<char, 65536> buffer{};
        const EarlyServer &server;
    };

    void accept()
    {
        acceptor_.async_accept([this](ErrorCode error, tcp::socket socket) {
            if (error)
                return;
            std::make_shared<Connection>(std::move(socket), *this)->start();
            accept();
        });
    }

    tcp::acceptor acceptor_;
    const std::string response_;
    const std::string rest_;
    const End end_;
};

struct EarlyResponseFixture : GatewayFixture
{
    EarlyResponseFixture()
    {
        routing::TrafficConfigData data = testConfig();
        data.limits.bodyBytes = 2 * kLongBodyBytes;
        for (routing::Route &route : data.routes)
            route.timeout = milliseconds(4000);
        state.config = std::make_shared<const routing::TrafficConfig>(std::move(data));
    }

    void addEarlyServer(const std::string &service, const std::string &response,
                        EarlyServer::End end, const std::string &rest = {})
    {
        server.emplace(io, response, end, rest);
        state.directory.update({ .id = "early",
                                 .service = service,
                                 .address = server->address(),
                                 .failureDomain = "a",
                                 .slots = 8 },
                               ++logPosition);
    }

    std::string exchangeLongBody(const std::string &target)
    {
        ScriptedClient client(io, address);
        client.sendLong(request("POST", target, {}, std::string(kLongBodyBytes, 'b')));
        runUntil(io, [&] { return client.isClosed() || isComplete(client.received()); });
        return client.received();
    }

    HttpResponse post(HttpClient &client)
    {
        std::optional<HttpResponse> response;
        client.post("/x", "text/plain", std::string(kLongBodyBytes, 'b'), milliseconds(4000),
                    [&](HttpResponse received) { response = std::move(received); });
        BOOST_REQUIRE(runUntil(io, [&] { return response.has_value(); }));
        return *response;
    }

    static inline const std::string kUnframedHead = "HTTP/1.1 200 OK\r\nX-Seal: s\r\n\r\n";
    static inline const std::string kPartialResponse = kUnframedHead + "the first half";
    std::optional<EarlyServer> server;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(earlyResponses, EarlyResponseFixture)

// Guards against the first part of a response that reaches the caller as a complete one because the
// connection was reset while the request was still being written.
BOOST_AUTO_TEST_CASE(responseWithoutLength_resetWhileTheRequestIsSent_isNotASuccess)
{
    addEarlyServer("desk", kPartialResponse, EarlyServer::End::Reset);
    BOOST_TEST(statusOf(exchangeLongBody("/order/x")) == 502);
    BOOST_TEST(statusOf(exchangeLongBody("/read/x")) == 502);
}

// Guards against the same if the daemon itself gives up a connection on which the request makes no
// progress.
BOOST_AUTO_TEST_CASE(responseWithoutLength_requestIsNotRead_isNotASuccess)
{
    addEarlyServer("desk", kPartialResponse, EarlyServer::End::ReadNothing);
    const std::string response = exchangeLongBody("/order/x");
    BOOST_TEST(!(isComplete(response) && statusOf(response) == 200));
}

// Guards against a stream that ends as complete after any of its events for the same reason.
BOOST_AUTO_TEST_CASE(streamWithoutLength_resetWhileTheRequestIsSent_isBrokenOff)
{
    addEarlyServer("engines", kUnframedHead + eventsUpTo(2), EarlyServer::End::Reset);
    const std::string response = exchangeLongBody("/digest/x");
    BOOST_TEST(statusOf(response) == 200);
    BOOST_TEST(chunkedBody(response) == eventsUpTo(2));
    BOOST_TEST(!isComplete(response));
}

// Guards against a sound server that loses its connection in the middle of its response because it
// reads a long request late.
BOOST_AUTO_TEST_CASE(stream_serverReadsTheRequestLate_isNotCut)
{
    addEarlyServer("engines", streamHead() + chunk(event(1)), EarlyServer::End::ReadLate,
                   chunk(event(2)) + "0\r\n\r\n");
    const std::string response = exchangeLongBody("/digest/x");
    BOOST_TEST(isComplete(response));
    BOOST_TEST(chunkedBody(response) == eventsUpTo(2));
}

BOOST_AUTO_TEST_CASE(response_serverReadsTheRequestLate_isNotCut)
{
    addEarlyServer("desk", "HTTP/1.1 200 OK\r\nX-Seal: s\r\nContent-Length: 6\r\n\r\nabc",
                   EarlyServer::End::ReadLate, "def");
    BOOST_TEST(exchangeLongBody("/order/x").ends_with("abcdef"));
}

// Guards against whole responses that are lost: the close of a connection before the request is
// sent is the end of a response without a length as long as nothing has broken the connection.
BOOST_AUTO_TEST_CASE(responseWithoutLength_serverClosesAndReadsOn_isForwarded)
{
    addEarlyServer("desk", kUnframedHead + "whole", EarlyServer::End::Close);
    const std::string response = exchangeLongBody("/order/x");
    BOOST_TEST(statusOf(response) == 200);
    BOOST_TEST(response.ends_with("whole"));
}

// Guards against a part of a document of the store, or of another daemon, that is taken for the
// whole one.
BOOST_AUTO_TEST_CASE(clientCall_resetWhileTheRequestIsSent_fails)
{
    const EarlyServer early(io, kPartialResponse, EarlyServer::End::Reset);
    HttpClient client(io, early.address());
    const HttpResponse response = post(client);
    BOOST_TEST(response.status == 0);
    BOOST_TEST(!response.error.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::gateway
