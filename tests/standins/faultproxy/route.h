// Route: one listening address of the fault proxy with its target and its connections.
#pragma once

#include "connection.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburn::standins {

struct RouteOptions
{
    std::string name;
    // Names by which several routes are controlled together.
    std::vector<std::string> groups;
    // Port 0 chooses a free port.
    Tcp::endpoint listen;
    Tcp::endpoint target;
};

// IP:PORT of a loopback address; nothing with lastError() set for any other text.
std::optional<Tcp::endpoint> parseLoopback(std::string_view text);

// "[NAME[/GROUP]...@]LISTEN=TARGET"; a route without a name is called after its number.
std::optional<RouteOptions> parseRoute(std::string_view text, std::size_t number);

std::string endpointText(const Tcp::endpoint &endpoint);

class Route : public std::enable_shared_from_this<Route>
{
public:
    // Null with lastError() set if the address cannot be bound.
    static std::shared_ptr<Route> make(boost::asio::io_context &context, RouteOptions options);

    const std::string &name() const { return options_.name; }
    // True for the route's name, one of its groups, or "*".
    bool matches(const std::string &selector) const;
    Tcp::endpoint listenEndpoint() const { return acceptor_.local_endpoint(); }

    // Applies to existing and new connections.
    void setFaults(const Faults &faults);
    const RouteState &state() const { return *state_; }
    void closeConnections(bool reset);
    // Stops or resumes listening. Meanwhile the kernel refuses connections, and the port is
    // bound again at once. False with lastError() set on failure.
    bool setListening(bool listening);
    // Existing connections become silent for good; new ones work.
    void silenceConnections();
    std::size_t openConnections();
    std::size_t silentConnections() const;

private:
    Route(boost::asio::io_context &context, RouteOptions options);

    bool listen();
    // Binds the address without listening.
    bool bind(const Tcp::endpoint &endpoint);
    void accept();
    void add(Tcp::socket socket);
    void forgetClosed();

    RouteOptions options_;
    Tcp::acceptor acceptor_;
    bool listening_ = false;
    // Counts how often listening was stopped.
    unsigned listenGeneration_ = 0;
    std::shared_ptr<RouteState> state_ = std::make_shared<RouteState>();
    std::vector<std::shared_ptr<Connection>> connections_;
};

} // namespace auburn::standins
