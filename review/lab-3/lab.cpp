#include "lab.h"

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <random>
#include <sstream>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

namespace lab {

namespace {

constexpr long long kBeatMs = 1200;
constexpr int kFrontPort = 8740;
constexpr double kMemoryTokens = 525395;

const Clock::time_point kStart = Clock::now();

std::mutex recordMutex;
std::FILE *recordFile = nullptr;

std::string temporaryFolder()
{
    static const std::string folder = [] {
        std::string name = "/tmp/review-3-" + std::to_string(getpid());
        mkdir(name.c_str(), 0700);
        return name;
    }();
    return folder;
}

sockaddr_in endpointOf(const std::string &ip, int port)
{
    sockaddr_in endpoint{};
    endpoint.sin_family = AF_INET;
    endpoint.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &endpoint.sin_addr);
    return endpoint;
}

void setNoDelay(int fd)
{
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return text;
}

std::string trimmed(const std::string &text)
{
    const std::size_t first = text.find_first_not_of(" \t\r\n");
    if (first == std::string::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
}

std::string base64(const std::string &bytes)
{
    static const char letters[] =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j)
            group = group << 8
                    | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        for (std::size_t j = 0; j < 4; ++j)
            text += i + j <= bytes.size() ? letters[group >> (18 - 6 * j) & 63] : '=';
    }
    return text;
}

double promptTokens(const std::string &prompt)
{
    double sum = 0;
    std::istringstream parts(prompt);
    std::string part;
    while (std::getline(parts, part, ',')) {
        const std::size_t colon = part.find(':');
        sum += colon == std::string::npos ? 0 : std::atof(part.c_str() + colon + 1);
    }
    return sum;
}

std::string bigEndian(std::uint64_t number, int bytes)
{
    std::string text;
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
        text += static_cast<char>(number >> shift & 0xff);
    return text;
}

std::uint64_t readBigEndian(const std::string &text, std::size_t at, std::size_t bytes)
{
    std::uint64_t number = 0;
    for (std::size_t i = 0; i < bytes; ++i)
        number = number << 8 | static_cast<unsigned char>(text[at + i]);
    return number;
}

// Parses the head of a message into its fields; the first line is left out.
std::multimap<std::string, std::string> parseFields(const std::string &head)
{
    std::multimap<std::string, std::string> fields;
    std::istringstream lines(head);
    std::string line;
    std::getline(lines, line);
    while (std::getline(lines, line)) {
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos)
            fields.emplace(lowerCase(trimmed(line.substr(0, colon))),
                           trimmed(line.substr(colon + 1)));
    }
    return fields;
}

std::string fieldOf(const std::multimap<std::string, std::string> &fields, const std::string &name)
{
    const auto found = fields.find(lowerCase(name));
    return found == fields.end() ? std::string() : found->second;
}

} // namespace

long long nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - kStart).count();
}

long long unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
}

void sleepMs(long long ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(std::max(0LL, ms)));
}

bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

void openRecord(const std::string &path)
{
    ::signal(SIGPIPE, SIG_IGN);
    recordFile = std::fopen(path.c_str(), "w");
    if (!recordFile)
        giveUp("cannot write " + path);
}

void note(const std::string &line)
{
    const std::lock_guard lock(recordMutex);
    if (!recordFile)
        return;
    std::fprintf(recordFile, "%8.3f  %s\n", static_cast<double>(nowMs()) / 1000, line.c_str());
    std::fflush(recordFile);
}

void giveUp(const std::string &why)
{
    note("could not run: " + why);
    std::fprintf(stderr, "could not run: %s\n", why.c_str());
    // The daemons end with this process.
    std::_Exit(kCouldNotRun);
}

std::string network()
{
    static const std::string prefix = "127." + std::to_string(100 + getpid() / 250 % 100) + "."
                                      + std::to_string(1 + getpid() % 250) + ".";
    return prefix;
}

