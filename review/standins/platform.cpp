#include "platform.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <random>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr Milliseconds kHeartbeatInterval{ 1200 };

std::string toBase64(std::string_view bytes)
{
    constexpr char kDigits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k)
            group = group << 8
                    | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            text += i + k <= bytes.size() ? kDigits[group >> (18 - 6 * k) & 63] : '=';
    }
    return text;
}

std::string bigEndian(std::uint64_t number, int bytes)
{
    std::string text;
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
        text += static_cast<char>(number >> shift & 0xff);
    return text;
}

std::string answer(int status, const std::string &type, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Answer\r\nContent-Type: " + type
           + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

Record::Record(const std::string &path)
    : file_(std::fopen(path.c_str(), "we"))
{}

Record::~Record()
{
    if (file_)
        std::fclose(file_);
}

Milliseconds Record::now() const
{
    return std::chrono::duration_cast<Milliseconds>(Clock::now() - startedAt_);
}

void Record::line(const std::string &text)
{
    const std::lock_guard lock(mutex_);
    if (!file_)
        return;
    std::fprintf(file_, "%8.3f %s\n", static_cast<double>(now().count()) / 1000, text.c_str());
    std::fflush(file_);
}

Acceptor::Acceptor(Serve serve)
    : serve_(std::move(serve))
{}

Acceptor::~Acceptor()
{
    crash();
}

bool Acceptor::open(const std::string &address)
{
    const int listener = listenAt(address);
    if (listener < 0)
        return false;
    crashing_ = false;
    listener_ = listener;
    acceptThread_ = std::thread([this, listener] { acceptLoop(listener); });
    return true;
}

void Acceptor::acceptLoop(int listener)
{
    while (!crashing_) {
        const int descriptor = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0)
            return;
        const std::lock_guard lock(mutex_);
        threads_.emplace_back([this, descriptor] {
            Socket socket(descriptor);
            {
                const std::lock_guard guard(mutex_);
                sockets_.insert(&socket);
            }
            if (!crashing_)
                serve_(socket);
            const std::lock_guard guard(mutex_);
            sockets_.erase(&socket);
            if (crashing_)
                socket.reset();
        });
    }
}

// The serving threads wake up and end their connections.
void Acceptor::crash()
{
    crashing_ = true;
    if (listener_ >= 0) {
        ::shutdown(listener_, SHUT_RDWR);
        close(std::exchange(listener_, -1));
    }
    if (acceptThread_.joinable())
        acceptThread_.join();
    std::vector<std::thread> threads;
    {
        const std::lock_guard lock(mutex_);
        for (const Socket *socket : sockets_)
            socket->shutdown();
        threads.swap(threads_);
    }
    for (std::thread &thread : threads)
        thread.join();
}

Store::Store(std::string address)
    : address_(std::move(address))
{}

Store::~Store()
{
    {
        const std::lock_guard lock(mutex_);
        closing_ = true;
        changed_.notify_all();
    }
    acceptor_.reset();
}

bool Store::open()
{
    acceptor_ = std::make_unique<Acceptor>([this](Socket &socket) { serve(socket); });
    return acceptor_->open(address_);
}

void Store::put(const std::string &topic, const std::string &key, const std::string &value)
{
    const std::lock_guard lock(mutex_);
    topics_[topic].push_back({ .key = key, .value = value });
    changed_.notify_all();
}

void Store::serve(Socket &socket)
{
    Message request;
    while (socket.readRequest(request, std::chrono::seconds(60))) {
        if (!socket.send(respond(request)))
            return;
    }
}

std::string Store::respond(const Message &request)
{
    const std::string target = request.target();
    const std::string path = target.substr(0, target.find('?'));
    const std::string topic = queryValue(target, "topic");
    if (path == "/-/log-newest")
        return answer(200, "application/json", newest(topic));
    if (path == "/-/log-read") {
        const auto from = std::strtoull(queryValue(target, "from").c_str(), nullptr, 10);
        const Milliseconds wait(std::atoi(queryValue(target, "wait_ms").c_str()));
        return answer(200, "application/octet-stream", read(topic, from, wait));
    }
    if (path != "/-/log-append")
        return answer(404, "application/json", "{}");
    const std::string &bytes = request.body;
    const std::size_t keySize = bytes.size() > 5 ? static_cast<unsigned char>(bytes[4]) : 0;
    put(topic, bytes.substr(std::min<std::size_t>(5, bytes.size()), keySize),
        bytes.substr(std::min(bytes.size(), 5 + keySize)));
    return answer(200, "application/json", "{\"offset\":0,\"end\":1}");
}

