#include "http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <cstdlib>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

bool parseAddress(const std::string &address, sockaddr_in &out)
{
    const std::size_t colon = address.find(':');
    out = {};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1)));
    return inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr) == 1;
}

int millisecondsUntil(Clock::time_point deadline)
{
    const auto left = std::chrono::duration_cast<Milliseconds>(deadline - Clock::now()).count();
    return static_cast<int>(std::clamp<std::int64_t>(left, 0, 1000000));
}

std::string word(const std::string &line, std::size_t index)
{
    std::size_t begin = 0;
    for (; index > 0; --index)
        begin = line.find(' ', begin) + 1;
    return line.substr(begin, line.find(' ', begin) - begin);
}

} // namespace

std::string Message::field(std::string_view name) const
{
    for (const auto &[key, value] : fields) {
        if (key.size() == name.size() && strncasecmp(key.data(), name.data(), name.size()) == 0)
            return value;
    }
    return {};
}

int Message::status() const
{
    return startLine.size() > 9 ? std::atoi(startLine.c_str() + 9) : 0;
}

std::string Message::method() const
{
    return word(startLine, 0);
}

std::string Message::target() const
{
    return word(startLine, 1);
}

Socket::Socket(int descriptor)
    : descriptor_(descriptor)
{
    const int on = 1;
    if (descriptor_ >= 0)
        setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

Socket::~Socket()
{
    if (descriptor_ >= 0)
        close(descriptor_);
}

int Socket::connectTo(const std::string &address, Milliseconds timeout)
{
    sockaddr_in target{};
    if (!parseAddress(address, target))
        return -1;
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (descriptor < 0)
        return -1;
    // The result of a connection that is in progress is read below.
    static_cast<void>(
            connect(descriptor, reinterpret_cast<const sockaddr *>(&target), sizeof(target)));
    pollfd entry{ .fd = descriptor, .events = POLLOUT, .revents = 0 };
    int error = ETIMEDOUT;
    socklen_t size = sizeof(error);
    if (poll(&entry, 1, static_cast<int>(timeout.count())) == 1)
        getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error == 0)
        return descriptor;
    close(descriptor);
    return -1;
}

bool Socket::send(std::string_view bytes)
{
    while (!bytes.empty() && descriptor_ >= 0) {
        const ssize_t sent = ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent > 0) {
            bytes.remove_prefix(static_cast<std::size_t>(sent));
            continue;
        }
        pollfd entry{ .fd = descriptor_, .events = POLLOUT, .revents = 0 };
        const bool retry = errno == EAGAIN || errno == EINTR;
        if (!retry || poll(&entry, 1, 10000) != 1)
            return false;
    }
    return descriptor_ >= 0;
}

bool Socket::fill(Clock::time_point deadline)
{
    char bytes[16384];
    pollfd entry{ .fd = descriptor_, .events = POLLIN, .revents = 0 };
    if (descriptor_ < 0 || poll(&entry, 1, millisecondsUntil(deadline)) != 1)
        return false;
    const ssize_t count = recv(descriptor_, bytes, sizeof(bytes), 0);
    if (count <= 0) {
        endedByPeer_ = true;
        return false;
    }
    input_.append(bytes, static_cast<std::size_t>(count));
    return true;
}

bool Socket::readHead(Message &message, Clock::time_point deadline)
{
    std::size_t end = std::string::npos;
    while ((end = input_.find("\r\n\r\n")) == std::string::npos) {
        if (!fill(deadline))
            return false;
    }
    std::size_t begin = input_.find("\r\n");
    message.startLine = input_.substr(0, begin);
    while (begin < end) {
        begin += 2;
        const std::size_t next = input_.find("\r\n", begin);
        const std::string line = input_.substr(begin, next - begin);
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos) {
            const std::size_t value = line.find_first_not_of(' ', colon + 1);
            message.fields.emplace_back(line.substr(0, colon), value == std::string::npos
                                                                       ? std::string()
                                                                       : line.substr(value));
        }
        begin = next;
    }
    input_.erase(0, end + 4);
    return true;
}

bool Socket::readChunks(Message &message, Clock::time_point deadline)
{
    while (true) {
        std::size_t lineEnd = std::string::npos;
        while ((lineEnd = input_.find("\r\n")) == std::string::npos) {
            if (!fill(deadline))
                return false;
        }
        const std::size_t size = std::strtoul(input_.c_str(), nullptr, 16);
        while (input_.size() < lineEnd + 2 + size + 2) {
            if (!fill(deadline))
                return false;
        }
        message.body.append(input_, lineEnd + 2, size);
        input_.erase(0, lineEnd + 2 + size + 2);
        if (size == 0)
            return true;
    }
}

bool Socket::readBody(Message &message, Clock::time_point deadline, bool untilEnd)
{
    if (message.field("Transfer-Encoding") == "chunked") {
        message.complete = readChunks(message, deadline);
        return message.complete;
    }
    const std::string length = message.field("Content-Length");
    if (length.empty() && untilEnd) {
        while (fill(deadline)) {
        }
        message.body = std::exchange(input_, {});
        message.complete = endedByPeer_;
        return message.complete;
    }
    const std::size_t size = std::strtoul(length.c_str(), nullptr, 10);
    while (input_.size() < size) {
        if (!fill(deadline)) {
            message.body = std::exchange(input_, {});
            return false;
        }
    }
    message.body = input_.substr(0, size);
    input_.erase(0, size);
    message.complete = true;
    return true;
}

bool Socket::readRequest(Message &message, Milliseconds timeout)
{
    message = {};
    const auto deadline = Clock::now() + timeout;
    return readHead(message, deadline) && readBody(message, deadline, false);
}

bool Socket::readResponse(Message &message, Milliseconds timeout)
{
    message = {};
    const auto deadline = Clock::now() + timeout;
    return readHead(message, deadline) && readBody(message, deadline, true);
}

void Socket::reset()
{
    if (descriptor_ < 0)
        return;
    const linger abort{ .l_onoff = 1, .l_linger = 0 };
    setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
    close(std::exchange(descriptor_, -1));
}

void Socket::shutdown() const
{
    if (descriptor_ >= 0)
        ::shutdown(descriptor_, SHUT_RDWR);
}

int listenAt(const std::string &address)
{
    sockaddr_in own{};
    const int on = 1;
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
        return -1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const bool open = parseAddress(address, own)
                      && bind(descriptor, reinterpret_cast<const sockaddr *>(&own), sizeof(own))
                                 == 0
                      && listen(descriptor, 512) == 0;
    if (open)
        return descriptor;
    close(descriptor);
    return -1;
}

std::string queryValue(const std::string &target, const std::string &name)
{
    std::size_t at = target.find('?');
    while (at != std::string::npos) {
        const std::size_t end = target.find('&', at + 1);
        const std::string part = target.substr(at + 1, end - at - 1);
        if (part.rfind(name + "=", 0) == 0)
            return part.substr(name.size() + 1);
        at = end;
    }
    return {};
}

} // namespace review
