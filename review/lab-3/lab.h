// Stand-ins and helpers for the scripts of the third review: the platform's store, runners, clients
// and daemons as separate processes. They follow the users' pages and nothing of the project's
// code.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace lab {

using Clock = std::chrono::steady_clock;

// Exit codes of a script.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

// Milliseconds since the start of the script.
long long nowMs();
long long unixMs();
void sleepMs(long long ms);
// False with TROUBLE=0: the script does the same without the disruption.
bool hasTrouble();

// Writes the record of the script, record.txt in the folder of the case.
void openRecord(const std::string &path);
void note(const std::string &line);

// Ends the script with the code 2.
[[noreturn]] void giveUp(const std::string &why);

// The first three numbers of the loopback addresses of this run.
std::string network();

struct Request
{
    std::string method;
    std::string target;
    // Names in lower case.
    std::multimap<std::string, std::string> fields;
    std::string body;

    std::string field(const std::string &name) const;
    std::string query(const std::string &name) const;
    std::string path() const { return target.substr(0, target.find('?')); }
};

// One accepted connection of an HttpServer.
class Connection
{
public:
    explicit Connection(int fd)
        : fd_(fd)
    {}
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    // Returns false at the end of the connection.
    bool read(Request &request);
    bool send(const std::string &text);
    // True if the peer has closed the connection.
    bool isClosed() const;
    // Makes all reads and writes fail.
    void cut() const;

private:
    bool fill();

    const int fd_;
    std::string input_;
};

// An HTTP/1.1 server with one thread for each connection.
class HttpServer
{
public:
    // Returns false if the connection shall be closed.
    using Handler = std::function<bool(const Request &, Connection &)>;

    HttpServer(std::string ip, int port, Handler handler);
    ~HttpServer();

    void open();
    // Closes the port and all connections, as the end of the process would.
    void close();
    std::string address() const;

private:
    void accept(int listener);

    const std::string ip_;
    int port_;
    const Handler handler_;
    int listener_ = -1;
    std::thread thread_;
    std::mutex mutex_;
    std::condition_variable ended_;
    std::set<Connection *> connections_;
    unsigned threads_ = 0;
};

std::string answer(int status, const std::string &body, const std::string &fields = "");
std::string chunk(const std::string &text);

// The platform's store in the form of a log.
class Store
{
public:
    Store();

    std::string address() const { return server_.address(); }
    void append(const std::string &topic, const std::string &key, const std::string &value);
    // The store is away for a moment and comes back from a copy of `ageMs` ago.
    void restore(long long ageMs, long long awayMs);
    unsigned records(const std::string &topic);

private:
    struct Record
    {
        std::string bytes;
        long long at = 0;
    };
    using Topic = std::vector<Record>;

    bool handle(const Request &request, Connection &connection);
    std::string appendRecords(const Request &request);
    std::string read(const Request &request);
    std::string newest(const Request &request);
    std::string answerWithEra(int status, const std::string &body) const;

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, Topic> topics_;
    std::uint64_t era_ = 1;
    std::atomic<bool> away_{ false };
    HttpServer server_;
};

// A runner of an engine, or of a plain service.
class Runner
{
public:
    struct Options
    {
        std::string id;
        std::string service;
        std::string zone;
        std::string version = "v1";
        int port = 0;
        unsigned events = 40;
        long long firstMs = 60;
        long long gapMs = 100;
        // It was started so long ago.
        long long ageMs = 60000;
        // A request whose prompt has this part, but not as its last one, crashes the runner.
        std::string crashingPart;
    };

    Runner(Store &store, Options options);
    ~Runner();

    std::string id();
    // The runner falls silent for this time and then starts anew.
    void goDark(long long ms);
    void leave();
    // From now on the answers of this share of the plain requests that it runs are lost.
    void loseAnswers(unsigned percent) { lostPercent_ = percent; }
    unsigned runs() const { return runs_; }
    std::vector<long long> crashTimes();
    // The times at which requests that crash it have reached the runner.
    std::vector<long long> crashingArrivals();

private:
    bool handle(const Request &request, Connection &connection);
    bool stream(const Request &request, Connection &connection, const std::string &head);
    void beat();
    void crash();
    bool isDark() const { return darkUntil_ > 0; }
    // Waits while the runner is silent; returns false if the connection has ended.
    bool waitForLight(const Connection &connection) const;
    void restart();
    void supervise();

    Store &store_;
    const Options options_;
    std::mutex mutex_;
    std::string id_;
    long long born_ = 0;
    unsigned sequence_ = 0;
    unsigned starts_ = 0;
    std::atomic<long long> darkUntil_{ 0 };
    std::atomic<bool> left_{ false };
    std::atomic<bool> ended_{ false };
    std::atomic<bool> crashing_{ false };
    // The entry of the present start has been removed.
    std::atomic<bool> isRemoved_{ false };
    std::atomic<unsigned> runs_{ 0 };
    std::atomic<unsigned> lostPercent_{ 0 };
    std::vector<long long> crashTimes_;
    std::vector<long long> crashingArrivals_;
    HttpServer server_;
    std::thread beats_;
};

// A daemon of the project, started with the command of the deploy file.
class Daemon
{
public:
    // Tables that the settings have besides those of every deployment.
    Daemon(const Store &store, unsigned index, unsigned memoryMb = 260,
           std::string furtherTables = {});
    ~Daemon();

    void start(bool isFirstStart);
    void signal(int number) const;
    // Kills the process and waits for its end.
    void kill();
    // True if the process has not ended.
    bool isRunning();
    std::string front() const { return ip_ + ":8740"; }
    std::string name() const { return "edge-" + std::to_string(index_); }
    std::string ip() const { return ip_; }
    // Resident memory in MB, now and at its peak.
    double memoryMb() const;

private:
    const Store &store_;
    const unsigned index_;
    const unsigned memoryMb_;
    const std::string furtherTables_;
    const std::string ip_;
    pid_t process_ = -1;
};

// What a client has got for one attempt.
struct Result
{
    // 0 without an answer.
    int status = 0;
    std::string body;
    // The events of a stream: id and data.
    std::vector<std::pair<std::string, std::string>> events;
    double retryAfterS = 0;
    // The answer has come to its end.
    bool isComplete = false;
};

struct Attempt
{
    std::string front;
    std::string method = "POST";
    std::string path;
    std::string id;
    // Each ends with "\r\n".
    std::string fields = {};
    std::string body = {};
    long long deadlineMs = 15000;
    // The client leaves after a gap of this length: the longest of two seconds, four times the
    // objective and eight times the pause.
    long long patienceMs = 2400;
};

// Sends one attempt on a new connection and waits for the end of its answer.
Result send(const Attempt &attempt);
std::string newAttemptId();

// What one client has seen of a stream over all its attempts. The data of each event names the
// software version of its runner.
struct StreamSeen
{
    std::string firstId;
    std::vector<std::string> versions;
    bool isComplete = false;

    void add(const Result &result, const std::string &attempt);
};

// The configuration: a resumable streaming route /chat/ of "engines" and an unsafe and a safe
// route, /order/ and /read/, of "desk".
std::string configuration(unsigned version);
constexpr const char *kHost = "h.example";
constexpr const char *kKey = "key1";

// Waits until each daemon says that it is ready.
void waitUntilReady(const std::vector<std::unique_ptr<Daemon>> &daemons);

} // namespace lab
