#include "childprocess.h"

#include "auburn/core/lasterror.h"

#include <boost/process.hpp>
#include <boost/process/extend.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <limits>
#include <linux/close_range.h>
#include <sstream>
#include <sys/prctl.h>
#include <thread>
#include <unistd.h>

namespace auburn::testing {

namespace bp = boost::process;

namespace {

constexpr std::chrono::milliseconds kPollInterval{ 10 };

std::string programFolder()
{
    char path[4096];
    const ssize_t length = readlink("/proc/self/exe", path, sizeof(path));
    const std::string self(path, length > 0 ? static_cast<std::size_t>(length) : 0);
    return self.substr(0, self.rfind('/'));
}

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

std::vector<std::string> linesWithPrefix(const std::string &text, const std::string &prefix,
                                         std::size_t count)
{
    std::vector<std::string> lines;
    std::istringstream stream(text);
    std::string line;
    while (lines.size() < count && std::getline(stream, line)) {
        // A line without its line break may still be incomplete.
        if (line.rfind(prefix, 0) == 0 && !stream.eof())
            lines.push_back(line.substr(prefix.size()));
    }
    return lines;
}

// Only marks the descriptors, because Boost.Process needs some of them until exec.
void closeOnExec()
{
    close_range(STDERR_FILENO + 1, std::numeric_limits<unsigned>::max(), CLOSE_RANGE_CLOEXEC);
}

} // namespace

struct ChildProcess::Impl
{
    bp::child child;
    std::optional<int> exitCode;
};

std::unique_ptr<ChildProcess> ChildProcess::start(Options options)
{
    std::unique_ptr<ChildProcess> process(new ChildProcess(std::move(options)));
    const Options &o = process->options_;
    bp::environment environment = boost::this_process::environment();
    for (const auto &[key, value] : o.environment)
        environment[key] = value;
    std::error_code error;
    process->impl_->child = bp::child(
            bp::exe = programFolder() + "/" + o.program, bp::args = o.arguments, environment,
            bp::std_in<bp::null, (bp::std_out & bp::std_err)> process->logPath_, error,
            bp::extend::on_exec_setup = [inherits = o.inheritsDescriptors](auto &) {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                if (!inherits)
                    closeOnExec();
            });
    if (error) {
        setLastError("cannot start " + o.program + ": " + error.message());
        return nullptr;
    }
    return process;
}

ChildProcess::ChildProcess(Options options)
    : options_(std::move(options))
    , logPath_(options_.logFolder + "/" + options_.name + ".log")
    , impl_(std::make_unique<Impl>())
{}

ChildProcess::~ChildProcess()
{
    if (running()) {
        sendSignal(SIGKILL);
        waitForExit(std::chrono::seconds(10));
    }
}

int ChildProcess::pid() const
{
    return impl_->child.id();
}

bool ChildProcess::running() const
{
    if (impl_->exitCode || !impl_->child.valid())
        return false;
    std::error_code error;
    return impl_->child.running(error) && !error;
}

void ChildProcess::sendSignal(int signal)
{
    if (running())
        ::kill(pid(), signal);
}

std::optional<int> ChildProcess::waitForExit(std::chrono::milliseconds timeout)
{
    const auto end = std::chrono::steady_clock::now() + timeout;
    while (running()) {
        if (std::chrono::steady_clock::now() >= end)
            return std::nullopt;
        std::this_thread::sleep_for(kPollInterval);
    }
    if (!impl_->exitCode) {
        const int status = impl_->child.native_exit_code();
        impl_->exitCode = WIFSIGNALED(status) ? 128 + WTERMSIG(status) : WEXITSTATUS(status);
    }
    return impl_->exitCode;
}

std::vector<std::string> ChildProcess::waitForLines(const std::string &prefix, std::size_t count,
                                                    std::chrono::milliseconds timeout) const
{
    const auto end = std::chrono::steady_clock::now() + timeout;
    while (true) {
        const bool last = !running() || std::chrono::steady_clock::now() >= end;
        std::vector<std::string> lines = linesWithPrefix(output(), prefix, count);
        if (lines.size() >= count || last)
            return lines;
        std::this_thread::sleep_for(kPollInterval);
    }
}

std::string ChildProcess::output() const
{
    return readFile(logPath_);
}

std::optional<std::chrono::microseconds> processorTime(int pid)
{
    const std::string stat = readFile("/proc/" + std::to_string(pid) + "/stat");
    const std::size_t nameEnd = stat.rfind(')');
    if (nameEnd == std::string::npos)
        return std::nullopt;
    // Fields after the name start with the third; user and system time are fields 14 and 15.
    std::istringstream fields(stat.substr(nameEnd + 2));
    std::string skipped;
    for (int i = 0; i < 11; ++i)
        fields >> skipped;
    long user = 0;
    long system = 0;
    fields >> user >> system;
    return std::chrono::microseconds((user + system) * 1000000L / sysconf(_SC_CLK_TCK));
}

std::optional<std::size_t> residentBytes(int pid)
{
    std::istringstream fields(readFile("/proc/" + std::to_string(pid) + "/statm"));
    std::size_t total = 0;
    std::size_t resident = 0;
    if (!(fields >> total >> resident))
        return std::nullopt;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

std::optional<std::size_t> peakResidentBytes(int pid)
{
    std::istringstream status(readFile("/proc/" + std::to_string(pid) + "/status"));
    std::string word;
    std::size_t kilobytes = 0;
    while (status >> word) {
        if (word == "VmHWM:" && status >> kilobytes)
            return kilobytes * 1024;
    }
    return std::nullopt;
}

std::size_t openDescriptors(int pid)
{
    std::error_code error;
    const std::filesystem::directory_iterator files("/proc/" + std::to_string(pid) + "/fd", error);
    return static_cast<std::size_t>(std::distance(begin(files), end(files)));
}

} // namespace auburn::testing
