#include "standins.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <iomanip>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr milliseconds kHeartbeatInterval{ 1200 };
constexpr milliseconds kIdleTimeout{ 30000 };

std::string toLowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char character) { return std::tolower(character); });
    return text;
}

sockaddr_in parseAddress(const std::string &address)
{
    sockaddr_in result{};
    const std::size_t colon = address.rfind(':');
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1)));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
    return result;
}

std::string queryValue(const std::string &target, const std::string &name)
{
    std::size_t at = target.find('?');
    while (at != std::string::npos) {
        const std::size_t begin = at + 1;
        const std::size_t end = std::min(target.find('&', begin), target.size());
        const std::string part = target.substr(begin, end - begin);
        if (part.rfind(name + "=", 0) == 0)
            return part.substr(name.size() + 1);
        at = end < target.size() ? end : std::string::npos;
    }
    return {};
}

std::string bigEndian(std::uint64_t number, int bytes)
{
    std::string result;
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
        result.push_back(static_cast<char>(number >> shift & 0xff));
    return result;
}

std::string toBase64(const std::string &text)
{
    constexpr const char *kDigits =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        std::uint32_t bits = 0;
        for (std::size_t j = 0; j < 3; ++j)
            bits = bits << 8 | (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0U);
        for (std::size_t j = 0; j < 4; ++j)
            result.push_back(i + j <= text.size() ? kDigits[bits >> (18 - 6 * j) & 63] : '=');
    }
    return result;
}

std::string httpResponse(const std::string &status, const std::string &body)
{
    return "HTTP/1.1 " + status + "\r\nConnection: close\r\nContent-Length: "
           + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

void sleepFor(milliseconds time)
{
    std::this_thread::sleep_for(time);
}

Record::Record(const std::string &path)
    : file_(path, std::ios::trunc)
{}

void Record::write(const std::string &line)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto time = std::chrono::duration<double>(Clock::now() - start_).count();
    file_ << std::fixed << std::setprecision(3) << time << " " << line << std::endl;
}

std::string Message::field(const std::string &name) const
{
    const auto found = fields.find(toLowerCase(name));
    return found == fields.end() ? std::string() : found->second;
}

int Message::status() const
{
    const std::size_t space = startLine.find(' ');
    return space == std::string::npos ? 0 : std::atoi(startLine.c_str() + space + 1);
}

std::string Message::method() const
{
    return startLine.substr(0, startLine.find(' '));
}

std::string Message::target() const
{
    const std::size_t begin = startLine.find(' ') + 1;
    return startLine.substr(begin, startLine.find(' ', begin) - begin);
}

Connection::Connection(Connection &&other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1))
    , buffer_(std::move(other.buffer_))
{}

Connection Connection::open(const std::string &address, milliseconds timeout)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in target = parseAddress(address);
    int result = ::connect(descriptor, reinterpret_cast<const sockaddr *>(&target), sizeof(target));
    if (result != 0 && errno == EINPROGRESS) {
        pollfd entry{ .fd = descriptor, .events = POLLOUT, .revents = 0 };
        int error = ETIMEDOUT;
        socklen_t size = sizeof(error);
        if (::poll(&entry, 1, static_cast<int>(timeout.count())) == 1)
            ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
        result = error == 0 ? 0 : -1;
    }
    if (result != 0) {
        ::close(descriptor);
        return Connection();
    }
    ::fcntl(descriptor, F_SETFL, ::fcntl(descriptor, F_GETFL) & ~O_NONBLOCK);
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return Connection(descriptor);
}

