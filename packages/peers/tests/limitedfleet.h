// LimitedFleet simulates the daemons of a deployment in front of one server that names a limit on
// requests, on a simulated clock. Daemons learn of each other and of the limit with a delay; they
// can be killed, started, frozen and cut off from others.
#pragma once

#include "auburn/peers/limitedplacement.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace auburn::peers {

class LimitedFleet
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;
    using Milliseconds = std::chrono::milliseconds;

    struct Options
    {
        unsigned daemons = 6;
        // Requests a second at each daemon.
        double demand = 10;
        // Time after which a daemon knows that another one was started, ended or frozen; drawn
        // between zero and this for each pair.
        Milliseconds noticeDelay{ 300 };
        unsigned seed = 1;
    };

    explicit LimitedFleet(const Options &options);
    ~LimitedFleet();

    // The limit that the server names from now on.
    void setLimit(std::optional<double> requestsPerSecond);
    void run(Milliseconds time);
    void kill(unsigned daemon);
    void start(unsigned daemon);
    void freeze(unsigned daemon);
    void thaw(unsigned daemon);
    // Separates the daemons below the index from the others.
    void cutBefore(unsigned daemon);
    void heal();
    // The daemon that now grants the permits by its own view; empty if there is none.
    std::optional<unsigned> owner() const;

    // The excess of the window with the most counted requests over what the limit allows; negative
    // if every window stays below it.
    double worstExcess() const { return worstExcess_; }
    std::size_t arrivals() const { return arrivals_.size(); }
    std::size_t arrivalsSince(TimePoint time) const;
    TimePoint now() const { return now_; }

private:
    struct Daemon;
    class Exchange;
    class Source;
    friend class Exchange;

    struct Arrival
    {
        TimePoint at;
        unsigned daemon = 0;
        // The daemon had been told of the limit long enough before.
        bool counts = false;
    };

    bool sees(const Daemon &from, const Daemon &to) const;
    void deliver(unsigned sender, const std::string &target, const proto::PeerDatagram &datagram);
    void step();
    void sendRequest(Daemon &daemon);
    void serverReceives(Daemon &daemon);
    void shareLimits();
    void judge();
    void excuse(Daemon &daemon);

    const Options options_;
    boost::asio::io_context io_;
    std::mt19937 random_;
    TimePoint now_{ std::chrono::hours(1) };
    std::vector<std::unique_ptr<Daemon>> daemons_;
    std::optional<double> limit_;
    // All limits that the server has named. In a window with several the highest one counts.
    std::vector<std::pair<TimePoint, double>> named_;
    std::optional<TimePoint> firstNamedAt_;
    std::vector<Arrival> arrivals_;
    double worstExcess_ = -1e9;
    unsigned cutIndex_ = 0;
};

} // namespace auburn::peers
