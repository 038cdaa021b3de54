// ChildProcess: a program started by a test or an experiment, with its output in a file.
//
// The child gets SIGKILL when the starting process dies, so an aborted test leaves nothing behind.
#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace auburn::testing {

class ChildProcess
{
public:
    struct Options
    {
        std::string name;
        // File name of a program in the folder of the running test program.
        std::string program;
        std::vector<std::string> arguments;
        std::map<std::string, std::string> environment;
        // Folder for NAME.log, which gets standard output and standard error.
        std::string logFolder;
        // False closes the sockets and files of the starting process in the child. Otherwise a
        // connection that the starting process closes stays open until the child ends.
        bool inheritsDescriptors = true;
    };

    // Null with lastError() set if the program cannot be started. Call it from the main thread
    // only, since the kernel sends the death signal when the starting thread ends.
    static std::unique_ptr<ChildProcess> start(Options options);
    ~ChildProcess();

    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    const std::string &name() const { return options_.name; }
    int pid() const;
    bool running() const;
    // Sends a signal, for example SIGSTOP.
    void sendSignal(int signal);
    // The exit code; 128 + number for a signal; empty if the process still runs after the timeout.
    std::optional<int> waitForExit(std::chrono::milliseconds timeout);
    // The rest of the first count lines of output that start with prefix; fewer on timeout or exit.
    std::vector<std::string> waitForLines(const std::string &prefix, std::size_t count,
                                          std::chrono::milliseconds timeout) const;
    // Everything written so far.
    std::string output() const;

private:
    struct Impl;
    explicit ChildProcess(Options options);

    Options options_;
    std::string logPath_;
    std::unique_ptr<Impl> impl_;
};

// Exit code and output of a program that has ended; the code is -1 if it did not end.
struct ProgramResult
{
    int exitCode = -1;
    std::string output;
};

// Processor time used by a process so far, user and system; empty if it is gone.
std::optional<std::chrono::microseconds> processorTime(int pid);

// Resident memory of a process in bytes; empty if it is gone.
std::optional<std::size_t> residentBytes(int pid);

// The largest resident memory of a process so far, in bytes; empty if it is gone.
std::optional<std::size_t> peakResidentBytes(int pid);

// Number of open file descriptors of a process; 0 if it is gone.
std::size_t openDescriptors(int pid);

} // namespace auburn::testing