bool Connection::send(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t sent = ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

bool Connection::receive(Clock::time_point deadline)
{
    if (descriptor_ < 0)
        return false;
    const auto left = std::chrono::duration_cast<milliseconds>(deadline - Clock::now());
    pollfd entry{ .fd = descriptor_, .events = POLLIN, .revents = 0 };
    if (left.count() <= 0 || ::poll(&entry, 1, static_cast<int>(left.count())) != 1)
        return false;
    char bytes[16384];
    const ssize_t size = ::recv(descriptor_, bytes, sizeof(bytes), 0);
    if (size <= 0)
        return false;
    buffer_.append(bytes, static_cast<std::size_t>(size));
    return true;
}

std::optional<Message> Connection::readHead(milliseconds timeout)
{
    const auto deadline = Clock::now() + timeout;
    std::size_t end = buffer_.find("\r\n\r\n");
    while (end == std::string::npos) {
        if (!receive(deadline))
            return std::nullopt;
        end = buffer_.find("\r\n\r\n");
    }
    std::istringstream lines(buffer_.substr(0, end));
    buffer_.erase(0, end + 4);
    Message message;
    std::string line;
    while (std::getline(lines, line)) {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        const std::size_t colon = line.find(':');
        if (message.startLine.empty()) {
            message.startLine = line;
        } else if (colon != std::string::npos) {
            const std::size_t begin = line.find_first_not_of(' ', colon + 1);
            message.fields[toLowerCase(line.substr(0, colon))] = begin == std::string::npos
                                                                         ? std::string()
                                                                         : line.substr(begin);
        }
    }
    return message;
}

void Connection::readBody(Message &message, bool isRequest, milliseconds timeout)
{
    const auto deadline = Clock::now() + timeout;
    if (!message.field("Content-Length").empty()) {
        const auto size = static_cast<std::size_t>(
                std::atoll(message.field("Content-Length").c_str()));
        while (buffer_.size() < size && receive(deadline)) {
        }
        message.complete = buffer_.size() >= size;
        message.body = buffer_.substr(0, size);
        buffer_.erase(0, size);
        return;
    }
    if (message.field("Transfer-Encoding") == "chunked") {
        for (;;) {
            std::size_t end = buffer_.find("\r\n");
            while (end == std::string::npos) {
                if (!receive(deadline))
                    return;
                end = buffer_.find("\r\n");
            }
            const std::size_t size = std::strtoul(buffer_.c_str(), nullptr, 16);
            while (buffer_.size() < end + 2 + size + 2) {
                if (!receive(deadline))
                    return;
            }
            message.body.append(buffer_, end + 2, size);
            buffer_.erase(0, end + 2 + size + 2);
            if (size == 0) {
                message.complete = true;
                return;
            }
        }
    }
    if (isRequest) {
        message.complete = true;
        return;
    }
    while (receive(deadline)) {
    }
    message.body = std::exchange(buffer_, {});
    message.complete = Clock::now() < deadline;
}

std::optional<Message> Connection::readRequest(milliseconds timeout)
{
    std::optional<Message> message = readHead(timeout);
    if (message)
        readBody(*message, true, timeout);
    return message;
}

std::optional<Message> Connection::readResponse(milliseconds timeout)
{
    std::optional<Message> message = readHead(timeout);
    while (message && message->status() / 100 == 1)
        message = readHead(timeout);
    if (message)
        readBody(*message, false, timeout);
    return message;
}

bool Connection::waitForClose(milliseconds timeout)
{
    pollfd entry{ .fd = descriptor_, .events = POLLIN, .revents = 0 };
    if (::poll(&entry, 1, static_cast<int>(timeout.count())) != 1)
        return false;
    char byte = 0;
    return ::recv(descriptor_, &byte, 1, MSG_PEEK) <= 0;
}

void Connection::close()
{
    if (descriptor_ >= 0)
        ::close(std::exchange(descriptor_, -1));
}

void Connection::take(Connection other)
{
    close();
    descriptor_ = std::exchange(other.descriptor_, -1);
    buffer_ = std::move(other.buffer_);
}

void Connection::reset()
{
    const linger option{ .l_onoff = 1, .l_linger = 0 };
    ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
    close();
}

Server::Server(const std::string &ip, Handler handler, int receiveBuffer)
    : handler_(std::move(handler))
{
    descriptor_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receiveBuffer > 0)
        ::setsockopt(descriptor_, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
    sockaddr_in local = parseAddress(ip + ":0");
    socklen_t size = sizeof(local);
    if (::bind(descriptor_, reinterpret_cast<sockaddr *>(&local), size) != 0
        || ::listen(descriptor_, 1024) != 0)
        std::exit(kNotRun);
    ::getsockname(descriptor_, reinterpret_cast<sockaddr *>(&local), &size);
    address_ = ip + ":" + std::to_string(ntohs(local.sin_port));
    thread_ = std::thread([this] { run(); });
}

Server::~Server()
{
    stopping_ = true;
    ::shutdown(descriptor_, SHUT_RDWR);
    thread_.join();
    ::close(descriptor_);
    while (running_ > 0)
        sleepFor(milliseconds(5));
}

void Server::run()
{
    while (!stopping_) {
        const int descriptor = ::accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0)
            continue;
        const int on = 1;
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        ++running_;
        std::thread([this, descriptor] {
            handler_(Connection(descriptor));
            --running_;
        }).detach();
    }
}

