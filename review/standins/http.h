// Blocking HTTP/1.1 messages over loopback sockets, for the stand-ins of the review.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace review {

using Milliseconds = std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

// A request or a response: its first line, its header fields and its body.
struct Message
{
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
    // The raw chunks of a chunked body end with the final chunk.
    bool complete = false;

    // Returns the value of the first field of that name, or an empty text.
    std::string field(std::string_view name) const;
    // Status code of a response; 0 if there is none.
    int status() const;
    // Method and target of a request.
    std::string method() const;
    std::string target() const;
};

// Socket is a connected TCP socket with an input buffer. It is closed on destruction.
class Socket
{
public:
    explicit Socket(int descriptor);
    ~Socket();
    Socket(const Socket &) = delete;
    Socket &operator=(const Socket &) = delete;

    // Connects to "IP:PORT". Returns a socket that is not open on failure.
    static int connectTo(const std::string &address, Milliseconds timeout);

    bool isOpen() const { return descriptor_ >= 0; }
    // Returns false if the connection has failed.
    bool send(std::string_view bytes);
    // Reads a message. Returns false if the connection ended before the message was complete or the
    // time has passed; the message then holds what has arrived.
    bool readRequest(Message &message, Milliseconds timeout);
    bool readResponse(Message &message, Milliseconds timeout);
    // Ends the connection with a reset, so that both ends see an error.
    void reset();
    // Wakes a blocked read of another thread.
    void shutdown() const;
    // True if the last read failed because the peer closed or reset the connection.
    bool endedByPeer() const { return endedByPeer_; }

private:
    bool readHead(Message &message, Clock::time_point deadline);
    bool readBody(Message &message, Clock::time_point deadline, bool untilEnd);
    bool readChunks(Message &message, Clock::time_point deadline);
    bool fill(Clock::time_point deadline);

    int descriptor_;
    std::string input_;
    bool endedByPeer_ = false;
};

// Opens a listening socket at "IP:PORT". Returns -1 on failure.
int listenAt(const std::string &address);

// Returns the value of a parameter of the query, or an empty text.
std::string queryValue(const std::string &target, const std::string &name);

} // namespace review