std::string Request::field(const std::string &name) const
{
    return fieldOf(fields, name);
}

std::string Request::query(const std::string &name) const
{
    const std::size_t question = target.find('?');
    if (question == std::string::npos)
        return {};
    std::istringstream parts(target.substr(question + 1));
    std::string part;
    while (std::getline(parts, part, '&')) {
        if (part.starts_with(name + "="))
            return part.substr(name.size() + 1);
    }
    return {};
}

Connection::~Connection()
{
    ::close(fd_);
}

bool Connection::fill()
{
    char buffer[16384];
    const ssize_t count = recv(fd_, buffer, sizeof(buffer), 0);
    if (count <= 0)
        return false;
    input_.append(buffer, static_cast<std::size_t>(count));
    return true;
}

bool Connection::read(Request &request)
{
    std::size_t end = input_.find("\r\n\r\n");
    while (end == std::string::npos) {
        if (!fill())
            return false;
        end = input_.find("\r\n\r\n");
    }
    const std::string head = input_.substr(0, end + 2);
    input_.erase(0, end + 4);
    std::istringstream line(head);
    line >> request.method >> request.target;
    request.fields = parseFields(head);
    const std::string length = request.field("Content-Length");
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    while (input_.size() < size) {
        if (!fill())
            return false;
    }
    request.body = input_.substr(0, size);
    input_.erase(0, size);
    return true;
}