Store::Store(const std::string &ip)
    : server_(std::make_unique<Server>(
            ip, [this](Connection connection) { serve(std::move(connection)); }))
{}

Store::~Store()
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
    server_.reset();
}

void Store::append(const std::string &topic, const std::string &key, const std::string &value)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    topics_[topic].push_back({ .key = key, .value = value });
    changed_.notify_all();
}

void Store::serve(Connection connection)
{
    const auto request = connection.readRequest(kIdleTimeout);
    if (!request || (intercept && !intercept(*request, connection)))
        return;
    connection.send(respond(*request));
}

std::string Store::respond(const Message &request)
{
    const std::string target = request.target();
    const std::string path = target.substr(0, target.find('?'));
    const std::string topic = queryValue(target, "topic");
    if (path == "/-/log-newest")
        return newest(topic);
    if (path == "/-/log-read")
        return read(topic, static_cast<std::size_t>(std::atoll(queryValue(target, "from").c_str())),
                    milliseconds(std::atoi(queryValue(target, "wait_ms").c_str())));
    if (path == "/-/log-append")
        return appendRecords(topic, target, request.body);
    return httpResponse("404 Not Found", "{}");
}

std::string Store::newest(const std::string &topic)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const std::vector<Entry> &entries = topics_[topic];
    std::map<std::string, std::size_t> offsets;
    for (std::size_t i = 0; i < entries.size(); ++i) {
        if (entries[i].value.empty())
            offsets.erase(entries[i].key);
        else
            offsets[entries[i].key] = i;
    }
    std::string items;
    for (const auto &[key, offset] : offsets)
        items += (items.empty() ? "" : ",") + std::string("{\"key\":\"") + key + "\",\"value\":\""
                 + toBase64(entries[offset].value) + "\",\"offset\":" + std::to_string(offset)
                 + "}";
    return httpResponse("200 OK", "{\"items\":[" + items + "],\"has_more\":false,\"end\":"
                                          + std::to_string(entries.size()) + "}");
}

std::string Store::read(const std::string &topic, std::size_t from, milliseconds wait)
{
    std::unique_lock<std::mutex> lock(mutex_);
    const std::vector<Entry> &entries = topics_[topic];
    changed_.wait_for(lock, wait, [&] { return stopping_ || entries.size() > from; });
    std::string body = bigEndian(entries.size(), 8) + bigEndian(0, 8);
    for (std::size_t i = from; i < entries.size(); ++i) {
        const Entry &entry = entries[i];
        body += bigEndian(1 + entry.key.size() + entry.value.size(), 4)
                + bigEndian(entry.key.size(), 1) + entry.key + entry.value;
    }
    return httpResponse("200 OK", body);
}

