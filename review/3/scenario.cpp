// A request that crashes each runner that begins to run it, and whose caller sends it again.
#include "../standins/fleet.h"

using namespace review;

namespace {

// Rates of the plain service of the sheet, for all clients.
constexpr unsigned kOrderClients = 21;
constexpr unsigned kReadClients = 9;
constexpr Milliseconds kClientInterval{ 1000 };
constexpr Milliseconds kPoisonInterval{ 3000 };
constexpr std::chrono::seconds kDuration{ 45 };
constexpr Milliseconds kPatience{ 2500 };
constexpr Milliseconds kStableWindow{ 4000 };
// The third crash is the last one that the rule allows without looking at what follows.
constexpr std::size_t kFreeCrashes = 3;
constexpr unsigned kAllowedRetries = 3;
constexpr const char *kPoisonPath = "/order/poison";

class Scenario
{
public:
    Scenario(const std::string &root, const std::string &folder, bool trouble)
        : trouble_(trouble)
        , fleet_({ .root = root,
                   .folder = folder,
                   .routes = { { .name = "r-order", .pathPrefix = "/order/", .kind = "unsafe" },
                               { .name = "r-read",
                                 .pathPrefix = "/read/",
                                 .kind = "safe",
                                 .maxAttempts = 2 } },
                   .runner = { .id = {},
                               .address = {},
                               .service = {},
                               .zone = {},
                               .decide = [this](const Arrival &arrival) { return began(arrival); },
                               .finished = nullptr } })
    {}

    int run()
    {
        if (!fleet_.start())
            return kCouldNotRun;
        std::vector<std::thread> clients;
        for (unsigned i = 0; i < kOrderClients + kReadClients; ++i)
            clients.emplace_back([this, i] { plainClient(i); });
        std::this_thread::sleep_for(std::chrono::seconds(6));
        poisonClient();
        stopped_ = true;
        for (std::thread &client : clients)
            client.join();
        return verdict();
    }

private:
    Runner::Deed began(const Arrival &arrival)
    {
        const std::string id = arrival.request.field("Attempt-Id");
        if (arrival.request.target() != kPoisonPath)
            return Runner::Deed::Answer;
        fleet_.record().line("runner " + arrival.runner + " begins to run " + id
                             + (trouble_ ? " and crashes" : ""));
        if (!trouble_)
            return Runner::Deed::Answer;
        const std::lock_guard lock(mutex_);
        crashes_.push_back(fleet_.record().now());
        return Runner::Deed::Crash;
    }

    // A client with a kept connection to one daemon, which sends one request a second.
    void plainClient(unsigned index)
    {
        const unsigned daemon = index % fleet_.daemons().count();
        const bool orders = index < kOrderClients;
        auto socket = std::make_unique<Socket>(-1);
        std::this_thread::sleep_for(kClientInterval * index / (kOrderClients + kReadClients));
        for (unsigned i = 0; !stopped_; ++i) {
            const std::string id = "plain-" + std::to_string(index) + "-" + std::to_string(i);
            if (!socket->isOpen())
                socket = std::make_unique<Socket>(
                        Socket::connectTo(fleet_.daemons().front(daemon), Milliseconds(1000)));
            socket->send(orders ? makeRequest("POST", "/order/1", id, std::string(600, 'o'))
                                : makeRequest("GET", "/read/1", id, {}));
            ++sent_;
            Message response;
            const bool answered = socket->readResponse(response, kPatience);
            if (!answered)
                socket->reset();
            if (response.status() == 200) {
                ++answered_;
            } else {
                lostOrders_ += orders ? 1 : 0;
                fleet_.record().line("client gets " + std::to_string(response.status()) + " for "
                                     + id);
            }
            std::this_thread::sleep_for(kClientInterval);
        }
    }

    // The caller of the request sends it again and again, at one daemon after the other, each time
    // on a new connection and with an id of its own.
    void poisonClient()
    {
        const auto end = Clock::now() + kDuration;
        for (unsigned i = 0; Clock::now() < end; ++i) {
            const unsigned daemon = i % fleet_.daemons().count();
            const std::string id = "poison-" + std::to_string(i);
            Socket socket(Socket::connectTo(fleet_.daemons().front(daemon), Milliseconds(1000)));
            fleet_.record().line("client sends " + id + " to daemon " + std::to_string(daemon + 1));
            socket.send(makeRequest("POST", kPoisonPath, id, std::string(600, 'p')));
            Message response;
            socket.readResponse(response, kPatience);
            fleet_.record().line("client gets " + std::to_string(response.status()) + " for " + id);
            std::this_thread::sleep_for(kPoisonInterval);
        }
    }

    int verdict()
    {
        unsigned retries = 0;
        for (const Milliseconds at : crashes_) {
            const bool isLate = crashes_.size() > kFreeCrashes
                                && at > crashes_[kFreeCrashes - 1] + kStableWindow;
            retries += isLate ? 1 : 0;
        }
        fleet_.record().line("plain requests sent " + std::to_string(sent_) + ", answered with 200 "
                             + std::to_string(answered_) + ", orders not answered with 200 "
                             + std::to_string(lostOrders_) + "; crashes by the repeated request "
                             + std::to_string(crashes_.size())
                             + ", of these later than 4 s after the third "
                             + std::to_string(retries));
        return retries > kAllowedRetries ? kBroken : kHeld;
    }

    const bool trouble_;
    Fleet fleet_;
    std::atomic<bool> stopped_{ false };
    std::atomic<unsigned> sent_{ 0 };
    std::atomic<unsigned> answered_{ 0 };
    std::atomic<unsigned> lostOrders_{ 0 };
    std::mutex mutex_;
    std::vector<Milliseconds> crashes_;
};

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3)
        return kCouldNotRun;
    Scenario scenario(argv[1], argv[2], isTroubleWanted());
    return report(scenario.run());
}
