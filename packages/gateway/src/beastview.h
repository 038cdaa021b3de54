#pragma once

#include <boost/beast/core/string_type.hpp>

#include <string_view>

namespace auburn::gateway {

// Converts a string view of Boost.Beast to the standard type.
inline std::string_view toStringView(boost::beast::string_view text)
{
    return { text.data(), text.size() };
}

} // namespace auburn::gateway
