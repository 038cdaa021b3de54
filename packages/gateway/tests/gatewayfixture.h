#pragma once

#include "auburn/gateway/gateway.h"
#include "scriptedserver.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace auburn::gateway {

// A call of Gateway::Options::requestBegan.
struct BegunRequest
{
    std::string organisation;
    std::chrono::milliseconds ago;
};

// GatewayFixture runs a gateway on the loopback interface in front of scripted backend servers.
struct GatewayFixture
{
    GatewayFixture();

    // The configuration of the fixture, for tests that change a part of it.
    static routing::TrafficConfigData testConfig();
    // Records requests that earn enough retries for the whole test.
    void fillRetryBudget();
    // Starts the gateway on the fixture's address.
    void startGateway(routing::PlacementSource &placement);
    // Runs the gateway and the servers for this time.
    void wait(std::chrono::milliseconds time);
    // Adds a server of the "desk" or "engines" service.
    ScriptedServer &addServer(const std::string &id, const std::string &service,
                              ScriptedServer::Handler handler);
    // Returns the text of a request. Each of the fields must end with "\r\n".
    static std::string request(const std::string &method, const std::string &target,
                               const std::string &fields = {}, const std::string &body = {});
    // Sends one request on a new connection and returns the bytes received until the response is
    // complete or the connection is closed.
    std::string exchange(const std::string &text);
    // Returns a complete response of a backend server, with its seal.
    static std::string sealed(int status, const std::string &body, const std::string &fields = {});
    static std::string chunk(const std::string &data);
    static std::string streamHead();
    static std::string event(unsigned id);
    // Returns the text of the events with ids from 1 to last.
    static std::string eventsUpTo(unsigned last);
    // Returns the decoded body of a chunked response, which may be incomplete.
    static std::string chunkedBody(const std::string &response);
    static int statusOf(const std::string &response);
    static bool isComplete(const std::string &response);

    boost::asio::io_context io;
    RoutingState state{ .directory = {},
                        .placement = routing::Placement(
                                { .failureDomain = "a", .regions = { { "a", "r" } } }),
                        .retries = routing::RetryBudget({ .window = std::chrono::hours(1) }),
                        .config = nullptr };
    routing::LocalPlacementSource placementSource{ state.directory, state.placement };
    std::vector<std::unique_ptr<ScriptedServer>> servers;
    std::unique_ptr<Gateway> gateway;
    std::string address;
    // The limit of the bytes that the gateway holds, for the next startGateway().
    std::size_t memoryLimit = std::size_t{ 64 } * 1024 * 1024;
    // The limit of caller connections, for the next startGateway().
    std::size_t maxConnections = 2000;
    // For the next startGateway().
    routing::StreamOrigins *streamOrigins = nullptr;
    std::uint64_t logPosition = 0;
    std::vector<BegunRequest> begunRequests;
};

} // namespace auburn::gateway
