#include "auburn/core/endpoint.h"

#include "auburn/core/lasterror.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace auburn {

namespace asio = boost::asio;
using boost::asio::ip::tcp;

std::optional<tcp::endpoint> parseEndpoint(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    if (colon != std::string::npos) {
        boost::system::error_code error;
        const auto ip = asio::ip::make_address(address.substr(0, colon), error);
        std::uint16_t port = 0;
        const char *last = address.data() + address.size();
        const auto parsed = std::from_chars(address.data() + colon + 1, last, port);
        if (!error && parsed.ec == std::errc() && parsed.ptr == last)
            return tcp::endpoint(ip, port);
    }
    setLastError("not an IP:PORT address: " + address);
    return std::nullopt;
}

} // namespace auburn
