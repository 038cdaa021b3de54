#include "httpmessage.h"

#include <algorithm>

namespace auburn::testing {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;

tcp::endpoint endpointOf(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    const auto port = static_cast<unsigned short>(std::stoi(address.substr(colon + 1)));
    return { boost::asio::ip::make_address(address.substr(0, colon)), port };
}

http::request<http::string_body> messageOf(const HttpRequest &request)
{
    http::request<http::string_body> message;
    message.method_string(request.method);
    message.target(request.target);
    message.version(11);
    message.set(http::field::host, request.address);
    for (const auto &[name, value] : request.headers)
        message.set(name, value);
    message.body() = request.body;
    message.prepare_payload();
    return message;
}

void takeHeader(const http::response_header<> &header, HttpAnswer &answer)
{
    answer.status = static_cast<int>(header.result_int());
    for (const auto &field : header) {
        std::string name(field.name_string());
        std::transform(name.begin(), name.end(), name.begin(), ::tolower);
        answer.headers[name] = std::string(field.value());
    }
}

} // namespace auburn::testing
