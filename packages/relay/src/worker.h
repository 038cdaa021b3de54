// Worker: one thread of the caller server with its context and its caller connections.
#pragma once

#include "callerconnection.h"
#include "workercontext.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>

#include <cstddef>
#include <memory>
#include <thread>
#include <utility>
#include <vector>

namespace auburn {

struct Worker
{
    explicit Worker(RelayShared &shared)
        : context(shared)
        , work(boost::asio::make_work_guard(context.io))
    {}

    // The functions below are called on the worker's thread.

    void add(boost::asio::ip::tcp::socket socket)
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

    // Closes the connection that has waited longest for a request. Returns false if there is none.
    bool closeLongestIdle()
    {
        return context.idle.any([](CallerConnection &entry) { return entry.closeIfIdle(); });
    }

    // Callable from any thread.
    template<typename Task>
    void post(Task task)
    {
        boost::asio::post(context.io, std::move(task));
    }

    WorkerContext context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
    std::vector<std::weak_ptr<CallerConnection>> connections;
    // Number of entries at which expired ones are removed.
    std::size_t sweepSize = 64;
    std::thread thread;
};

} // namespace auburn
