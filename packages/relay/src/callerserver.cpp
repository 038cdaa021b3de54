#include "auburn/relay/callerserver.h"

#include "callerconnection.h"
#include "workercontext.h"

#include "auburn/core/lasterror.h"
#include "auburn/core/log.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <ctime>
#include <pthread.h>
#include <thread>
#include <utility>

namespace auburn {

namespace asio = boost::asio;
using boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

namespace {

// How often a drain looks for its end, and how long destruction waits for answers of the sources; a
// claim source answers within 2 s even when the log is unavailable.
constexpr std::chrono::milliseconds kDrainCheck{ 20 };
constexpr std::chrono::milliseconds kStopTime{ 5000 };
// After an error such as "too many open files" accepting pauses, or the loop would spin.
constexpr std::chrono::milliseconds kAcceptPause{ 50 };

// One thread with its context and connections.
struct Worker
{
    explicit Worker(RelayShared &shared)
        : context(shared)
        , work(asio::make_work_guard(context.io))
    {}

    void add(tcp::socket socket)
    {
        auto connection = std::make_shared<CallerConnection>(context, std::move(socket));
        if (connections.size() >= sweepSize) {
            std::erase_if(connections, [](const auto &entry) { return entry.expired(); });
            sweepSize = 2 * connections.size() + 64;
        }
        connections.push_back(connection);
        connection->start();
    }

    template<typename Action>
    void forEachConnection(Action action)
    {
        for (const auto &entry : connections) {
            if (const auto connection = entry.lock())
                action(*connection);
        }
    }

    WorkerContext context;
    asio::executor_work_guard<asio::io_context::executor_type> work;
    std::vector<std::weak_ptr<CallerConnection>> connections;
    // Number of entries at which expired ones are removed.
    std::size_t sweepSize = 64;
    std::thread thread;
};

class CallerServerImpl final : public CallerServer
{
public:
    explicit CallerServerImpl(Options options)
        : shared_(std::move(options))
    {
        const unsigned threads = std::max(1U, shared_.options.threads);
        for (unsigned i = 0; i < threads; ++i)
            workers_.push_back(std::make_unique<Worker>(shared_));
        acceptor_ = std::make_unique<tcp::acceptor>(workers_.front()->context.io);
        timer_ = std::make_unique<asio::steady_timer>(workers_.front()->context.io);
    }

    ~CallerServerImpl() override
    {
        if (!running_)
            return;
        post(0, [this] { closeAcceptor(); });
        for (std::size_t i = 0; i < workers_.size(); ++i) {
            post(i, [this, i] {
                workers_[i]->forEachConnection([](CallerConnection &entry) { entry.abort(); });
                workers_[i]->context.backendServers.shutDown();
            });
        }
        // Answers of the sources that arrive now are still needed to finish their claims.
        const auto limit = std::chrono::steady_clock::now() + kStopTime;
        while (shared_.inFlight > 0 && std::chrono::steady_clock::now() < limit)
            std::this_thread::sleep_for(kDrainCheck);
        for (const auto &worker : workers_)
            worker->context.io.stop();
        for (const auto &worker : workers_)
            worker->thread.join();
        timer_.reset();
        acceptor_.reset();
    }

    bool listen()
    {
        ErrorCode error;
        const auto ip = asio::ip::make_address(shared_.options.address, error);
        const tcp::endpoint endpoint(ip, shared_.options.port);
        if (!error)
            acceptor_->open(endpoint.protocol(), error);
        if (!error)
            acceptor_->set_option(tcp::acceptor::reuse_address(true), error);
        if (!error)
            acceptor_->bind(endpoint, error);
        if (!error)
            acceptor_->listen(asio::socket_base::max_listen_connections, error);
        if (!error)
            port_ = acceptor_->local_endpoint(error).port();
        if (error)
            setLastError("cannot listen on " + shared_.options.address + ":"
                         + std::to_string(shared_.options.port) + ": " + error.message());
        return !error;
    }

    void run()
    {
        running_ = true;
        accept();
        for (const auto &worker : workers_)
            worker->thread = std::thread([&io = worker->context.io] { io.run(); });
    }

    std::uint16_t port() const override { return port_; }

    std::size_t inFlight() const override { return shared_.inFlight; }