bool Connection::send(const std::string &text)
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const ssize_t count = ::send(fd_, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

bool Connection::isClosed() const
{
    char byte = 0;
    const ssize_t count = recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void Connection::cut() const
{
    const linger reset{ .l_onoff = 1, .l_linger = 0 };
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    shutdown(fd_, SHUT_RDWR);
}

HttpServer::HttpServer(std::string ip, int port, Handler handler)
    : ip_(std::move(ip))
    , port_(port)
    , handler_(std::move(handler))
{}

HttpServer::~HttpServer()
{
    close();
}

void HttpServer::open()
{
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in endpoint = endpointOf(ip_, port_);
    for (int tries = 0;; ++tries) {
        if (bind(listener_, reinterpret_cast<sockaddr *>(&endpoint), sizeof(endpoint)) == 0)
            break;
        if (tries == 50)
            giveUp("no port at " + ip_);
        sleepMs(20);
    }
    listen(listener_, 1024);
    socklen_t size = sizeof(endpoint);
    getsockname(listener_, reinterpret_cast<sockaddr *>(&endpoint), &size);
    port_ = ntohs(endpoint.sin_port);
    thread_ = std::thread([this, listener = listener_] { accept(listener); });
}

std::string HttpServer::address() const
{
    return ip_ + ":" + std::to_string(port_);
}

void HttpServer::accept(int listener)
{
    for (;;) {
        const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
            if (errno == EINTR || errno == ECONNABORTED)
                continue;
            return;
        }
        setNoDelay(fd);
        auto connection = std::make_shared<Connection>(fd);
        {
            const std::lock_guard lock(mutex_);
            connections_.insert(connection.get());
            ++threads_;
        }
        std::thread([this, connection]() mutable {
            Request request;
            while (connection->read(request)) {
                if (!handler_(request, *connection))
                    break;
                request = {};
            }
            const std::lock_guard lock(mutex_);
            connections_.erase(connection.get());
            connection.reset();
            --threads_;
            ended_.notify_all();
        }).detach();
    }
}

void HttpServer::close()
{
    if (listener_ < 0)
        return;
    shutdown(listener_, SHUT_RDWR);
    thread_.join();
    ::close(listener_);
    listener_ = -1;
    std::unique_lock lock(mutex_);
    while (threads_ > 0) {
        for (const Connection *connection : connections_)
            connection->cut();
        ended_.wait_for(lock, std::chrono::milliseconds(20));
    }
}

std::string answer(int status, const std::string &body, const std::string &fields)
{
    return "HTTP/1.1 " + std::to_string(status) + " -\r\n" + fields
           + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string chunk(const std::string &text)
{
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
    return size + text + "\r\n";
}

Store::Store()
    : server_(network() + "250", 0, [this](const Request &request, Connection &connection) {
        return handle(request, connection);
    })
{
    server_.open();
}

void Store::append(const std::string &topic, const std::string &key, const std::string &value)
{
    const std::lock_guard lock(mutex_);
    topics_[topic].push_back({ .bytes = bigEndian(key.size(), 1) + key + value, .at = nowMs() });
    changed_.notify_all();
}

unsigned Store::records(const std::string &topic)
{
    const std::lock_guard lock(mutex_);
    return static_cast<unsigned>(topics_[topic].size());
}

void Store::restore(long long ageMs, long long awayMs)
{
    const long long copiedAt = nowMs() - ageMs;
    away_ = true;
    server_.close();
    sleepMs(awayMs);
    {
        const std::lock_guard lock(mutex_);
        for (auto &[name, topic] : topics_)
            std::erase_if(topic, [&](const Record &record) { return record.at > copiedAt; });
        ++era_;
    }
    away_ = false;
    server_.open();
    note("store: back from a copy that is " + std::to_string(ageMs) + " ms old, era "
         + std::to_string(era_));
}

std::string Store::answerWithEra(int status, const std::string &body) const
{
    return answer(status, body, "Store-Era: " + std::to_string(era_) + "\r\n");
}

bool Store::handle(const Request &request, Connection &connection)
{
    sleepMs(2);
    std::string text;
    if (request.path() == "/-/log-append")
        text = appendRecords(request);
    else if (request.path() == "/-/log-read")
        text = read(request);
    else if (request.path() == "/-/log-newest")
        text = newest(request);
    else
        text = answer(404, "");
    return !away_ && connection.send(text);
}

std::string Store::appendRecords(const Request &request)
{
    const std::lock_guard lock(mutex_);
    if (away_)
        return answerWithEra(503, "");
    Topic &topic = topics_[request.query("topic")];
    const std::string expected = request.query("as_of");
    if (!expected.empty() && expected != std::to_string(topic.size()))
        return answerWithEra(412, "{\"end\":" + std::to_string(topic.size()) + "}");
    const std::size_t offset = topic.size();
    for (std::size_t at = 0; at + 4 <= request.body.size();) {
        const std::size_t size = readBigEndian(request.body, at, 4);
        topic.push_back({ .bytes = request.body.substr(at + 4, size), .at = nowMs() });
        at += 4 + size;
    }
    changed_.notify_all();
    return answerWithEra(200, "{\"offset\":" + std::to_string(offset)
                                      + ",\"end\":" + std::to_string(topic.size()) + "}");
}

std::string Store::read(const Request &request)
{
    const std::size_t from = std::stoul("0" + request.query("from"));
    const long long waitMs = std::stoll("0" + request.query("wait_ms"));
    const long long until = nowMs() + waitMs;
    std::unique_lock lock(mutex_);
    const Topic &topic = topics_[request.query("topic")];
    while (!away_ && from == topic.size() && nowMs() < until)
        changed_.wait_for(lock, std::chrono::milliseconds(50));
    if (from > topic.size())
        return answerWithEra(410, "{\"first\":0}");
    std::string body = bigEndian(topic.size(), 8) + bigEndian(0, 8);
    for (std::size_t i = from; i < topic.size(); ++i)
        body += bigEndian(topic[i].bytes.size(), 4) + topic[i].bytes;
    return answerWithEra(200, body);
}

std::string Store::newest(const Request &request)
{
    const std::lock_guard lock(mutex_);
    const Topic &topic = topics_[request.query("topic")];
    std::map<std::string, std::pair<std::size_t, std::string>> items;
    for (std::size_t i = 0; i < topic.size(); ++i) {
        const std::string &bytes = topic[i].bytes;
        const auto keySize = static_cast<std::size_t>(static_cast<unsigned char>(bytes[0]));
        items[bytes.substr(1, keySize)] = { i, bytes.substr(1 + keySize) };
    }
    std::string text;
    for (const auto &[key, item] : items) {
        if (!item.second.empty())
            text += (text.empty() ? "" : ",") + std::string("{\"key\":\"") + key + "\",\"value\":\""
                    + base64(item.second) + "\",\"offset\":" + std::to_string(item.first) + "}";
    }
    return answerWithEra(200, "{\"items\":[" + text + "],\"has_more\":false,\"end\":"
                                      + std::to_string(topic.size()) + "}");
}

Runner::Runner(Store &store, Options options)
    : store_(store)
    , options_(std::move(options))
    , id_(options_.id)
    , born_(unixMs() - options_.ageMs)
    , server_(network() + "200", options_.port,
              [this](const Request &request, Connection &connection) {
                  return handle(request, connection);
              })
{
    server_.open();
    beat();
    beats_ = std::thread([this] { supervise(); });
}

Runner::~Runner()
{
    ended_ = true;
    beats_.join();
    server_.close();
}

std::string Runner::id()
{
    const std::lock_guard lock(mutex_);
    return id_;
}

void Runner::beat()
{
    const std::lock_guard lock(mutex_);
    store_.append(
            "keyed.servers", id_,
            "{\"service\":\"" + options_.service + "\",\"addr\":\"" + server_.address()
                    + "\",\"zone\":\"" + options_.zone + "\",\"version\":\"" + options_.version
                    + "\",\"slots\":128,\"state\":\"ready\",\"cold_left_ms\":0,\"born\":"
                    + std::to_string(born_) + ",\"seq\":" + std::to_string(++sequence_) + "}");
}

// Writes the entry regularly, and starts the runner again after a crash or a silence.
void Runner::supervise()
{
    constexpr long long kRestartMs = 2000;
    constexpr long long kExpiryMs = 3 * kBeatMs;
    long long nextBeat = nowMs() + kBeatMs;
    long long silentSince = 0;
    while (!ended_) {
        sleepMs(10);
        if (crashing_.exchange(false)) {
            crashing_ = true;
            server_.close();
            crashing_ = false;
            const long long crashedAt = nowMs();
            while (!ended_ && nowMs() < crashedAt + kRestartMs)
                sleepMs(10);
            restart();
            nextBeat = nowMs() + kBeatMs;
        }
        if (isDark()) {
            if (silentSince == 0)
                silentSince = nowMs();
            const bool isExpired = nowMs() >= silentSince + kExpiryMs;
            if (isExpired && !isRemoved_.exchange(true))
                store_.append("keyed.servers", id(), "");
            if (nowMs() < darkUntil_)
                continue;
            server_.close();
            darkUntil_ = 0;
            silentSince = 0;
            restart();
            nextBeat = nowMs() + kBeatMs;
        }
        if (nowMs() >= nextBeat && !left_) {
            beat();
            nextBeat += kBeatMs;
        }
    }
}

void Runner::restart()
{
    if (ended_)
        return;
    const std::string before = id();
    {
        const std::lock_guard lock(mutex_);
        id_ = options_.id + "-" + std::to_string(++starts_);
        born_ = unixMs();
        sequence_ = 0;
    }
    server_.open();
    if (!isRemoved_.exchange(false))
        store_.append("keyed.servers", before, "");
    note("runner " + options_.id + " is back as " + id());
    beat();
}

void Runner::goDark(long long ms)
{
    note("runner " + id() + " goes dark");
    darkUntil_ = nowMs() + ms;
}

bool Runner::waitForLight(const Connection &connection) const
{
    while (isDark()) {
        if (connection.isClosed())
            return false;
        sleepMs(10);
    }
    return true;
}

void Runner::leave()
{
    left_ = true;
    store_.append("keyed.servers", id(), "");
}

void Runner::crash()
{
    const std::lock_guard lock(mutex_);
    // Several requests at once end the runner once.
    if (!crashing_.exchange(true))
        crashTimes_.push_back(nowMs());
}

std::vector<long long> Runner::crashingArrivals()
{
    const std::lock_guard lock(mutex_);
    return crashingArrivals_;
}

std::vector<long long> Runner::crashTimes()
{
    const std::lock_guard lock(mutex_);
    return crashTimes_;
}

bool Runner::handle(const Request &request, Connection &connection)
{
    if (!waitForLight(connection))
        return false;
    if (request.path() == "/healthz")
        return connection.send(answer(200, "", "Runner-Id: " + id() + "\r\n"));
    if (request.path() == "/-/report")
        return connection.send(answer(
                200, "{\"stage\":\"mixed\",\"models\":[{\"name\":\"m\",\"version\":1,"
                     "\"adapters\":[]}],\"busy\":false,\"seq\":1,\"waiting\":0,\"running\":0,"
                     "\"kv_used\":0,\"kv_total\":500000,\"handles\":0}"));
    if (request.path().starts_with("/-/"))
        return connection.send(answer(404, ""));
    const std::string expected = request.field("Expect-Instance");
    if (!expected.empty() && expected != id())
        return connection.send(answer(421, "", "Runner-Id: " + id() + "\r\n"));
    const std::string attempt = request.field("Attempt-Id");
    // A request that is larger than the memory is rejected as if the runner were full.
    if (promptTokens(request.field("Prompt-Prefix")) > kMemoryTokens)
        return connection.send(
                answer(503, "", "Attempt-Id: " + attempt + "\r\nNot-Executed: 1\r\n"));
    note("runner " + id() + " (" + options_.version + ") gets " + attempt
         + (request.field("Last-Event-Id").empty()
                    ? std::string()
                    : ", Last-Event-Id " + request.field("Last-Event-Id")));
    ++runs_;
    if (!options_.crashingPart.empty()
        && request.field("Prompt-Prefix").find(options_.crashingPart + ":") != std::string::npos) {
        {
            const std::lock_guard lock(mutex_);
            crashingArrivals_.push_back(nowMs());
        }
        sleepMs(options_.firstMs);
        note("runner " + id() + " crashes at " + attempt);
        crash();
        return false;
    }
    const std::string head = "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nResponse-Seal: s-"
                             + id() + "\r\n";
    if (request.path().starts_with("/chat/"))
        return stream(request, connection, head);
    sleepMs(30);
    if (runs_ * 37 % 100 < lostPercent_) {
        note("runner " + id() + " has run " + attempt + ", its answer is lost");
        while (!connection.isClosed())
            sleepMs(10);
        return false;
    }
    return connection.send(head + "Content-Length: 2\r\n\r\nok");
}

bool Runner::stream(const Request &request, Connection &connection, const std::string &head)
{
    sleepMs(options_.firstMs);
    if (!waitForLight(connection))
        return false;
    const std::string last = request.field("Last-Event-Id");
    unsigned number = last.empty() ? 0 : static_cast<unsigned>(std::stoul(last));
    if (connection.isClosed())
        return false;
    if (!connection.send(head
                         + "Content-Type: text/event-stream\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n"))
        return false;
    while (number < options_.events) {
        ++number;
        const bool isSent = connection.send(
                chunk("id: " + std::to_string(number) + "\ndata: " + options_.version + "\n\n"));
        if (!isSent || connection.isClosed())
            return false;
        if (number < options_.events)
            sleepMs(options_.gapMs);
        if (!waitForLight(connection))
            return false;
    }
    return connection.send("0\r\n\r\n");
}

Daemon::Daemon(const Store &store, unsigned index, unsigned memoryMb, std::string furtherTables)
    : store_(store)
    , index_(index)
    , memoryMb_(memoryMb)
    , furtherTables_(std::move(furtherTables))
    , ip_(network() + std::to_string(10 + index))
{}

Daemon::~Daemon()
{
    kill();
}

void Daemon::start(bool isFirstStart)
{
    const std::string path = temporaryFolder() + "/" + name() + ".toml";
    const std::string zone = std::string("zone-") + "abc"[index_ % 3];
    std::ofstream file(path);
    file << "node = \"" << name() << "\"\nrole = \"router\"\nclass = \"edge\"\n"
         << "serves = [\"edge\",\"control\"]\nip = \"" << ip_ << "\"\nzone = \"" << zone
         << "\"\nregion = \"r\"\ninternal_ports = [7200,7215]\nseeds = [\"" << network()
         << "10:8748\",\"" << network()
         << "11:8748\"]\nbootstrap = " << (isFirstStart ? "true" : "false")
         << "\nfault_counted = false\ndiscovery = \"platform\"\nentry = \"virtual_ip\"\n"
         << "heartbeat_ms = 1200\n[zones]\nzone-a = \"r\"\nzone-b = \"r\"\nzone-c = \"r\"\n"
         << "[listen]\nfront = \"" << front() << "\"\nready = \"" << ip_ << ":8749\"\ncontrol = \""
         << ip_ << ":8748\"\n[limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = " << memoryMb_
         << "\nmax_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 0\n"
         << "[tolerate]\nmachines = 1\nzones = 0\nregions = 0\n"
         << "[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\nstable_window_ms = 4000\n"
         << "ack_ms = 5000\ncatch_up_s = 4\ndrain_ms = 2500\ngrace_s = 8\nlost_slack_ms = 200\n"
         << "config_apply_ms = 2500\nrollback_slack_ms = 250\nouter_ms = 6000\n"
         << "strict_revoke = false\nrevoke_ms = 5000\nretry_budget_ratio = 0.2\n"
         << "budget_window_s = 10\nbudget_extra = 52\nrecover_s = 12\npass_ms = 300\n"
         << "lease_ms = 3000\nthaw_ms = 300\nreport_window_s = 5\n"
         << "[platform]\naddr = \"" << store_.address() << "\"\nform = \"log\"\n"
         << "writes_per_s = 400\nreads_per_s = 2000\nparts = 12\nappend_ms = 2.0\n"
         << "part_mb_per_s = 20.0\nread_mb_per_s = 80.0\nrecord_bytes = 262144\n"
         << "call_bytes = 2097152\nkeep_s = 300\npart_mb = 200\nttl_min_ms = 1000\n"
         << furtherTables_;
    file.close();
    const std::string log = temporaryFolder() + "/" + name() + ".log";
    const std::string setting = "AUBURNWORKS_BOOT=" + path;
    const pid_t parent = getpid();
    process_ = fork();
    if (process_ == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent)
            _exit(1);
        ::signal(SIGPIPE, SIG_DFL);
        const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        // The command of deploy/system.toml, in the root of the repository.
        const char *program = "target/bin/auburnd";
        char *const arguments[] = { const_cast<char *>(program),
                                    const_cast<char *>("--metrics-port"),
                                    const_cast<char *>("9464"), nullptr };
        char *const environment[] = { const_cast<char *>(setting.c_str()),
                                      const_cast<char *>("PATH=/usr/bin:/bin"), nullptr };
        execve(program, arguments, environment);
        _exit(127);
    }
    note(name() + " starts, process " + std::to_string(process_));
}

void Daemon::signal(int number) const
{
    if (process_ > 0)
        ::kill(process_, number);
}

void Daemon::kill()
{
    if (process_ <= 0)
        return;
    ::kill(process_, SIGKILL);
    waitpid(process_, nullptr, 0);
    process_ = -1;
}

bool Daemon::isRunning()
{
    if (process_ <= 0)
        return false;
    int status = 0;
    if (waitpid(process_, &status, WNOHANG) != process_)
        return true;
    note(name() + " has ended, status " + std::to_string(status));
    process_ = -1;
    return false;
}

double Daemon::memoryMb() const
{
    std::ifstream file("/proc/" + std::to_string(process_) + "/status");
    std::string line;
    while (std::getline(file, line)) {
        if (line.starts_with("VmRSS:"))
            return std::stod(line.substr(6)) / 1024;
    }
    return 0;
}

std::string newAttemptId()
{
    static std::mutex mutex;
    static std::mt19937_64 random{ std::random_device{}() };
    const std::lock_guard lock(mutex);
    char text[24];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(random()));
    return text;
}

