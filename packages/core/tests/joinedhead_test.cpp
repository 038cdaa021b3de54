#include "auburn/core/joinedhead.h"

#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/test/unit_test.hpp>

#include <string>

namespace auburn {

namespace {

namespace http = boost::beast::http;

struct JoinedHeadFixture
{
    // Returns whether the head is a joined one; false if it is no valid head.
    static bool isJoined(const std::string &text)
    {
        http::response_parser<http::empty_body> parser;
        boost::system::error_code error;
        parser.put(boost::asio::buffer(text), error);
        return parser.is_header_done() && isJoinedHead(parser.get());
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(joinedHead, JoinedHeadFixture)

// Guards against a status and fields that belong to different responses, wherever the first one was
// cut: the two heads must be invalid together, or be recognised.
BOOST_AUTO_TEST_CASE(head_cutAtAnyByteBeforeAnother_isInvalidOrRecognised)
{
    const std::string first = "HTTP/1.1 503 Full\r\nX-Reason: queue\r\nHHost: HTTP/1\r\n\r\n";
    const std::string second = "HTTP/1.1 200 OK\r\nX-Id: 7\r\n\r\n";
    for (std::size_t size = 1; size < first.size(); ++size) {
        http::response_parser<http::empty_body> parser;
        boost::system::error_code error;
        parser.put(boost::asio::buffer(first.substr(0, size) + second), error);
        BOOST_TEST((error || isJoinedHead(parser.get())), "cut after " << size << " bytes");
    }
}

BOOST_AUTO_TEST_CASE(statusLineOfHttp10_isRecognised)
{
    BOOST_TEST(isJoined("HTTP/1.1 503 Full\r\nX-Reason: quHTTP/1.0 200 OK\r\n\r\n"));
}

BOOST_AUTO_TEST_CASE(ordinaryHead_isNotJoined)
{
    BOOST_TEST(!isJoined("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"));
    BOOST_TEST(!isJoined("HTTP/1.1 200 OK\r\nVia: HTTP/1.1 proxy\r\nX-Note: HHTTP\r\n\r\n"));
    BOOST_TEST(!isJoined("HTTP/1.1 200 OK\r\nUpgrade: HTTP/2.0\r\nX-Note: HTTP/1.1\r\n\r\n"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn
