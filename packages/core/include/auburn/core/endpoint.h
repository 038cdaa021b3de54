// The IP:PORT notation of addresses.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string>

namespace auburn {

// The endpoint of IP:PORT; empty with lastError() set if the text is not one.
std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(const std::string &address);

} // namespace auburn
