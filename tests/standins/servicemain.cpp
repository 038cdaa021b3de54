// standin_service: one or many stand-in plain services in one process.
#include "listenflag.h"
#include "serverprogram.h"
#include "standinservice.h"

#include <tclap/CmdLine.h>

#include <string>
#include <unistd.h>

namespace {

using namespace auburn::standin;

struct Settings
{
    ServiceOptions service;
    unsigned count = 1;
};

Settings parseSettings(int argc, char **argv)
{
    TCLAP::CmdLine line("Stand-in for plain services");
    TCLAP::ValueArg<std::string> listen("", "listen", "IP:PORT; port 0 selects one", false,
                                        "127.0.0.1:0", "IP:PORT", line);
    TCLAP::ValueArg<unsigned> count("", "count", "services, on consecutive or selected ports",
                                    false, 1, "N", line);
    TCLAP::ValueArg<unsigned> work("", "work-ms", "time of one call", false, 5, "MS", line);
    line.parse(argc, argv);
    const auto address = parseListenAddress(listen.getValue());
    if (!address)
        throw TCLAP::ArgException("not IP:PORT", "listen");
    return Settings{ .service = { .address = address->address,
                                  .port = address->port,
                                  .workTime = std::chrono::milliseconds(work.getValue()),
                                  .crash = [] { ::_exit(70); } },
                     .count = count.getValue() };
}

int run(const Settings &settings)
{
    boost::asio::io_context context(1);
    const auto services = startServers<StandinService>(
            settings.service, settings.count,
            [&](unsigned) -> boost::asio::io_context & { return context; });
    if (services.size() < settings.count)
        return 1;
    context.run();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    return runProgram(parseSettings, run, argc, argv);
}
