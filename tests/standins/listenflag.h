// The --listen flag of the backend server stand-ins.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace auburn::standin {

struct ListenAddress
{
    std::string address;
    std::uint16_t port = 0;
};

// Parses IP:PORT.
std::optional<ListenAddress> parseListenAddress(const std::string &text);

// Prints "listening IP:PORT" and flushes, so that a test that reads the line can start at once.
void printListening(const std::string &address, std::uint16_t port);

} // namespace auburn::standin
