// AbusiveClient: a client that sends without end, stops short or does not read, for tests of the
// daemon's limits.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>

namespace auburn::testing {

// Sends a start, then one block repeatedly, and keeps its connection open. It reads the responses
// only if told to.
class AbusiveClient : public std::enable_shared_from_this<AbusiveClient>
{
public:
    struct Load
    {
        std::string start;
        std::string block;
        std::size_t repetitions = 0;
        // Before each block.
        std::chrono::milliseconds pause{ 0 };
        bool reads = true;
    };

    AbusiveClient(boost::asio::io_context &io, std::shared_ptr<const Load> load);

    // Connects to IP:PORT and begins to send.
    void start(const std::string &address);
    void close();
    // Everything is sent, or the daemon has closed the connection.
    bool isDone() const { return isDone_; }
    bool hasConnected() const { return hasConnected_; }

private:
    void write(const std::string &bytes);
    void writeBlock();
    void read();

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    std::shared_ptr<const Load> load_;
    std::size_t left_;
    bool isDone_ = false;
    bool hasConnected_ = false;
    std::array<char, 4096> buffer_{};
};

// One chunk of a chunked body.
std::string chunk(std::size_t bytes);
// The text, count times.
std::string repeated(const std::string &text, std::size_t count);

} // namespace auburn::testing
