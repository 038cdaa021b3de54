// Stand-ins for the users' platform, its runners and the daemons under test.
#pragma once

#include "http.h"

#include <atomic>
#include <condition_variable>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

// Record writes record.txt: one line for each event, with the time since the start. Thread-safe.
class Record
{
public:
    explicit Record(const std::string &path);
    ~Record();
    Record(const Record &) = delete;
    Record &operator=(const Record &) = delete;

    void line(const std::string &text);
    Milliseconds now() const;

private:
    std::mutex mutex_;
    std::FILE *file_;
    const Clock::time_point startedAt_ = Clock::now();
};

// Serves connections at an address, each in a thread of its own, until it is destroyed.
class Acceptor
{
public:
    using Serve = std::function<void(Socket &)>;

    explicit Acceptor(Serve serve);
    ~Acceptor();
    Acceptor(const Acceptor &) = delete;
    Acceptor &operator=(const Acceptor &) = delete;

    bool open(const std::string &address);
    // Closes the listening socket and ends all connections, as the end of a process does.
    void crash();
    bool isCrashing() const { return crashing_; }

private:
    void acceptLoop(int listener);

    Serve serve_;
    std::mutex mutex_;
    std::set<Socket *> sockets_;
    std::vector<std::thread> threads_;
    int listener_ = -1;
    std::thread acceptThread_;
    std::atomic<bool> crashing_{ false };
};

// Store is the platform's log store, as far as the daemons use it.
class Store
{
public:
    explicit Store(std::string address);
    ~Store();
    Store(const Store &) = delete;
    Store &operator=(const Store &) = delete;

    bool open();
    // Appends a record; an empty value removes the key.
    void put(const std::string &topic, const std::string &key, const std::string &value);
    const std::string &address() const { return address_; }

private:
    struct Entry
    {
        std::string key;
        std::string value;
    };

    void serve(Socket &socket);
    std::string respond(const Message &request);
    std::string newest(const std::string &topic);
    std::string read(const std::string &topic, std::uint64_t from, Milliseconds wait);

    const std::string address_;
    std::mutex mutex_;
    std::condition_variable changed_;
    bool closing_ = false;
    std::map<std::string, std::vector<Entry>> topics_;
    std::unique_ptr<Acceptor> acceptor_;
};

// A request that has arrived at a runner.
struct Arrival
{
    std::string runner;
    Message request;
    // Set for the runner's own connection.
    Socket *socket = nullptr;
};

// Runner is a server of the users: it runs a request and answers it with its seal.
class Runner
{
public:
    // What the runner does with a request. Answer is the default.
    enum class Deed { Answer, Crash, CrashAfterFirstEvent };

    struct Options
    {
        std::string id;
        std::string address;
        std::string service;
        std::string zone;
        unsigned slots = 6;
        Milliseconds work{ 30 };
        // Size of the body of an answer.
        std::size_t bodyBytes = 800;
        // If not 0, an answer is a stream of so many events, one in each interval.
        unsigned events = 0;
        Milliseconds eventInterval{ 40 };
        // The runner is back after this time if it crashes.
        Milliseconds downTime{ 2000 };
        // Decides what a request that begins to run does to its runner.
        std::function<Deed(const Arrival &)> decide;
        // Called when a run has ended with an answer.
        std::function<void(const Arrival &)> finished;
    };

    Runner(Options options, Store &store);
    ~Runner();
    Runner(const Runner &) = delete;
    Runner &operator=(const Runner &) = delete;

    bool start();
    unsigned crashes() const { return crashes_; }

private:
    void serve(Socket &socket);
    // Both return false if the connection or the runner has ended.
    bool answer(Socket &socket, const std::string &head) const;
    bool streamEvents(Socket &socket, const std::string &head, Deed deed) const;
    void announce();
    void heartbeatLoop();
    void goDown();

    const Options options_;
    Store &store_;
    Acceptor acceptor_;
    std::mutex mutex_;
    std::condition_variable stop_;
    bool stopped_ = false;
    bool up_ = false;
    std::int64_t bornMs_ = 0;
    std::uint64_t sequence_ = 0;
    std::atomic<unsigned> crashes_{ 0 };
    std::atomic<unsigned> running_{ 0 };
    Clock::time_point upAt_;
    std::thread heartbeatThread_;
};

// Daemons starts the daemons under test with the command of the deploy file.
class Daemons
{
public:
    struct Options
    {
        // Root of the repository, with the result of the build under target/.
        std::string root;
        // Folder for settings files and logs.
        std::string folder;
        // The first two numbers of the loopback addresses, for example "127.31".
        std::string network;
        std::string storeAddress;
        std::vector<std::string> zones;
        unsigned count = 6;
        unsigned memoryMb = 260;
    };

    explicit Daemons(Options options);
    ~Daemons();
    Daemons(const Daemons &) = delete;
    Daemons &operator=(const Daemons &) = delete;

    bool start();
    // Waits until all daemons are ready.
    bool waitReady(Milliseconds timeout) const;
    std::string front(unsigned index) const { return ip(index) + ":8740"; }
    // True if the process of the daemon runs.
    bool isRunning(unsigned index);
    void sendSignal(unsigned index, int signal);
    // Anonymous memory of the daemon's process in KB; 0 if it has ended.
    unsigned long memoryKb(unsigned index);
    unsigned count() const { return options_.count; }

private:
    std::string ip(unsigned index) const;
    std::string settings(unsigned index) const;
    bool startOne(unsigned index);

    const Options options_;
    std::vector<int> processes_;
    std::vector<int> endings_;
};

// Returns a loopback network, such as "127.31.7", whose addresses nothing uses.
std::string freeNetwork();

// Returns a configuration for op/config. Each text is a JSON object.
std::string configuration(unsigned version, const std::vector<std::string> &routes,
                          const std::vector<std::string> &services);

} // namespace review