std::string Store::appendRecords(const std::string &topic, const std::string &target,
                                 const std::string &body)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<Entry> &entries = topics_[topic];
    const std::string condition = queryValue(target, "as_of");
    const std::size_t offset = entries.size();
    if (!condition.empty() && std::to_string(offset) != condition)
        return httpResponse("412 Precondition Failed", "{\"end\":" + std::to_string(offset) + "}");
    std::size_t at = 0;
    while (at + 5 <= body.size()) {
        std::size_t size = 0;
        for (std::size_t i = 0; i < 4; ++i)
            size = size << 8 | static_cast<unsigned char>(body[at + i]);
        const auto keySize = static_cast<std::size_t>(static_cast<unsigned char>(body[at + 4]));
        entries.push_back({ .key = body.substr(at + 5, keySize),
                            .value = body.substr(at + 5 + keySize, size - 1 - keySize) });
        at += 4 + size;
    }
    changed_.notify_all();
    return httpResponse("200 OK", "{\"offset\":" + std::to_string(offset)
                                          + ",\"end\":" + std::to_string(entries.size()) + "}");
}

BackendServer::BackendServer(Store &store, Options options, Handler handler)
    : store_(store)
    , options_(std::move(options))
    , handler_(std::move(handler))
{
    bornUnixMs_ = std::chrono::duration_cast<milliseconds>(
                          std::chrono::system_clock::now().time_since_epoch())
                          .count();
    server_ = std::make_unique<Server>(
            options_.ip, [this](Connection connection) { serve(std::move(connection)); },
            options_.receiveBuffer);
    publish();
    heartbeat_ = std::thread([this] {
        auto next = Clock::now() + kHeartbeatInterval;
        while (!stopping_) {
            sleepFor(milliseconds(20));
            if (Clock::now() < next)
                continue;
            next += kHeartbeatInterval;
            publish();
        }
    });
}

BackendServer::~BackendServer()
{
    stopping_ = true;
    heartbeat_.join();
    server_.reset();
}

void BackendServer::setState(const std::string &state)
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        state_ = state;
    }
    if (state.empty())
        store_.append("keyed.servers", options_.id, {});
    else
        publish();
}

void BackendServer::publish()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (state_.empty())
        return;
    std::ostringstream entry;
    entry << R"({"service":")" << options_.service << R"(","addr":")" << server_->address()
          << R"(","zone":")" << options_.zone << R"(","version":"v1","slots":)" << options_.slots
          << R"(,"state":")" << state_ << R"(","cold_left_ms":0,"born":)" << bornUnixMs_
          << R"(,"seq":)" << ++sequence_ << "}";
    store_.append("keyed.servers", options_.id, entry.str());
}