namespace {

// The answer of one attempt as it arrives.
class AnswerReader
{
public:
    explicit AnswerReader(Result &result)
        : result_(result)
    {}

    // Returns true once the answer has ended.
    bool add(const char *data, std::size_t size)
    {
        input_.append(data, size);
        if (!hasHead_ && !readHead())
            return false;
        if (!isChunked_) {
            result_.body = input_;
            result_.isComplete = input_.size() >= length_;
            return result_.isComplete;
        }
        return readChunks();
    }

private:
    bool readHead()
    {
        const std::size_t end = input_.find("\r\n\r\n");
        if (end == std::string::npos)
            return false;
        const std::string head = input_.substr(0, end + 2);
        input_.erase(0, end + 4);
        const auto fields = parseFields(head);
        result_.status = std::atoi(head.substr(9, 3).c_str());
        result_.retryAfterS = std::atof(fieldOf(fields, "Retry-After").c_str());
        isChunked_ = fieldOf(fields, "Transfer-Encoding") == "chunked";
        length_ = std::stoul("0" + fieldOf(fields, "Content-Length"));
        hasHead_ = true;
        return true;
    }

    bool readChunks()
    {
        for (;;) {
            const std::size_t end = input_.find("\r\n");
            if (end == std::string::npos)
                return false;
            const std::size_t size = std::stoul("0" + input_.substr(0, end), nullptr, 16);
            if (input_.size() < end + 2 + size + 2)
                return false;
            result_.body += input_.substr(end + 2, size);
            input_.erase(0, end + 2 + size + 2);
            readEvents();
            if (size == 0) {
                result_.isComplete = true;
                return true;
            }
        }
    }

