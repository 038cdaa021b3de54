#include "auburn/core/lasterror.h"
#include "controlserver.h"
#include "faultproxy.h"

#include <boost/asio/signal_set.hpp>
#include <iostream>
#include <string>
#include <tclap/CmdLine.h>
#include <vector>

namespace {

using auburn::lastError;
using namespace auburn::standins;

struct Options
{
    std::string control;
    std::vector<std::string> routes;
};

Options parseOptions(int argc, char **argv)
{
    TCLAP::CmdLine commandLine("TCP proxy that injects faults, for tests.", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> control("", "control", "Address of the control interface.", false,
                                         "127.0.0.1:0", "IP:PORT", commandLine);
    TCLAP::MultiArg<std::string> routes("", "route", "A route; can be repeated.", false,
                                        "[NAME[/GROUP]...@]LISTEN=TARGET", commandLine);
    commandLine.parse(argc, argv);
    return { control.getValue(), routes.getValue() };
}

int fail(const std::string &option)
{
    std::cerr << "standin_proxy: " << option << ": " << lastError() << '\n';
    return 2;
}

int run(const Options &options)
{
    boost::asio::io_context context;
    FaultProxy proxy(context);
    const auto controlEndpoint = parseLoopback(options.control);
    if (!controlEndpoint)
        return fail("--control");
    const auto control = ControlServer::make(context, proxy, *controlEndpoint);
    if (!control)
        return fail("--control");
    std::cout << "listening control " << endpointText(control->listenEndpoint()) << std::endl;
    for (const std::string &text : options.routes) {
        const auto route = proxy.addRoute(text);
        if (!route)
            return fail("--route " + text);
        std::cout << "listening " << route->name() << ' ' << endpointText(route->listenEndpoint())
                  << std::endl;
    }
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&](const boost::system::error_code &, int) { context.stop(); });
    context.run();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    return run(parseOptions(argc, argv));
}
