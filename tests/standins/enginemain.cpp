// standin_engine: one or many stand-in engines in one process.
#include "listenflag.h"
#include "serverprogram.h"
#include "standinengine.h"

#include <tclap/CmdLine.h>

#include <algorithm>
#include <memory>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

namespace {

using namespace auburn::standin;
namespace asio = boost::asio;

struct Settings
{
    EngineOptions engine;
    unsigned count = 1;
    unsigned threads = 1;
};

Settings parseSettings(int argc, char **argv)
{
    TCLAP::CmdLine line("Stand-in for model engines");
    TCLAP::ValueArg<std::string> listen("", "listen", "IP:PORT; port 0 selects one", false,
                                        "127.0.0.1:0", "IP:PORT", line);
    TCLAP::ValueArg<unsigned> count("", "count", "engines, on consecutive or selected ports", false,
                                    1, "N", line);
    TCLAP::ValueArg<unsigned> threads("", "threads", "threads", false, 1, "N", line);
    TCLAP::ValueArg<unsigned> slots("", "slots", "sequences that run at once", false, 8, "N", line);
    TCLAP::ValueArg<double> rate("", "tokens-per-second", "speed of one stream", false, 50, "RATE",
                                 line);
    TCLAP::ValueArg<double> slowdown("", "batch-slowdown", "growth of the token gap per sequence",
                                     false, 0.02, "SHARE", line);
    TCLAP::ValueArg<unsigned> prefill("", "prefill-us", "prefill time per prompt token", false, 100,
                                      "US", line);
    TCLAP::ValueArg<unsigned> kv("", "kv-tokens", "tokens in KV memory", false, 200000, "N", line);
    TCLAP::ValueArg<unsigned> cache("", "cached-prefixes", "prefixes cached", false, 64, "N", line);
    TCLAP::ValueArg<unsigned> lag("", "load-lag-ms", "age of /load", false, 500, "MS", line);
    TCLAP::ValueArg<unsigned> resume("", "resume-ms", "time for a resume", false, 3000, "MS", line);
    line.parse(argc, argv);
    const auto address = parseListenAddress(listen.getValue());
    if (!address)
        throw TCLAP::ArgException("not IP:PORT", "listen");
    Settings settings{ .count = count.getValue(), .threads = std::max(1U, threads.getValue()) };
    EngineOptions &engine = settings.engine;
    engine.address = address->address;
    engine.port = address->port;
    engine.slots = slots.getValue();
    engine.tokensPerSecond = rate.getValue();
    engine.batchSlowdown = slowdown.getValue();
    engine.prefillPerToken = std::chrono::microseconds(prefill.getValue());
    engine.kvTokens = kv.getValue();
    engine.cachedPrefixes = cache.getValue();
    engine.loadLag = std::chrono::milliseconds(lag.getValue());
    engine.resumeTime = std::chrono::milliseconds(resume.getValue());
    engine.crash = [] { ::_exit(70); };
    return settings;
}

int run(const Settings &settings)
{
    std::vector<std::unique_ptr<asio::io_context>> contexts;
    for (unsigned i = 0; i < settings.threads; ++i)
        contexts.push_back(std::make_unique<asio::io_context>(1));
    const auto engines = startServers<StandinEngine>(
            settings.engine, settings.count,
            [&](unsigned i) -> asio::io_context & { return *contexts[i % contexts.size()]; });
    if (engines.size() < settings.count)
        return 1;
    std::vector<std::thread> threads;
    threads.reserve(contexts.size());
    for (const auto &context : contexts)
        threads.emplace_back([&io = *context] { io.run(); });
    for (std::thread &thread : threads)
        thread.join();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    return runProgram(parseSettings, run, argc, argv);
}
