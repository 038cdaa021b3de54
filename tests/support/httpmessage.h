// Parts of an HTTP call that the blocking client and the load generator share.
#pragma once

#include "httpcaller.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http.hpp>

#include <string>

namespace auburn::testing {

// The endpoint of "host:port", where host is an IP address; throws if the text has another form.
boost::asio::ip::tcp::endpoint endpointOf(const std::string &address);

// The request as it is written to the connection.
boost::beast::http::request<boost::beast::http::string_body> messageOf(const HttpRequest &request);

// Copies status and header fields of a response, field names in lower case.
void takeHeader(const boost::beast::http::response_header<> &header, HttpAnswer &answer);

} // namespace auburn::testing
