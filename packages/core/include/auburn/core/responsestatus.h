// Tells which status codes an HTTP response may have.
#pragma once

namespace auburn {

// Returns true if the code is one of the classes 1xx to 5xx. A parser accepts any three digits, but
// a response with another code is not one in the protocol, so nothing can be concluded from it.
constexpr bool isResponseStatus(unsigned status)
{
    constexpr unsigned kFirst = 100;
    constexpr unsigned kLast = 599;
    return status >= kFirst && status <= kLast;
}

} // namespace auburn
