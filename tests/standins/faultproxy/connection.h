// Connection: one proxied TCP connection with both of its directions.
#pragma once

#include "faults.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <vector>

namespace auburn::standins {

using Tcp = boost::asio::ip::tcp;

// State of a route that its connections read at every step.
struct RouteState
{
    Tcp::endpoint target;
    Faults faults;
    std::uint64_t accepted = 0;
    std::uint64_t toTargetBytes = 0;
    std::uint64_t toClientBytes = 0;
    std::uint64_t droppedAnswers = 0;
};

// All functions run on the thread of the io_context.
class Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(Tcp::socket client, std::shared_ptr<RouteState> route);

    // Connects to the target, unless the way to it is cut, and goes on with held bytes. To be
    // called after every change of the route's faults.
    void resume();
    // Forwards nothing more, but keeps both sockets open.
    void silence();
    // Closes both sockets; with a TCP reset if asked for.
    void close(bool reset);
    bool isClosed() const { return closed_; }
    bool isSilent() const { return silent_; }

private:
    using Clock = std::chrono::steady_clock;

    struct Chunk
    {
        std::vector<char> bytes;
        // Not forwarded before this time.
        Clock::time_point due;
    };

    // One way through the proxy.
    struct Way
    {
        Way(Tcp::socket &source, Tcp::socket &sink, const boost::asio::any_io_executor &executor)
            : from(source)
            , to(sink)
            , timer(executor)
        {}

        Tcp::socket &from;
        Tcp::socket &to;
        boost::asio::steady_timer timer;
        std::array<char, 16384> buffer{};
        std::deque<Chunk> queue;
        std::size_t queuedBytes = 0;
        Clock::time_point lastDue;
        bool reading = false;
        bool writing = false;
        bool waiting = false;
        bool ended = false;
        bool endForwarded = false;
    };

    void connect();
    void read(Way &way);
    void onRead(Way &way, std::size_t size);
    void forward(Way &way);
    void forwardFront(Way &way);
    void forwardEnd(Way &way);
    void waitUntil(Way &way, Clock::time_point due);
    bool isCut(const Way &way) const;
    bool isAnswer(const Way &way) const;
    void dropAnswer();
    void count(const Way &way, std::size_t size);

    std::shared_ptr<RouteState> route_;
    Tcp::socket client_;
    Tcp::socket target_;
    Way toTarget_;
    Way toClient_;
    bool connecting_ = false;
    bool connected_ = false;
    bool silent_ = false;
    bool closed_ = false;
    // Bytes of a request were forwarded and no byte of its answer has come.
    bool answerExpected_ = false;
};

} // namespace auburn::standins
