// Mailbox: runs tasks on the thread on which it was created, until it is closed.
#pragma once

#include <QMetaObject>
#include <QObject>
#include <QTimer>

#include <chrono>
#include <functional>
#include <memory>
#include <mutex>

namespace auburn {

class Mailbox
{
public:
    Mailbox()
        : context_(std::make_unique<QObject>())
    {}

    // Queues a task; callable from any thread. Dropped once the mailbox is closed.
    void post(std::function<void()> task)
    {
        const std::lock_guard lock(mutex_);
        if (context_)
            QMetaObject::invokeMethod(context_.get(), std::move(task), Qt::QueuedConnection);
    }

    // Runs a task after a delay; for the mailbox's own thread.
    void postAfter(std::chrono::milliseconds delay, std::function<void()> task)
    {
        QTimer::singleShot(delay, context_.get(), std::move(task));
    }

    // For the mailbox's own thread.
    bool isOpen() const { return context_ != nullptr; }

    // Drops all tasks that have not started; for the mailbox's own thread.
    void close()
    {
        std::unique_ptr<QObject> context;
        const std::lock_guard lock(mutex_);
        context.swap(context_);
    }

private:
    std::mutex mutex_;
    std::unique_ptr<QObject> context_;
};

} // namespace auburn