    void drain(std::function<void()> drained) override
    {
        post(0, [this, drained = std::move(drained)]() mutable { beginDrain(std::move(drained)); });
    }

    std::vector<std::chrono::microseconds> cpuTimes() const override
    {
        std::vector<std::chrono::microseconds> times;
        for (const auto &worker : workers_)
            times.push_back(cpuTime(*worker));
        return times;
    }

private:
    template<typename Task>
    void post(std::size_t index, Task task)
    {
        asio::post(workers_[index]->context.io, std::move(task));
    }

    static std::chrono::microseconds cpuTime(const Worker &worker)
    {
        clockid_t clock{};
        timespec time{};
        auto &thread = const_cast<std::thread &>(worker.thread);
        if (pthread_getcpuclockid(thread.native_handle(), &clock) != 0
            || clock_gettime(clock, &time) != 0)
            return std::chrono::microseconds(0);
        return std::chrono::duration_cast<std::chrono::microseconds>(
                std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
    }

    // Connections are given to the workers in turn; the socket is created on the worker's context.
    void accept()
    {
        const std::size_t index = next_++ % workers_.size();
        acceptor_->async_accept(workers_[index]->context.io,
                                [this, index](ErrorCode error, tcp::socket socket) {
                                    accepted(index, error, std::move(socket));
                                });
    }

    void accepted(std::size_t index, ErrorCode error, tcp::socket socket)
    {
        // A connection that was accepted just before the acceptor was closed is still served.
        if (!error)
            give(index, std::move(socket));
        if (!acceptor_->is_open())
            return;
        if (error) {
            logEvent(LogLevel::Warning, "accept_failed", { { "error", error.message() } });
            timer_->expires_after(kAcceptPause);
            timer_->async_wait([this](ErrorCode waitError) {
                if (!waitError && acceptor_->is_open())
                    accept();
            });
            return;
        }
        accept();
    }

    void give(std::size_t index, tcp::socket socket)
    {
        if (shared_.connections >= shared_.options.limits.connections)
            return;
        post(index, [worker = workers_[index].get(), socket = std::move(socket)]() mutable {
            worker->add(std::move(socket));
        });
    }

    void closeAcceptor()
    {
        ErrorCode ignored;
        timer_->cancel();
        acceptor_->close(ignored);
    }

    // Connections that the kernel has accepted already would be reset by closing the acceptor.
    void acceptBacklog()
    {
        ErrorCode error;
        acceptor_->cancel(error);
        acceptor_->non_blocking(true, error);
        while (!error) {
            const std::size_t index = next_++ % workers_.size();
            tcp::socket socket(workers_[index]->context.io);
            acceptor_->accept(socket, error);
            if (!error)
                give(index, std::move(socket));
        }
    }

    void beginDrain(std::function<void()> drained)
    {
        if (shared_.draining.exchange(true))
            return;
        acceptBacklog();
        closeAcceptor();
        drained_ = std::move(drained);
        for (std::size_t i = 0; i < workers_.size(); ++i) {
            post(i, [this, i] {
                workers_[i]->forEachConnection([](CallerConnection &entry) { entry.drain(); });
            });
        }
        // Posted sockets become connections before the first check counts them.
        checkDrained();
    }

    void checkDrained()
    {
        timer_->expires_after(kDrainCheck);
        timer_->async_wait([this](ErrorCode error) {
            if (error)
                return;
            if (shared_.connections > 0 || shared_.inFlight > 0) {
                checkDrained();
                return;
            }
            const std::function<void()> drained = std::move(drained_);
            if (drained)
                drained();
        });
    }

    RelayShared shared_;
    std::vector<std::unique_ptr<Worker>> workers_;
    std::unique_ptr<tcp::acceptor> acceptor_;
    // Pauses accepting after errors, then paces the checks of a drain.
    std::unique_ptr<asio::steady_timer> timer_;
    std::function<void()> drained_;
    std::size_t next_ = 0;
    std::uint16_t port_ = 0;
    bool running_ = false;
};

} // namespace

std::unique_ptr<CallerServer> CallerServer::make(Options options)
{
    if (!options.config || !options.slots) {
        setLastError("the caller server needs a configuration and a slot source");
        return nullptr;
    }
    auto server = std::make_unique<CallerServerImpl>(std::move(options));
    if (!server->listen())
        return nullptr;
    server->run();
    return server;
}

} // namespace auburn