    void readEvents()
    {
        for (;;) {
            const std::size_t end = result_.body.find("\n\n", read_);
            if (end == std::string::npos)
                return;
            std::istringstream lines(result_.body.substr(read_, end - read_));
            read_ = end + 2;
            std::string line;
            std::string id;
            std::string data;
            while (std::getline(lines, line)) {
                if (line.starts_with("id: "))
                    id = line.substr(4);
                if (line.starts_with("data: "))
                    data = line.substr(6);
            }
            if (!id.empty())
                result_.events.emplace_back(id, data);
        }
    }

    Result &result_;
    std::string input_;
    std::size_t read_ = 0;
    std::size_t length_ = 0;
    bool hasHead_ = false;
    bool isChunked_ = false;
};

} // namespace

Result send(const Attempt &attempt)
{
    Result result;
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const std::string ip = attempt.front.substr(0, attempt.front.find(':'));
    const sockaddr_in endpoint = endpointOf(ip, kFrontPort);
    if (connect(fd, reinterpret_cast<const sockaddr *>(&endpoint), sizeof(endpoint)) != 0) {
        close(fd);
        return result;
    }
    setNoDelay(fd);
    const std::string text = attempt.method + " " + attempt.path + " HTTP/1.1\r\nHost: " + kHost
                             + "\r\nAttempt-Id: " + attempt.id
                             + "\r\nDeadline-Ms: " + std::to_string(attempt.deadlineMs)
                             + "\r\nApi-Key: " + kKey + "\r\n" + attempt.fields + "Content-Length: "
                             + std::to_string(attempt.body.size()) + "\r\n\r\n" + attempt.body;
    std::size_t sent = 0;
    while (sent < text.size()) {
        const ssize_t count = ::send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            break;
        sent += static_cast<std::size_t>(count);
    }
    const long long deadline = nowMs() + attempt.deadlineMs;
    AnswerReader reader(result);
    char buffer[16384];
    for (;;) {
        pollfd readable{ .fd = fd, .events = POLLIN, .revents = 0 };
        const long long wait = std::min(attempt.patienceMs, deadline - nowMs());
        if (wait <= 0 || poll(&readable, 1, static_cast<int>(wait)) <= 0)
            break;
        const ssize_t count = recv(fd, buffer, sizeof(buffer), 0);
        if (count <= 0 || reader.add(buffer, static_cast<std::size_t>(count)))
            break;
    }
    close(fd);
    return result;
}

