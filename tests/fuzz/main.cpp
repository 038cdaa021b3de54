// decoders_test feeds mutated input to the decoders of external input.
//
// An input that fails is saved as DECODER.HASH. Copied to tests/fuzz/inputs, it is a test case that
// every run decodes first. --input replays one file; its decoder is the part of its name before the
// first dot, unless --decoder names another one.

#include "inputrunner.h"
#include "mutator.h"

#include "auburn/core/hash.h"
#include "auburn/core/log.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <google/protobuf/stubs/logging.h>
#include <iterator>
#include <sstream>
#include <tclap/CmdLine.h>

namespace auburn::fuzz {

namespace {

using Clock = std::chrono::steady_clock;

struct Options
{
    std::uint64_t seed = 1;
    double seconds = 0;
    std::string decoder;
    std::string input;
    std::string inputs;
};

std::vector<Decoder> allDecoders()
{
    std::vector<Decoder> decoders;
    for (auto *make : { gatewayDecoders, relayDecoders, platformDecoders, dutyDecoders,
                        peerDecoders, commandDecoders }) {
        std::vector<Decoder> part = make();
        std::move(part.begin(), part.end(), std::back_inserter(decoders));
    }
    return decoders;
}

Options parseOptions(int argc, char **argv)
{
    TCLAP::CmdLine line("Feeds mutated input to decoders", ' ', "0.1.0");
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Seed of the mutations", false, 1, "N", line);
    TCLAP::ValueArg<double> seconds("", "seconds", "Duration, for all decoders together", false, 10,
                                    "S", line);
    TCLAP::ValueArg<std::string> decoder("", "decoder", "Only this decoder", false, "", "NAME",
                                         line);
    TCLAP::ValueArg<std::string> input("", "input", "Replay this input only", false, "", "FILE",
                                       line);
    TCLAP::ValueArg<std::string> inputs("", "inputs", "Replay the inputs in this folder first",
                                        false, "", "FOLDER", line);
    line.parse(argc, argv);
    return { .seed = seed.getValue(),
             .seconds = seconds.getValue(),
             .decoder = decoder.getValue(),
             .input = input.getValue(),
             .inputs = inputs.getValue() };
}

class FuzzTest
{
public:
    explicit FuzzTest(Options options)
        : options_(std::move(options))
        , decoders_(allDecoders())
    {}

    // Returns the exit code of the process.
    int run()
    {
        if (!options_.input.empty())
            return replay(options_.input) ? 0 : 1;
        bool isSound = replayAll();
        std::erase_if(decoders_, [this](const Decoder &decoder) {
            return !options_.decoder.empty() && decoder.name != options_.decoder;
        });
        for (const Decoder &decoder : decoders_)
            isSound = mutate(decoder) && isSound;
        return isSound && !decoders_.empty() ? 0 : 1;
    }

private:
    bool replayAll()
    {
        if (options_.inputs.empty())
            return true;
        std::vector<std::filesystem::path> files;
        for (const auto &entry : std::filesystem::directory_iterator(options_.inputs))
            files.push_back(entry.path());
        std::sort(files.begin(), files.end());
        bool isSound = true;
        for (const auto &file : files)
            isSound = replay(file) && isSound;
        return isSound;
    }

    bool replay(const std::filesystem::path &path)
    {
        const std::string fileName = path.filename().string();
        const std::string name = options_.decoder.empty() ? fileName.substr(0, fileName.find('.'))
                                                          : options_.decoder;
        const auto decoder = std::find_if(decoders_.begin(), decoders_.end(),
                                          [&](const Decoder &each) { return each.name == name; });
        std::ifstream file(path, std::ios::binary);
        if (decoder == decoders_.end() || !file) {
            std::fprintf(stderr, "%s: no such file or decoder\n", path.c_str());
            return false;
        }
        std::ostringstream content;
        content << file.rdbuf();
        const std::string input = content.str();
        const auto fault = runner_.run(*decoder, input);
        std::printf("%s: %s\n", path.c_str(), fault ? fault->c_str() : "passed");
        std::fflush(stdout);
        return !fault;
    }

    bool mutate(const Decoder &decoder)
    {
        // The first inputs fill caches and tables that live as long as the process, so the memory
        // that they need does not count.
        for (const std::string &input : decoder.corpus)
            runner_.run(decoder, input);
        const auto duration = std::chrono::duration_cast<Clock::duration>(
                std::chrono::duration<double>(options_.seconds
                                              / static_cast<double>(decoders_.size())));
        const auto end = Clock::now() + duration;
        Mutator mutator(stableHash(decoder.name, options_.seed));
        std::uint64_t count = 0;
        for (; Clock::now() < end; ++count) {
            const std::string input = mutator.nextInput(decoder);
            if (const auto fault = runner_.run(decoder, input)) {
                std::printf("%s: %s for %zu bytes, saved as %s\n", decoder.name.c_str(),
                            fault->c_str(), input.size(),
                            InputRunner::save(decoder.name, input).c_str());
                return false;
            }
        }
        std::printf("%s: %llu inputs passed\n", decoder.name.c_str(),
                    static_cast<unsigned long long>(count));
        std::fflush(stdout);
        return true;
    }

    const Options options_;
    std::vector<Decoder> decoders_;
    InputRunner runner_;
};

} // namespace

} // namespace auburn::fuzz

int main(int argc, char **argv)
{
    auburn::setLogSink([](std::string_view) {});
    google::protobuf::SetLogHandler(nullptr);
    return auburn::fuzz::FuzzTest(auburn::fuzz::parseOptions(argc, argv)).run();
}
