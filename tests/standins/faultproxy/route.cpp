#include "route.h"

#include "auburn/core/lasterror.h"

#include <algorithm>
#include <charconv>

namespace auburn::standins {

namespace {

using Error = boost::system::error_code;

std::vector<std::string> split(std::string_view text, char separator)
{
    std::vector<std::string> parts;
    std::size_t start = 0;
    while (start <= text.size()) {
        const std::size_t end = std::min(text.find(separator, start), text.size());
        parts.emplace_back(text.substr(start, end - start));
        start = end + 1;
    }
    return parts;
}

} // namespace

std::optional<Tcp::endpoint> parseLoopback(std::string_view text)
{
    const std::size_t colon = std::min(text.rfind(':'), text.size());
    Error error;
    const auto address = boost::asio::ip::make_address_v4(std::string(text.substr(0, colon)),
                                                          error);
    std::uint16_t port = 0;
    const char *const end = text.data() + text.size();
    const char *const digits = text.data() + std::min(colon + 1, text.size());
    const auto parsed = std::from_chars(digits, end, port);
    if (error || !address.is_loopback() || parsed.ec != std::errc() || parsed.ptr != end) {
        setLastError("expected 127.x.x.x:PORT, got '" + std::string(text) + "'");
        return std::nullopt;
    }
    return Tcp::endpoint(address, port);
}

std::optional<RouteOptions> parseRoute(std::string_view text, std::size_t number)
{
    RouteOptions options;
    options.name = "route" + std::to_string(number);
    const std::size_t at = text.find('@');
    if (at != std::string_view::npos) {
        options.groups = split(text.substr(0, at), '/');
        options.name = options.groups.front();
        options.groups.erase(options.groups.begin());
        text.remove_prefix(at + 1);
    }
    const std::size_t equals = text.find('=');
    if (equals == std::string_view::npos || options.name.empty()) {
        setLastError("expected [NAME[/GROUP]...@]LISTEN=TARGET");
        return std::nullopt;
    }
    const auto listen = parseLoopback(text.substr(0, equals));
    const auto target = parseLoopback(text.substr(equals + 1));
    if (!listen || !target)
        return std::nullopt;
    options.listen = *listen;
    options.target = *target;
    return options;
}

std::string endpointText(const Tcp::endpoint &endpoint)
{
    return endpoint.address().to_string() + ':' + std::to_string(endpoint.port());
}

std::shared_ptr<Route> Route::make(boost::asio::io_context &context, RouteOptions options)
{
    std::shared_ptr<Route> route(new Route(context, std::move(options)));
    if (!route->bind(route->options_.listen) || !route->listen())
        return nullptr;
    route->accept();
    return route;
}

Route::Route(boost::asio::io_context &context, RouteOptions options)
    : options_(std::move(options))
    , acceptor_(context)
{
    state_->target = options_.target;
}

bool Route::bind(const Tcp::endpoint &endpoint)
{
    Error error;
    acceptor_.open(endpoint.protocol(), error);
    if (!error)
        acceptor_.set_option(Tcp::acceptor::reuse_address(true), error);
    if (!error)
        acceptor_.bind(endpoint, error);
    if (error)
        setLastError("cannot listen on " + endpointText(endpoint) + ": " + error.message());
    return !error;
}

bool Route::listen()
{
    Error error;
    acceptor_.listen(boost::asio::socket_base::max_listen_connections, error);
    if (error)
        setLastError("cannot listen on " + endpointText(options_.listen) + ": " + error.message());
    listening_ = !error;
    return listening_;
}

bool Route::setListening(bool listening)
{
    if (listening == listening_)
        return true;
    if (listening) {
        if (!listen())
            return false;
        accept();
        return true;
    }
    listening_ = false;
    ++listenGeneration_;
    const Tcp::endpoint endpoint = acceptor_.local_endpoint();
    Error ignored;
    acceptor_.close(ignored);
    return bind(endpoint);
}

void Route::accept()
{
    acceptor_.async_accept([self = shared_from_this(), generation = listenGeneration_](
                                   const Error &error, Tcp::socket socket) {
        // A handler that was queued before the route stopped and resumed listening must not accept
        // beside the new one.
        const bool isOutdated = !self->listening_ || generation != self->listenGeneration_;
        if (error == boost::asio::error::operation_aborted || isOutdated)
            return;
        if (!error)
            self->add(std::move(socket));
        self->accept();
    });
}

void Route::add(Tcp::socket socket)
{
    ++state_->accepted;
    forgetClosed();
    auto connection = std::make_shared<Connection>(std::move(socket), state_);
    if (state_->faults.refuse) {
        connection->close(true);
        return;
    }
    connections_.push_back(connection);
    connection->resume();
}

bool Route::matches(const std::string &selector) const
{
    return selector == "*" || selector == options_.name
           || std::find(options_.groups.begin(), options_.groups.end(), selector)
                      != options_.groups.end();
}

void Route::setFaults(const Faults &faults)
{
    state_->faults = faults;
    for (const auto &connection : connections_)
        connection->resume();
}

void Route::closeConnections(bool reset)
{
    for (const auto &connection : connections_)
        connection->close(reset);
    connections_.clear();
}

void Route::silenceConnections()
{
    for (const auto &connection : connections_)
        connection->silence();
}

std::size_t Route::openConnections()
{
    forgetClosed();
    return connections_.size();
}

std::size_t Route::silentConnections() const
{
    return static_cast<std::size_t>(
            std::count_if(connections_.begin(), connections_.end(),
                          [](const auto &connection) { return connection->isSilent(); }));
}

void Route::forgetClosed()
{
    std::erase_if(connections_, [](const auto &connection) { return connection->isClosed(); });
}

} // namespace auburn::standins
