#include "inputrunner.h"

#include "allocations.h"

#include "auburn/core/hash.h"

#include <csignal>
#include <cstdio>
#include <ctime>
#include <fcntl.h>
#include <sanitizer/common_interface_defs.h>
#include <sys/time.h>
#include <unistd.h>

// Calls of abort() must be reported like other faults, so that the input is saved. The undefined
// behaviour sanitizer has its own library, which knows nothing of the callback below.
// NOLINTNEXTLINE(bugprone-reserved-identifier): the sanitizer looks for this name.
extern "C" const char *__asan_default_options()
{
    return "handle_abort=1:detect_stack_use_after_return=0";
}

// NOLINTNEXTLINE(bugprone-reserved-identifier)
extern "C" const char *__ubsan_default_options()
{
    return "print_stacktrace=1:abort_on_error=1";
}

namespace auburn::fuzz {

namespace {

constexpr std::size_t kAllowedBytesPerByte = 64;
constexpr std::size_t kAllowedBytes = std::size_t{ 1024 } * 1024;
constexpr double kAllowedSeconds = 1;
// After this time an input is taken for one without an end.
constexpr time_t kEndlessSeconds = 10;

// The input that is being decoded, for the handlers below.
std::string_view currentInput;
char currentFile[256];

void writeCurrentInput()
{
    // The process may also end between two inputs.
    if (!currentInput.data())
        return;
    const int file = ::open(currentFile, O_CREAT | O_TRUNC | O_WRONLY, 0644);
    if (file < 0)
        return;
    const ssize_t written = ::write(file, currentInput.data(), currentInput.size());
    ::close(file);
    std::fprintf(stderr, "input of %zd bytes saved as %s\n", written, currentFile);
}

void endless(int /*signal*/)
{
    std::fprintf(stderr, "decoding takes more than %ld s of CPU time\n",
                 static_cast<long>(kEndlessSeconds));
    writeCurrentInput();
    // Shows where.
    __sanitizer_print_stack_trace();
    std::_Exit(1);
}

void setTimer(time_t seconds)
{
    const itimerval value{ .it_value = { .tv_sec = seconds } };
    ::setitimer(ITIMER_PROF, &value, nullptr);
}

double cpuSeconds()
{
    timespec time{};
    ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
}

std::string fileName(const std::string &decoder, std::string_view input)
{
    return decoder + "." + toHexadecimal(stableHash(input));
}

} // namespace

InputRunner::InputRunner()
{
    countAllocations();
    std::signal(SIGPROF, endless);
    __sanitizer_set_death_callback(writeCurrentInput);
}

std::optional<std::string> InputRunner::run(const Decoder &decoder, std::string_view input)
{
    currentInput = input;
    std::snprintf(currentFile, sizeof(currentFile), "%s", fileName(decoder.name, input).c_str());
    resetAllocationPeak();
    setTimer(kEndlessSeconds);
    const double begin = cpuSeconds();
    decoder.decode(input);
    const double seconds = cpuSeconds() - begin;
    setTimer(0);
    const std::size_t bytes = allocationPeak();
    currentInput = {};
    if (bytes > kAllowedBytesPerByte * input.size() + kAllowedBytes)
        return std::to_string(bytes) + " bytes allocated";
    if (seconds > kAllowedSeconds)
        return std::to_string(seconds) + " s of CPU time";
    return std::nullopt;
}

std::string InputRunner::save(const std::string &decoder, std::string_view input)
{
    std::string name = fileName(decoder, input);
    if (std::FILE *file = std::fopen(name.c_str(), "wb")) {
        std::fwrite(input.data(), 1, input.size(), file);
        std::fclose(file);
    }
    return name;
}

} // namespace auburn::fuzz
