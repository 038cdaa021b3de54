// ScriptedServer: an HTTP server whose answers a test writes byte by byte.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <array>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace auburn {

using ScriptedRequest = boost::beast::http::request<boost::beast::http::string_body>;

// Bytes that are sent after a pause.
struct ScriptedPart
{
    std::string bytes;
    std::chrono::milliseconds pause{ 0 };
};

struct ScriptedReply
{
    std::vector<ScriptedPart> parts;
    // What happens after the last part. A server that crashes closes the connection in an orderly
    // way, as the kernel does for a process that ends, and stops listening. One that crashes slowly
    // stops listening only after some time, and resets the connections of that time.
    enum class End { KeepOpen, Close, Reset, Crash, CrashSlowly } end = End::KeepOpen;
};

// A whole answer with a length; the fields end with "\r\n" each.
std::string wholeAnswer(int status, const std::string &fields, const std::string &body);

class ScriptedServer
{
public:
    using Handler = std::function<ScriptedReply(const ScriptedRequest &)>;
    // The connections are numbered from 1, in the order in which they were accepted.
    using ConnectionHandler =
            std::function<ScriptedReply(const ScriptedRequest &, unsigned connection)>;

    // Listens on a free port of 127.0.0.1.
    ScriptedServer(boost::asio::io_context &io, Handler handler);
    ScriptedServer(boost::asio::io_context &io, ConnectionHandler handler);
    ~ScriptedServer();

    const std::string &address() const { return address_; }
    // Every request that was read, in order.
    const std::vector<ScriptedRequest> &requests() const { return state_->requests; }
    unsigned connections() const { return state_->connections; }
    // Connections that the other side closed or reset.
    unsigned closedByPeer() const { return state_->closedByPeer; }

private:
    struct State
    {
        explicit State(boost::asio::io_context &io)
            : acceptor(io, { boost::asio::ip::make_address("127.0.0.1"), 0 })
        {}
        boost::asio::ip::tcp::acceptor acceptor;
        ConnectionHandler handler;
        std::vector<ScriptedRequest> requests;
        unsigned connections = 0;
        unsigned closedByPeer = 0;
        // The server crashes slowly; the connections accepted since.
        bool ending = false;
        std::vector<boost::asio::ip::tcp::socket> acceptedAtEnd;
    };
    class Connection;

    void accept();

    boost::asio::io_context &io_;
    std::shared_ptr<State> state_;
    const std::string address_;
};

// One connection of a test's client; collects everything that it receives.
class ScriptedClient
{
public:
    ScriptedClient(boost::asio::io_context &io, const std::string &address);

    void send(const std::string &bytes);
    // Sends while the context runs. For more bytes than the sockets buffer, if the context that
    // receives them is the client's own.
    void sendLong(std::string bytes);
    void close();
    const std::string &received() const { return state_->received; }
    bool isClosed() const { return state_->closed; }

private:
    struct State
    {
        explicit State(boost::asio::io_context &io)
            : socket(io)
        {}
        boost::asio::ip::tcp::socket socket;
        std::string received;
        std::array<char, 4096> buffer{};
        bool closed = false;
    };
    static void read(const std::shared_ptr<State> &state);

    std::shared_ptr<State> state_;
};

// Runs the context until the condition holds; false if it does not within the limit.
bool runUntil(boost::asio::io_context &io, const std::function<bool()> &condition,
              std::chrono::milliseconds limit = std::chrono::milliseconds(5000));

// Runs the context for a time.
void runFor(boost::asio::io_context &io, std::chrono::milliseconds time);

} // namespace auburn
