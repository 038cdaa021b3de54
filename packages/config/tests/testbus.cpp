#include "testbus.h"

#include "auburn/core/lasterror.h"

#include <utility>

namespace auburn::tests {

class TestBus : public MessageBus
{
public:
    TestBus(TestNetwork &network, std::string id)
        : network_(network)
        , id_(std::move(id))
    {}

    bool send(const std::string &daemonId, proto::Envelope envelope) override
    {
        return network_.send(id_, daemonId, std::move(envelope));
    }

    void setHandler(proto::Envelope::BodyCase kind, Handler handler) override
    {
        network_.setHandler(id_, kind, std::move(handler));
    }

private:
    TestNetwork &network_;
    std::string id_;
};

TestNetwork::TestNetwork()
    : thread_([this]() { run(); })
{}

TestNetwork::~TestNetwork()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
    thread_.join();
}

std::unique_ptr<MessageBus> TestNetwork::makeBus(const std::string &daemonId)
{
    return std::make_unique<TestBus>(*this, daemonId);
}

void TestNetwork::cutOff(const std::string &daemonId)
{
    const std::lock_guard lock(mutex_);
    cutOff_.insert(daemonId);
}

void TestNetwork::loseNext(unsigned count)
{
    const std::lock_guard lock(mutex_);
    losses_ = count;
}

std::size_t TestNetwork::bytesSent() const
{
    const std::lock_guard lock(mutex_);
    return bytesSent_;
}

bool TestNetwork::loses(const std::string &from, const std::string &to)
{
    if (cutOff_.contains(from) || cutOff_.contains(to))
        return true;
    if (losses_ == 0)
        return false;
    --losses_;
    return true;
}

bool TestNetwork::send(const std::string &from, const std::string &to, proto::Envelope envelope)
{
    const std::lock_guard lock(mutex_);
    const auto daemon = handlers_.find(to);
    if (daemon == handlers_.end()) {
        setLastError("unknown daemon " + to);
        return false;
    }
    const auto handler = daemon->second.find(envelope.body_case());
    if (handler == daemon->second.end() || loses(from, to))
        return true;
    bytesSent_ += envelope.ByteSizeLong();
    deliveries_.emplace_back([from, handler = handler->second, envelope = std::move(envelope)]() {
        handler(from, envelope);
    });
    changed_.notify_all();
    return true;
}

void TestNetwork::setHandler(const std::string &daemonId, proto::Envelope::BodyCase kind,
                             MessageBus::Handler handler)
{
    const std::lock_guard lock(mutex_);
    handlers_[daemonId][kind] = std::move(handler);
}

void TestNetwork::run()
{
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        if (deliveries_.empty()) {
            changed_.wait(lock);
            continue;
        }
        const auto delivery = std::move(deliveries_.front());
        deliveries_.pop_front();
        lock.unlock();
        delivery();
        lock.lock();
    }
}

} // namespace auburn::tests
