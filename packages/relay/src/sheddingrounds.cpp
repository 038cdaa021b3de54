#include "sheddingrounds.h"

#include <malloc.h>
#include <utility>

namespace auburn {

SheddingRounds::SheddingRounds(RelayShared &shared,
                               const std::vector<std::unique_ptr<Worker>> &workers)
    : shared_(shared)
    , workers_(workers)
    , timer_(workers.front()->context.io)
{}

void SheddingRounds::schedule()
{
    // Called for each growth under pressure, so the common case must not write.
    if (scheduled_.load(std::memory_order_relaxed) || scheduled_.exchange(true))
        return;
    workers_.front()->post([this] { startTimer(); });
}

void SheddingRounds::recordDisplaced()
{
    ++unloggedDisplaced_;
    schedule();
}

void SheddingRounds::recordRefused()
{
    ++unloggedRefused_;
    schedule();
}

void SheddingRounds::startTimer()
{
    timer_.expires_after(SheddingPolicy::kRoundInterval);
    timer_.async_wait([this](boost::system::error_code error) {
        if (!error)
            beginRound();
    });
}

void SheddingRounds::beginRound()
{
    scheduled_ = false;
    // One line for each round, whatever the number of connections, so that the log stays bounded.
    if (const std::size_t closed = std::exchange(unloggedDisplaced_, 0); closed > 0)
        shared_.shedding.record("descriptors", closed, shared_.connections);
    if (const std::size_t closed = std::exchange(unloggedRefused_, 0); closed > 0)
        shared_.shedding.record("refused", closed, shared_.connections);
    // Also while a round is under way, which a worker that is busy may delay.
    if (missing_ > 0)
        return;
    loads_.assign(workers_.size(), {});
    missing_ = workers_.size();
    for (std::size_t i = 0; i < workers_.size(); ++i) {
        workers_[i]->post([this, i] {
            workers_.front()->post([this, i, loads = collect(*workers_[i])]() mutable {
                collected(i, std::move(loads));
            });
        });
    }
}

SheddingRounds::WorkerLoads SheddingRounds::collect(Worker &worker)
{
    WorkerLoads result;
    worker.forEachConnection([&result](CallerConnection &connection) {
        result.connections.push_back(connection.weak_from_this());
        result.loads.push_back(connection.nextRound());
    });
    return result;
}

void SheddingRounds::collected(std::size_t index, WorkerLoads loads)
{
    loads_[index] = std::move(loads);
    if (--missing_ == 0)
        endRound();
}

void SheddingRounds::endRound()
{
    const SheddingPolicy &policy = shared_.shedding;
    const bool underPressure = policy.isUnderPressure();
    if (!underPressure && !policy.isCrowded(shared_.connections)) {
        loads_.clear();
        return;
    }
    std::vector<ConnectionLoad> all;
    for (const WorkerLoads &worker : loads_)
        all.insert(all.end(), worker.loads.begin(), worker.loads.end());
    const std::vector<std::size_t> chosen = selectConnectionsToShed(
            all, policy.goal(shared_.connections));
    if (!chosen.empty()) {
        policy.record(underPressure ? "memory" : "descriptors", chosen.size(), shared_.connections);
        shed(chosen);
    }
    loads_.clear();
    schedule();
}

void SheddingRounds::shed(const std::vector<std::size_t> &chosen)
{
    std::vector<std::vector<std::weak_ptr<CallerConnection>>> byWorker(workers_.size());
    for (std::size_t index : chosen) {
        std::size_t worker = 0;
        while (index >= loads_[worker].connections.size())
            index -= loads_[worker++].connections.size();
        byWorker[worker].push_back(loads_[worker].connections[index]);
    }
    for (std::size_t i = 0; i < workers_.size(); ++i) {
        if (byWorker[i].empty())
            continue;
        workers_[i]->post([connections = std::move(byWorker[i])] {
            for (const auto &entry : connections) {
                if (const auto connection = entry.lock())
                    connection->shed();
            }
            // The C library keeps freed blocks for later ones of the same size.
            ::malloc_trim(0);
        });
    }
}

} // namespace auburn
