// Stand-ins for the users' platform and its clients, for the cases of the second review: the
// metadata store, backend servers, a client and the daemons as real processes.
//
// Everything uses blocking sockets on loopback addresses and one thread for each connection.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

// Appends lines to record.txt, each with the time since the start.
class Record
{
public:
    explicit Record(const std::string &path);
    void write(const std::string &line);

private:
    std::mutex mutex_;
    std::ofstream file_;
    Clock::time_point start_ = Clock::now();
};

// An HTTP message. The names of its fields are in lower case.
struct Message
{
    std::string startLine;
    std::map<std::string, std::string> fields;
    std::string body;
    // True if the body is complete, by its length, its chunks or, without both, the close of the
    // connection.
    bool complete = false;

    std::string field(const std::string &name) const;
    int status() const;
    std::string method() const;
    std::string target() const;
};

// A connected socket, closed on destruction.
class Connection
{
public:
    explicit Connection(int descriptor = -1)
        : descriptor_(descriptor)
    {}
    ~Connection() { close(); }
    Connection(Connection &&other) noexcept;
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;
    Connection &operator=(Connection &&) = delete;

    // Connects to IP:PORT. The result is not open if that failed.
    static Connection open(const std::string &address, milliseconds timeout = milliseconds(1000));

    bool isOpen() const { return descriptor_ >= 0; }
    // Returns false if the connection failed.
    bool send(std::string_view bytes);
    // Reads the head of a message, up to the empty line. Returns nullopt at the end of the input,
    // on an error, and after the timeout.
    std::optional<Message> readHead(milliseconds timeout);
    // Reads the body that belongs to the head. isRequest: no length means no body.
    void readBody(Message &message, bool isRequest, milliseconds timeout);
    std::optional<Message> readRequest(milliseconds timeout);
    std::optional<Message> readResponse(milliseconds timeout);
    // Bytes that were received and not read as part of a message.
    const std::string &buffered() const { return buffer_; }
    // True if the peer has closed the connection, or does so within the timeout.
    bool waitForClose(milliseconds timeout);
    void close();
    // Closes this connection and takes over the other one.
    void take(Connection other);
    // Closes the connection with a reset.
    void reset();
    int descriptor() const { return descriptor_; }

private:
    // Appends to the buffer. Returns false at the end of the input, on an error or at the deadline.
    bool receive(Clock::time_point deadline);

    int descriptor_ = -1;
    std::string buffer_;
};

// Accepts connections and passes each to the handler, on a thread of its own.
class Server
{
public:
    using Handler = std::function<void(Connection)>;

    // receiveBuffer: size of the receive buffer in bytes; 0 for the default.
    Server(const std::string &ip, Handler handler, int receiveBuffer = 0);
    // Waits for the handlers to return. Their peers must have closed their connections by then.
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    const std::string &address() const { return address_; }

private:
    void run();

    Handler handler_;
    std::string address_;
    int descriptor_ = -1;
    std::atomic<bool> stopping_{ false };
    // Number of handlers that run.
    std::atomic<int> running_{ 0 };
    std::thread thread_;
};

// The platform's metadata store: keyed topics with one partition.
class Store
{
public:
    explicit Store(const std::string &ip);
    ~Store();
    Store(const Store &) = delete;
    Store &operator=(const Store &) = delete;

    const std::string &address() const { return server_->address(); }
    // Appends a record; an empty value removes the key.
    void append(const std::string &topic, const std::string &key, const std::string &value);
    // Called before a call is handled, with the peer's connection; returns false if it has handled
    // the call itself. May be empty.
    std::function<bool(const Message &request, Connection &connection)> intercept;

private:
    struct Entry
    {
        std::string key;
        std::string value;
    };

    void serve(Connection connection);
    std::string respond(const Message &request);
    std::string newest(const std::string &topic);
    std::string read(const std::string &topic, std::size_t from, milliseconds wait);
    std::string appendRecords(const std::string &topic, const std::string &target,
                              const std::string &body);

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::vector<Entry>> topics_;
    bool stopping_ = false;
    std::unique_ptr<Server> server_;
};

// One server of a service. It registers itself in the store and renews its entry.
class BackendServer
{
public:
    // Handles one request, whose head has been read, and returns true if the connection can carry
    // another one. The body is read by the handler.
    using Handler = std::function<bool(Message &request, Connection &connection)>;

    struct Options
    {
        std::string id;
        std::string service;
        std::string ip;
        std::string zone = "a";
        int slots = 64;
        int receiveBuffer = 0;
    };

    BackendServer(Store &store, Options options, Handler handler);
    ~BackendServer();
    BackendServer(const BackendServer &) = delete;
    BackendServer &operator=(const BackendServer &) = delete;

    const std::string &id() const { return options_.id; }
    const std::string &address() const { return server_->address(); }
    // State in the registry: "ready" or "draining". An empty state removes the entry.
    void setState(const std::string &state);

private:
    void publish();
    void serve(Connection connection);

    Store &store_;
    Options options_;
    Handler handler_;
    std::mutex mutex_;
    std::string state_ = "ready";
    std::int64_t bornUnixMs_ = 0;
    int sequence_ = 0;
    std::atomic<bool> stopping_{ false };
    std::unique_ptr<Server> server_;
    std::thread heartbeat_;
};

// A whole, sealed response to the request.
std::string sealedResponse(const Message &request, const std::string &body,
                           const std::string &status = "200 OK");

// Settings of a daemon that differ between cases.
struct DaemonOptions
{
    std::string name;
    std::string ip;
    std::string zone = "a";
    std::string storeAddress;
    std::vector<std::string> seeds;
    bool bootstrap = true;
    int graceSeconds = 8;
    std::size_t memoryMegabytes = 110;
    // Appended to the settings file.
    std::string extraSettings = {};
};

// A daemon as the deploy file starts it. Its folder has the settings file and the log.
class Daemon
{
public:
    Daemon(DaemonOptions options, std::string folder);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    void start();
    void signal(int number);
    // True if the process has ended; waits for at most the timeout.
    bool waitForExit(milliseconds timeout);
    bool waitUntilReady(milliseconds timeout);
    std::string caller() const { return options_.ip + ":8740"; }
    std::string ready() const { return options_.ip + ":8749"; }
    const std::string &name() const { return options_.name; }
    pid_t pid() const { return pid_; }
    std::string log() const;

private:
    DaemonOptions options_;
    std::string folder_;
    pid_t pid_ = -1;
};

// A scenario: a temporary folder, the record and addresses that no other run uses.
class Scenario
{
public:
    explicit Scenario(const std::string &recordPath);
    ~Scenario();
    Scenario(const Scenario &) = delete;
    Scenario &operator=(const Scenario &) = delete;

    // A loopback address of this run.
    std::string ip(int number) const;
    const std::string &folder() const { return folder_; }
    Record &record() { return record_; }
    // True unless the variable TROUBLE is 0.
    bool hasTrouble() const { return trouble_; }

private:
    Record record_;
    std::string folder_;
    int network_ = 0;
    bool trouble_ = true;
};

// Exit codes of a scenario.
constexpr int kRuleHeld = 0;
constexpr int kRuleBroken = 1;
constexpr int kNotRun = 2;

void sleepFor(milliseconds time);

} // namespace review