std::string Store::newest(const std::string &topic)
{
    const std::lock_guard lock(mutex_);
    const std::vector<Entry> &entries = topics_[topic];
    std::map<std::string, std::size_t> last;
    for (std::size_t i = 0; i < entries.size(); ++i)
        last[entries[i].key] = i;
    std::string items;
    for (const auto &[key, offset] : last) {
        if (entries[offset].value.empty())
            continue;
        items += (items.empty() ? "" : ",");
        items += "{\"key\":\"" + key + "\",\"value\":\"" + toBase64(entries[offset].value)
                 + "\",\"offset\":" + std::to_string(offset) + "}";
    }
    return "{\"items\":[" + items + "],\"has_more\":false,\"end\":" + std::to_string(entries.size())
           + "}";
}

std::string Store::read(const std::string &topic, std::uint64_t from, Milliseconds wait)
{
    std::unique_lock lock(mutex_);
    const std::vector<Entry> &entries = topics_[topic];
    changed_.wait_for(lock, wait, [&] { return closing_ || entries.size() > from; });
    std::string body = bigEndian(entries.size(), 8) + bigEndian(0, 8);
    for (std::size_t i = from; i < entries.size(); ++i) {
        const Entry &entry = entries[i];
        body += bigEndian(1 + entry.key.size() + entry.value.size(), 4);
        body += static_cast<char>(entry.key.size());
        body += entry.key + entry.value;
    }
    return body;
}

Runner::Runner(Options options, Store &store)
    : options_(std::move(options))
    , store_(store)
    , acceptor_([this](Socket &socket) { serve(socket); })
{}

Runner::~Runner()
{
    {
        const std::lock_guard lock(mutex_);
        stopped_ = true;
        stop_.notify_all();
    }
    if (heartbeatThread_.joinable())
        heartbeatThread_.join();
    acceptor_.crash();
}

bool Runner::start()
{
    if (!acceptor_.open(options_.address))
        return false;
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    bornMs_ = std::chrono::duration_cast<Milliseconds>(sinceEpoch).count();
    up_ = true;
    announce();
    heartbeatThread_ = std::thread([this] { heartbeatLoop(); });
    return true;
}

void Runner::announce()
{
    store_.put("keyed.servers", options_.id,
               "{\"service\":\"" + options_.service + "\",\"addr\":\"" + options_.address
                       + "\",\"zone\":\"" + options_.zone
                       + "\",\"version\":\"v1\",\"slots\":" + std::to_string(options_.slots)
                       + ",\"state\":\"ready\",\"cold_left_ms\":0,\"born\":"
                       + std::to_string(bornMs_) + ",\"seq\":" + std::to_string(++sequence_) + "}");
}

// Sends heartbeats, and brings the runner back after a crash: as a new process under its id.
void Runner::heartbeatLoop()
{
    std::unique_lock lock(mutex_);
    while (!stopped_) {
        stop_.wait_for(lock, kHeartbeatInterval, [this] { return stopped_ || !up_; });
        if (stopped_)
            return;
        if (!up_) {
            lock.unlock();
            acceptor_.crash();
            std::this_thread::sleep_until(upAt_);
            const bool open = acceptor_.open(options_.address);
            lock.lock();
            if (!open)
                continue;
            const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
            bornMs_ = std::chrono::duration_cast<Milliseconds>(sinceEpoch).count();
            sequence_ = 0;
            up_ = true;
        }
        if (up_)
            announce();
    }
}

void Runner::goDown()
{
    const std::lock_guard lock(mutex_);
    if (!up_)
        return;
    up_ = false;
    ++crashes_;
    upAt_ = Clock::now() + options_.downTime;
    stop_.notify_all();
}

