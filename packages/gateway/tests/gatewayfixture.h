// GatewayFixture: a gateway on loopback before scripted servers.
#pragma once

#include "auburn/gateway/gateway.h"
#include "scriptedserver.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <string>
#include <vector>

namespace auburn::gateway {

struct GatewayFixture
{
    GatewayFixture();

    // Opens the gateway on the fixture's address.
    void startGateway(routing::PlacementSource &placement);
    // Adds a server of the "desk" or "engines" service.
    ScriptedServer &addServer(const std::string &id, const std::string &service,
                              ScriptedServer::Handler handler);
    // The text of a request; the fields end with "\r\n" each.
    static std::string request(const std::string &method, const std::string &target,
                               const std::string &fields = {}, const std::string &body = {});
    // Sends one request on a connection of its own and returns what comes back until the whole
    // answer is there or the connection ends.
    std::string exchange(const std::string &text);
    // An answer of a server with its seal.
    static std::string sealed(int status, const std::string &body, const std::string &fields = {});
    static std::string chunk(const std::string &data);
    static std::string streamHead();
    static std::string event(unsigned id);
    // The events from 1 to the last one.
    static std::string eventsUpTo(unsigned last);
    // Data of a chunked answer without its framing; also of an incomplete one.
    static std::string chunkedBody(const std::string &answer);
    static int statusOf(const std::string &answer);
    static bool isComplete(const std::string &answer);

    boost::asio::io_context io;
    RoutingState state{ .directory = {},
                        .placement = routing::Placement(
                                { .failureDomain = "a", .regions = { { "a", "r" } } }),
                        .retries = routing::RetryLedger({ .allowance = 100 }),
                        .crashes = {},
                        .config = nullptr };
    routing::LocalPlacementSource placementSource{ state.directory, state.placement };
    std::vector<std::unique_ptr<ScriptedServer>> servers;
    std::unique_ptr<Gateway> gateway;
    std::string address;
    std::uint64_t logPosition = 0;
};

} // namespace auburn::gateway
