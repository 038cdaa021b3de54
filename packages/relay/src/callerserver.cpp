#include "auburn/relay/callerserver.h"

#include "sheddingrounds.h"
#include "worker.h"

#include "auburn/core/lasterror.h"
#include "auburn/core/log.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <cstdint>
#include <ctime>
#include <optional>
#include <pthread.h>
#include <thread>
#include <utility>
#include <vector>

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
constexpr std::chrono::seconds kAcceptLogInterval{ 1 };

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
        rounds_ = std::make_unique<SheddingRounds>(shared_, workers_);
        shared_.memory->setPressureHandler(
                shared_.memory->percent(SheddingPolicy::kPressurePercent),
                [rounds = rounds_.get()] { rounds->schedule(); });
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
        shared_.memory->setPressureHandler(0, nullptr);
        rounds_.reset();
        waitingSocket_.reset();
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

    std::size_t connections() const override { return shared_.connections; }

    std::size_t heldBytes() const override { return shared_.memory->used(); }

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
        workers_[index]->post(std::move(task));
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
        if (error) {
            acceptFailed(error);
            return;
        }
        if (!isFull()) {
            // A connection that was accepted just before the acceptor was closed is still served.
            give(index, std::move(socket));
            acceptNext();
            return;
        }
        // Accepting goes on after the displacement, so that only one new connection waits for it.
        waitingSocket_.emplace(std::move(socket));
        displace(workersByOldestIdle(), [this, index](bool closed) {
            tcp::socket waiting = std::move(*waitingSocket_);
            waitingSocket_.reset();
            if (closed)
                give(index, std::move(waiting));
            else
                rounds_->recordRefused();
            acceptNext();
        });
    }

    void acceptNext()
    {
        if (acceptor_->is_open())
            accept();
    }

    void acceptFailed(ErrorCode error)
    {
        if (!acceptor_->is_open())
            return;
        const auto now = std::chrono::steady_clock::now();
        if (now >= nextAcceptLogAt_) {
            nextAcceptLogAt_ = now + kAcceptLogInterval;
            logEvent(LogLevel::Warning, "accept_failed", { { "error", error.message() } });
        }
        if (error == asio::error::no_descriptors)
            displace(workersByOldestIdle(), [](bool /*closed*/) {});
        timer_->expires_after(kAcceptPause);
        timer_->async_wait([this](ErrorCode waitError) {
            if (!waitError)
                acceptNext();
        });
    }

    bool isFull() const { return shared_.connections >= shared_.options.limits.connections; }

    void give(std::size_t index, tcp::socket socket)
    {
        // Counted here, because a worker that is busy adds the connection later.
        ++shared_.connections;
        post(index, [worker = workers_[index].get(), socket = std::move(socket)]() mutable {
            worker->add(std::move(socket));
        });
        if (shared_.shedding.isCrowded(shared_.connections))
            rounds_->schedule();
    }

    // Indexes of the workers, the one whose connection has been idle longest last.
    std::vector<std::size_t> workersByOldestIdle() const
    {
        std::vector<std::pair<std::int64_t, std::size_t>> idle;
        for (std::size_t i = 0; i < workers_.size(); ++i)
            idle.emplace_back(workers_[i]->context.idle.oldestSince(), i);
        std::sort(idle.rbegin(), idle.rend());
        std::vector<std::size_t> indexes;
        for (const auto &[since, index] : idle) {
            if (since != IdleConnections::kNone)
                indexes.push_back(index);
        }
        return indexes;
    }

    // Closes the connection that has been idle longest, of the last worker that has one that can be
    // closed. Calls done on the first worker, with false if there is none.
    template<typename Done>
    void displace(std::vector<std::size_t> indexes, Done done)
    {
        if (indexes.empty()) {
            done(false);
            return;
        }
        const std::size_t index = indexes.back();
        indexes.pop_back();
        post(index, [this, index, indexes = std::move(indexes), done = std::move(done)]() mutable {
            const bool closed = workers_[index]->closeLongestIdle();
            post(0, [this, closed, indexes = std::move(indexes), done = std::move(done)]() mutable {
                if (!closed) {
                    displace(std::move(indexes), std::move(done));
                    return;
                }
                rounds_->recordDisplaced();
                done(true);
            });
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
            if (!error && !isFull())
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
    std::unique_ptr<SheddingRounds> rounds_;
    // A new connection for which an idle one is being closed.
    std::optional<tcp::socket> waitingSocket_;
    std::chrono::steady_clock::time_point nextAcceptLogAt_;
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
