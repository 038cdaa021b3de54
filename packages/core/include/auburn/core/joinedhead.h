// Detects the head of an HTTP response that contains the start of another one.
#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

namespace auburn {

// Returns true if the reason phrase or a field of the head contains a status line.
//
// A server that stops inside a head and later writes a whole response on the same connection
// produces such a head: the second status line becomes a part of the field or the reason phrase
// that was cut. The status and the fields before it belong to another response than those after it.
bool isJoinedHead(const boost::beast::http::response_header<> &head);

} // namespace auburn