void BackendServer::serve(Connection connection)
{
    while (auto request = connection.readHead(kIdleTimeout)) {
        const std::string expected = request->field("Expect-Instance");
        if (!expected.empty() && expected != options_.id) {
            connection.readBody(*request, true, kIdleTimeout);
            connection.send("HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        if (!handler_(*request, connection) || !connection.isOpen())
            return;
    }
}

std::string sealedResponse(const Message &request, const std::string &body,
                           const std::string &status)
{
    return "HTTP/1.1 " + status + "\r\nAttempt-Id: " + request.field("Attempt-Id")
           + "\r\nResponse-Seal: seal-" + std::to_string(body.size())
           + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

Daemon::Daemon(DaemonOptions options, std::string folder)
    : options_(std::move(options))
    , folder_(std::move(folder))
{
    std::filesystem::create_directories(folder_);
    std::string seeds;
    for (const std::string &seed : options_.seeds)
        seeds += (seeds.empty() ? "\"" : ",\"") + seed + "\"";
    std::ofstream file(folder_ + "/boot.toml");
    file << "node = \"" << options_.name << "\"\nrole = \"router\"\nclass = \"edge\"\n"
         << "serves = [\"edge\",\"control\"]\nip = \"" << options_.ip << "\"\nzone = \""
         << options_.zone << "\"\nregion = \"r\"\ninternal_ports = [7200,7215]\nseeds = [" << seeds
         << "]\nbootstrap = " << (options_.bootstrap ? "true" : "false")
         << "\nheartbeat_ms = 1200\n[zones]\na = \"r\"\nb = \"r\"\n[listen]\nfront = \"" << caller()
         << "\"\nready = \"" << ready() << "\"\ncontrol = \"" << options_.ip
         << ":8748\"\n[limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = "
         << options_.memoryMegabytes << "\nmax_fds = 4100\n"
         << "link_mbps = 1000.0\ndisk_mb = 0\n[tolerate]\nmachines = 1\nzones = 0\nregions = 0\n"
         << "[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\nstable_window_ms = 4000\n"
         << "ack_ms = 5000\ncatch_up_s = 4\ndrain_ms = 2500\ngrace_s = " << options_.graceSeconds
         << "\nlost_slack_ms = 200\nconfig_apply_ms = 2500\nrollback_slack_ms = 250\n"
         << "outer_ms = 6000\nstrict_revoke = false\nrevoke_ms = 5000\n"
         << "retry_budget_ratio = 0.2\nbudget_window_s = 10\nbudget_extra = 52\nrecover_s = 12\n"
         << "pass_ms = 300\nreuse_window_s = 6.5\n[platform]\naddr = \"" << options_.storeAddress
         << "\"\nform = \"log\"\nwrites_per_s = 400\nreads_per_s = 2000\nparts = 12\n"
         << "append_ms = 2.0\npart_mb_per_s = 20.0\nread_mb_per_s = 80.0\nrecord_bytes = 262144\n"
         << "call_bytes = 2097152\nkeep_s = 300\npart_mb = 200\nttl_min_ms = 1000\n"
         << options_.extraSettings;
}

Daemon::~Daemon()
{
    signal(SIGCONT);
    signal(SIGKILL);
    waitForExit(milliseconds(5000));
}

void Daemon::start()
{
    const pid_t parent = ::getpid();
    pid_ = ::fork();
    if (pid_ != 0)
        return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent)
        ::_exit(kNotRun);
    const int output = ::open((folder_ + "/log.txt").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    ::setenv("AUBURNWORKS_BOOT", (folder_ + "/boot.toml").c_str(), 1);
    ::execl("target/bin/auburnd", "target/bin/auburnd", "--metrics-port", "9464", nullptr);
    ::_exit(kNotRun);
}

void Daemon::signal(int number)
{
    if (pid_ > 0)
        ::kill(pid_, number);
}

bool Daemon::waitForExit(milliseconds timeout)
{
    const auto deadline = Clock::now() + timeout;
    while (pid_ > 0) {
        if (::waitpid(pid_, nullptr, WNOHANG) == pid_) {
            pid_ = -1;
            break;
        }
        if (Clock::now() >= deadline)
            return false;
        sleepFor(milliseconds(10));
    }
    return true;
}

bool Daemon::waitUntilReady(milliseconds timeout)
{
    const auto deadline = Clock::now() + timeout;
    while (Clock::now() < deadline) {
        Connection connection = Connection::open(ready(), milliseconds(200));
        if (connection.isOpen()
            && connection.send(
                    "GET /-/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")) {
            const auto response = connection.readResponse(milliseconds(500));
            if (response && response->status() == 200)
                return true;
        }
        sleepFor(milliseconds(50));
    }
    return false;
}

std::string Daemon::log() const
{
    std::ifstream file(folder_ + "/log.txt");
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

Scenario::Scenario(const std::string &recordPath)
    : record_(recordPath)
    , network_(static_cast<int>(::getpid()))
{
    std::signal(SIGPIPE, SIG_IGN);
    char name[] = "/tmp/auburn-review-XXXXXX";
    if (!::mkdtemp(name))
        std::exit(kNotRun);
    folder_ = name;
    const char *trouble = std::getenv("TROUBLE");
    trouble_ = !trouble || std::string(trouble) != "0";
    record_.write(trouble_ ? "with the disruption" : "without the disruption");
}

Scenario::~Scenario()
{
    std::error_code ignored;
    if (!std::getenv("KEEP_LOGS"))
        std::filesystem::remove_all(folder_, ignored);
}

std::string Scenario::ip(int number) const
{
    return "127." + std::to_string(20 + network_ / 250 % 200) + "."
           + std::to_string(1 + network_ % 250) + "." + std::to_string(number);
}

} // namespace review
