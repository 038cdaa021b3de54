// Decoders of the operators' commands and of the daemon's command line.

#include "decoder.h"

#include "auburn/ctl/commandparser.h"
#include "auburn/daemon/settings.h"

#include <sstream>

namespace auburn::fuzz {

namespace {

// One argument a line.
void decodeArguments(std::string_view input)
{
    std::istringstream lines{ std::string(input) };
    std::vector<std::string> arguments;
    for (std::string line; std::getline(lines, line);)
        arguments.push_back(line);
    readSettings(arguments, [](const std::string &) { return std::nullopt; });
}

} // namespace

std::vector<Decoder> commandDecoders()
{
    constexpr std::size_t kMaxArguments = std::size_t{ 8 } * 1024;
    return {
        { .name = "operator-command",
          .corpus = { "show backend_servers where region = a and slots >= 4 sort slots desc",
                      "show history", "set class gold tier=0 first_token=1.8s if revision 12",
                      "set backend_server \"r \\\"1\" address=127.0.0.1:8000 draining=false",
                      "unset caller web if revision 7", "undrain backend_server r1 if revision 3" },
          .decode = [](std::string_view input) { CommandParser::parse(input); } },
        { .name = "startup-settings",
          .corpus = { "--id\nd1\n--failure-domain\na\n--region=r\n--caller-listen\n127.0.0.1:8080\n"
                      "--status-listen\n[::1]:8081\n--peer-bind\ntcp://0.0.0.0:7000\n"
                      "--peer-advertised\ntcp://127.0.0.1:7000\n--threads\n2\n--log-level\ninfo\n"
                      "--log-url\nhttp://127.0.0.1:9000\n--seeds\ntcp://127.0.0.1:7001\n"
                      "--trace-sampling\n0.5\n--body-limit\n4194304\n--balancer-delay\n5s",
                      "--help" },
          .decode = decodeArguments,
          .maxBytes = kMaxArguments },
    };
}

} // namespace auburn::fuzz