void StreamSeen::add(const Result &result, const std::string &attempt)
{
    std::string seen;
    for (const auto &[id, data] : result.events) {
        if (!versions.empty() && versions.back() == data)
            continue;
        versions.push_back(data);
        seen.append(" ").append(data).append(" from event ").append(id);
    }
    isComplete = result.isComplete && result.status == 200;
    note("client: " + attempt + " ends, status " + std::to_string(result.status) + ", "
         + std::to_string(result.events.size()) + " events"
         + (result.isComplete ? ", complete" : ", broken off") + seen);
}

std::string configuration(unsigned version)
{
    const auto route = [](const std::string &name, const std::string &kind,
                          const std::string &rest) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + kHost + "\",\"path_prefix\":\"/" + name
               + "/\",\"kind\":\"" + kind + "\",\"priority\":1,\"public\":false," + rest + "}";
    };
    return "{\"version\":" + std::to_string(version) + ",\"routes\":["
           + route("chat", "streaming",
                   "\"timeout_ms\":15000,\"slo_ms\":600,\"service\":\"engines\","
                   "\"max_attempts\":2,\"sticky\":true,\"resumable\":true,\"gap_target_ms\":300")
           + ","
           + route("order", "unsafe",
                   "\"timeout_ms\":2500,\"slo_ms\":250,\"service\":\"desk\",\"max_attempts\":1")
           + ","
           + route("read", "safe",
                   "\"timeout_ms\":2500,\"slo_ms\":250,\"service\":\"desk\",\"max_attempts\":2")
           + "],\"services\":[{\"name\":\"engines\",\"health_path\":\"/healthz\","
             "\"max_conns\":610,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":128,"
             "\"kv_capacity\":525395,\"kv_token_bytes\":35136,\"link_mbps\":370000.0,"
             "\"stride\":3,\"models\":[{\"name\":\"m\"}]}},"
             "{\"name\":\"desk\",\"health_path\":\"/healthz\",\"max_conns\":96,"
             "\"protocol\":\"h1\",\"tls\":false}],"
             "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
             "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
             "\"tenants\":[{\"name\":\"org\",\"keys\":[\"key1\"],\"priority\":1}]}";
}

void waitUntilReady(const std::vector<std::unique_ptr<Daemon>> &daemons)
{
    constexpr long long kLimitMs = 20000;
    const long long limit = nowMs() + kLimitMs;
    for (const auto &daemon : daemons) {
        while (send({ .front = daemon->front(),
                      .method = "GET",
                      .path = "/read/ready",
                      .id = newAttemptId(),
                      .deadlineMs = 1000 })
                       .status
               != 200) {
            if (nowMs() > limit || !daemon->isRunning())
                giveUp(daemon->name() + " is not ready");
            sleepMs(100);
        }
    }
    note("all daemons serve");
}

} // namespace lab