void Runner::serve(Socket &socket)
{
    Arrival arrival{ .runner = options_.id, .request = {}, .socket = &socket };
    while (socket.readRequest(arrival.request, std::chrono::seconds(20))) {
        const std::string expected = arrival.request.field("Expect-Instance");
        if (!expected.empty() && expected != options_.id) {
            socket.send("HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        ++running_;
        const Deed deed = options_.decide ? options_.decide(arrival) : Deed::Answer;
        if (deed == Deed::Crash) {
            --running_;
            goDown();
            return;
        }
        std::this_thread::sleep_for(options_.work);
        if (acceptor_.isCrashing()) {
            --running_;
            return;
        }
        const std::string load = std::to_string(running_) + ",0," + std::to_string(options_.slots);
        std::string head = "HTTP/1.1 200 OK\r\nAttempt-Id: ";
        head.append(arrival.request.field("Attempt-Id")).append("\r\nResponse-Seal: seal-");
        head.append(options_.id).append("\r\nRunner-Load: ").append(load).append("\r\n");
        if (options_.finished && options_.events == 0)
            options_.finished(arrival);
        const bool alive = options_.events > 0 ? streamEvents(socket, head, deed)
                                               : answer(socket, head);
        --running_;
        if (deed == Deed::CrashAfterFirstEvent)
            goDown();
        if (!alive)
            return;
    }
}

bool Runner::answer(Socket &socket, const std::string &head) const
{
    const std::string body(options_.bodyBytes, 'b');
    return socket.send(head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

bool Runner::streamEvents(Socket &socket, const std::string &head, Deed deed) const
{
    std::string text = head + "Content-Type: text/event-stream\r\n"
                       + "Transfer-Encoding: chunked\r\n\r\n";
    for (unsigned i = 1; i <= options_.events; ++i) {
        const std::string event = "id: " + std::to_string(i) + "\ndata: piece\n\n";
        char size[16];
        std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
        text.append(size).append(event).append("\r\n");
        if (acceptor_.isCrashing() || !socket.send(text))
            return false;
        if (deed == Deed::CrashAfterFirstEvent)
            return false;
        text.clear();
        std::this_thread::sleep_for(options_.eventInterval);
    }
    return socket.send("0\r\n\r\n");
}

Daemons::Daemons(Options options)
    : options_(std::move(options))
    , processes_(options_.count, -1)
    , endings_(options_.count, -1)
{}

Daemons::~Daemons()
{
    for (const int process : processes_) {
        if (process > 0)
            kill(process, SIGKILL);
    }
    for (const int process : processes_) {
        if (process > 0)
            waitpid(process, nullptr, 0);
    }
}

std::string Daemons::ip(unsigned index) const
{
    return options_.network + "." + std::to_string(index + 1);
}

std::string Daemons::settings(unsigned index) const
{
    const std::string zone = options_.zones[index % options_.zones.size()];
    std::string text = "node = \"edge-" + std::to_string(index + 1) + "\"\nrole = \"router\"\n"
                       + "class = \"edge\"\nserves = [\"edge\",\"control\"]\nip = \"" + ip(index)
                       + "\"\nzone = \"" + zone + "\"\nregion = \"region-" + zone
                       + "\"\ninternal_ports = [7200,7215]\nbootstrap = true\n"
                       + "discovery = \"platform\"\nentry = \"virtual_ip\"\nheartbeat_ms = 1200\n";
    std::string seeds;
    for (unsigned i = 0; i < std::min(3U, options_.count); ++i)
        seeds += (i > 0 ? "," : "") + std::string("\"") + ip(i) + ":8748\"";
    text += "seeds = [" + seeds + "]\n[zones]\n";
    for (const std::string &name : options_.zones)
        text.append(name).append(" = \"region-").append(name).append("\"\n");
    text += "[listen]\nfront = \"" + front(index) + "\"\nready = \"" + ip(index)
            + ":8749\"\ncontrol = \"" + ip(index) + ":8748\"\n";
    text += "[limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = "
            + std::to_string(options_.memoryMb)
            + "\nmax_fds = 4200\n"
              "link_mbps = 1000.0\ndisk_mb = 0\n[tolerate]\nmachines = 1\nzones = 0\nregions = 0\n"
              "[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\nstable_window_ms = 4000\n"
              "ack_ms = 5000\ncatch_up_s = 4\ndrain_ms = 2500\ngrace_s = 8\nlost_slack_ms = 200\n"
              "config_apply_ms = 2500\nrollback_slack_ms = 250\nouter_ms = 6000\n"
              "strict_revoke = false\nrevoke_ms = 5000\nretry_budget_ratio = 0.2\n"
              "budget_window_s = 10\nbudget_extra = 52\nrecover_s = 12\npass_ms = 300\n"
              "reuse_window_s = 8.1\n[platform]\naddr = \""
            + options_.storeAddress
            + "\"\nform = \"log\"\nwrites_per_s = 400\nreads_per_s = 2000\nparts = 12\n"
              "append_ms = 2.0\nkeep_s = 300\npart_mb = 200\nttl_min_ms = 1000\n";
    return text;
}

bool Daemons::startOne(unsigned index)
{
    const std::string name = options_.folder + "/daemon-" + std::to_string(index + 1);
    std::ofstream(name + ".toml") << settings(index);
    const int process = fork();
    if (process != 0) {
        processes_[index] = process;
        return process > 0;
    }
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = open((name + ".log").c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
    if (log < 0 || dup2(log, 1) < 0 || dup2(log, 2) < 0 || chdir(options_.root.c_str()) != 0)
        _exit(127);
    setenv("AUBURNWORKS_BOOT", (name + ".toml").c_str(), 1);
    execl("target/bin/auburnd", "target/bin/auburnd", "--metrics-port", "9464", nullptr);
    _exit(127);
}

bool Daemons::start()
{
    bool started = true;
    for (unsigned i = 0; i < options_.count; ++i)
        started = startOne(i) && started;
    return started;
}

bool Daemons::waitReady(Milliseconds timeout) const
{
    const auto deadline = Clock::now() + timeout;
    unsigned ready = 0;
    while (ready < options_.count && Clock::now() < deadline) {
        Socket socket(Socket::connectTo(ip(ready) + ":8749", Milliseconds(200)));
        Message response;
        const bool isReady = socket.isOpen()
                             && socket.send("GET /-/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
                             && socket.readResponse(response, Milliseconds(500))
                             && response.status() == 200;
        if (isReady)
            ++ready;
        else
            std::this_thread::sleep_for(Milliseconds(50));
    }
    return ready == options_.count;
}

bool Daemons::isRunning(unsigned index)
{
    int &process = processes_[index];
    if (process <= 0)
        return false;
    int status = 0;
    if (waitpid(process, &status, WNOHANG) != process)
        return true;
    process = -1;
    endings_[index] = status;
    return false;
}

void Daemons::sendSignal(unsigned index, int signal)
{
    if (processes_[index] > 0)
        kill(processes_[index], signal);
}

unsigned long Daemons::memoryKb(unsigned index)
{
    if (!isRunning(index))
        return 0;
    std::ifstream status("/proc/" + std::to_string(processes_[index]) + "/status");
    constexpr std::string_view kName = "RssAnon:";
    std::string line;
    while (std::getline(status, line)) {
        if (line.rfind(kName, 0) == 0)
            return std::strtoul(line.c_str() + kName.size(), nullptr, 10);
    }
    return 0;
}

std::string freeNetwork()
{
    std::mt19937 random(std::random_device{}());
    std::uniform_int_distribution<int> number(1, 250);
    while (true) {
        std::string network = "127." + std::to_string(number(random)) + "."
                              + std::to_string(number(random));
        const int descriptor = listenAt(network + ".1:8740");
        if (descriptor < 0)
            continue;
        close(descriptor);
        return network;
    }
}

std::string configuration(unsigned version, const std::vector<std::string> &routes,
                          const std::vector<std::string> &services)
{
    const auto join = [](const std::vector<std::string> &parts) {
        std::string text;
        for (const std::string &part : parts)
            text += (text.empty() ? "" : ",") + part;
        return "[" + text + "]";
    };
    return "{\"version\":" + std::to_string(version) + ",\"routes\":" + join(routes)
           + ",\"services\":" + join(services)
           + ",\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
             "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
             "\"tenants\":[{\"name\":\"huka270\",\"keys\":[\"xd9dnn2ctnfzs989anu6\"],"
             "\"priority\":1}]}";
}

} // namespace review
