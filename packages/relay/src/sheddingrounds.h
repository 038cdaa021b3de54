// SheddingRounds: closes caller connections of all worker threads when memory or connections are
// short, as SheddingPolicy decides.
//
// A round runs on the first worker: it asks every worker for the loads of its connections, chooses
// among all of them, and tells each worker which ones to close. Connections are only touched on
// their own thread.
#pragma once

#include "worker.h"

#include "auburn/core/loadshedding.h"

#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <cstddef>
#include <memory>
#include <vector>

namespace auburn {

class SheddingRounds
{
public:
    SheddingRounds(RelayShared &shared, const std::vector<std::unique_ptr<Worker>> &workers);
    SheddingRounds(const SheddingRounds &) = delete;
    SheddingRounds &operator=(const SheddingRounds &) = delete;

    // Runs rounds until neither memory nor connections are short. Callable from any thread.
    void schedule();
    // Counts an idle connection that was closed for a new one. Called on the first worker.
    void recordDisplaced();
    // Counts a new connection that was closed because no other one could be. Called on the first
    // worker.
    void recordRefused();

private:
    // The connections of one worker and their loads, in the same order.
    struct WorkerLoads
    {
        std::vector<std::weak_ptr<CallerConnection>> connections;
        std::vector<ConnectionLoad> loads;
    };

    static WorkerLoads collect(Worker &worker);
    void startTimer();
    void beginRound();
    void collected(std::size_t index, WorkerLoads loads);
    void endRound();
    // Closes the chosen connections, which are indexes into the loads of all workers.
    void shed(const std::vector<std::size_t> &chosen);

    RelayShared &shared_;
    const std::vector<std::unique_ptr<Worker>> &workers_;
    boost::asio::steady_timer timer_;
    std::atomic<bool> scheduled_{ false };
    std::vector<WorkerLoads> loads_;
    std::size_t missing_ = 0;
    // Connections since the last log line about them.
    std::size_t unloggedDisplaced_ = 0;
    std::size_t unloggedRefused_ = 0;
};

} // namespace auburn
