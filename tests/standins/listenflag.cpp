#include "listenflag.h"

#include <charconv>
#include <iostream>

namespace auburn::standin {

std::optional<ListenAddress> parseListenAddress(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    ListenAddress result{ .address = text.substr(0, colon) };
    const char *last = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, last, result.port);
    if (parsed.ec != std::errc() || parsed.ptr != last)
        return std::nullopt;
    return result;
}

void printListening(const std::string &address, std::uint16_t port)
{
    std::cout << "listening " << address << ':' << port << std::endl;
}

} // namespace auburn::standin
