// A message bus in memory. Handlers run on one thread of its own, as on the real bus.
#pragma once

#include "auburn/mesh/bus.h"

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace auburn::tests {

class TestNetwork
{
public:
    TestNetwork();
    ~TestNetwork();

    std::unique_ptr<MessageBus> makeBus(const std::string &daemonId);

    // Messages from and to the daemon are lost from now on.
    void cutOff(const std::string &daemonId);
    // The next messages are lost.
    void loseNext(unsigned count);
    // Bytes of all messages that were sent.
    std::size_t bytesSent() const;

private:
    friend class TestBus;

    bool send(const std::string &from, const std::string &to, proto::Envelope envelope);
    void setHandler(const std::string &daemonId, proto::Envelope::BodyCase kind,
                    MessageBus::Handler handler);
    void run();
    bool loses(const std::string &from, const std::string &to);

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    bool stopping_ = false;
    std::map<std::string, std::map<proto::Envelope::BodyCase, MessageBus::Handler>> handlers_;
    std::deque<std::function<void()>> deliveries_;
    std::set<std::string> cutOff_;
    unsigned losses_ = 0;
    std::size_t bytesSent_ = 0;
    std::thread thread_;
};

} // namespace auburn::tests
