// FakeNetwork: message buses between daemons in one test, with simulated time, loss, delay,
// duplicates and frozen daemons.
#pragma once

#include "auburn/mesh/bus.h"
#include "auburn/mesh/memberview.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>

namespace auburn {

class FakeNetwork
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    struct Faults
    {
        double loss = 0;
        double duplicates = 0;
        std::chrono::milliseconds maxDelay{ 2 };
    };

    explicit FakeNetwork(unsigned seed)
        : random(seed)
    {}

    // The bus of a daemon; the network keeps it.
    MessageBus &bus(const std::string &daemon)
    {
        auto &bus = buses_[daemon];
        if (!bus)
            bus = std::make_unique<Bus>(*this, daemon);
        return *bus;
    }

    // A frozen daemon handles nothing until it wakes; its messages wait.
    void freeze(const std::string &daemon) { frozen_.insert(daemon); }
    void wake(const std::string &daemon) { frozen_.erase(daemon); }
    bool isFrozen(const std::string &daemon) const { return frozen_.contains(daemon); }
    // A removed daemon handles nothing any more and cannot be reached.
    void remove(const std::string &daemon) { removed_.insert(daemon); }
    bool isRemoved(const std::string &daemon) const { return removed_.contains(daemon); }

    // Moves time on by one millisecond and delivers what is due.
    void step()
    {
        now += std::chrono::milliseconds(1);
        auto due = messages_.begin();
        while (due != messages_.end() && due->first.first <= now) {
            const auto current = due++;
            const std::string &receiver = current->second.receiver;
            if (isFrozen(receiver))
                continue;
            const Message message = std::move(current->second);
            messages_.erase(current);
            if (!isRemoved(message.receiver))
                deliver(message);
            due = messages_.begin();
        }
    }

    double chance() { return std::uniform_real_distribution<>(0, 1)(random); }
    unsigned below(unsigned bound) { return static_cast<unsigned>(random() % bound); }

    std::mt19937 random;
    Faults faults;
    TimePoint now{ std::chrono::hours(1) };

private:
    struct Message
    {
        std::string sender;
        std::string receiver;
        proto::Envelope envelope;
    };

    class Bus : public MessageBus
    {
    public:
        Bus(FakeNetwork &network, std::string daemon)
            : network_(network)
            , daemon_(std::move(daemon))
        {}

        bool send(const std::string &daemonId, proto::Envelope envelope) override
        {
            if (!network_.buses_.contains(daemonId))
                return false;
            network_.post(Message{ daemon_, daemonId, std::move(envelope) });
            return true;
        }

        void setHandler(proto::Envelope::BodyCase kind, Handler handler) override
        {
            handlers[kind] = std::move(handler);
        }

        std::map<proto::Envelope::BodyCase, Handler> handlers;

    private:
        FakeNetwork &network_;
        std::string daemon_;
    };

    void post(const Message &message)
    {
        if (chance() < faults.loss)
            return;
        const auto delay = std::chrono::milliseconds(
                1 + below(static_cast<unsigned>(faults.maxDelay.count())));
        // Messages of one connection stay in order.
        TimePoint &last = lastArrival_[{ message.sender, message.receiver }];
        last = std::max(last, now + delay);
        messages_.emplace(std::pair(last, next_++), message);
        if (chance() < faults.duplicates)
            messages_.emplace(std::pair(last, next_++), message);
    }

    void deliver(const Message &message)
    {
        const auto &handlers = buses_.at(message.receiver)->handlers;
        const auto handler = handlers.find(message.envelope.body_case());
        if (handler != handlers.end())
            handler->second(message.sender, message.envelope);
    }

    std::map<std::string, std::unique_ptr<Bus>> buses_;
    std::map<std::pair<TimePoint, std::uint64_t>, Message> messages_;
    std::map<std::pair<std::string, std::string>, TimePoint> lastArrival_;
    std::set<std::string> frozen_;
    std::set<std::string> removed_;
    std::uint64_t next_ = 1;
};

// A view that the test sets.
class FakeViews : public MemberViewSource
{
public:
    std::shared_ptr<const MemberView> view() const override { return current_; }
    void set(MemberView view) { current_ = std::make_shared<const MemberView>(std::move(view)); }

private:
    std::shared_ptr<const MemberView> current_ = std::make_shared<const MemberView>();
};

// Members of a failure domain with the given ids, all ready.
inline MemberView readyView(const std::string &self, const std::string &failureDomain,
                            const std::vector<std::string> &ids)
{
    MemberView view{ .selfId = self, .failureDomain = failureDomain, .region = "region" };
    for (const std::string &id : ids)
        view.members.push_back(Member{ .id = id, .status = MemberStatus::Ready });
    return view;
}

} // namespace auburn
