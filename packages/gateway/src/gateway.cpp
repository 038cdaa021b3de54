#include "auburn/gateway/gateway.h"

#include "clientconnection.h"
#include "gatewaycore.h"
#include "listener.h"

#include "auburn/core/lasterror.h"
#include "auburn/core/log.h"

#include <boost/asio/ip/tcp.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace auburn::gateway {

namespace asio = boost::asio;
using boost::asio::ip::tcp;

namespace {

constexpr int kBacklog = 1024;

class GatewayImpl : public Gateway
{
public:
    GatewayImpl(asio::io_context &io, Options options)
        : core_{ .io = io,
                 .options = std::move(options),
                 .state = *core_.options.state,
                 .pool = std::make_shared<ConnectionPool>(io) }
        , listener_(io, [this](tcp::socket socket) { accepted(std::move(socket)); })
    {}

    bool listen() { return listener_.listen(core_.options.listenAddress, kBacklog); }

    void drain(std::chrono::milliseconds idleTime) override
    {
        core_.draining = true;
        core_.drainIdleTime = idleTime;
        for (const auto &entry : clients_) {
            if (const auto client = entry.lock())
                client->drain();
        }
    }

    void refuseNewRequests() override { core_.refusing = true; }
    std::size_t connections() const override { return core_.connections; }
    std::size_t requestsInProgress() const override { return core_.requests; }

    void closeExpiredConnections() override
    {
        core_.pool->sweep();
        std::erase_if(clients_, [](const auto &entry) { return entry.expired(); });
    }

    void closeIdleConnectionsTo(const std::string &address) override { core_.pool->drop(address); }

private:
    void accepted(tcp::socket socket)
    {
        if (core_.connections >= core_.options.maxConnections) {
            logEvent(LogLevel::Warning, "connection_refused",
                     { { "connections", static_cast<long long>(core_.connections) } });
            return;
        }
        const auto client = std::make_shared<ClientConnection>(core_, std::move(socket));
        clients_.push_back(client);
        client->start();
    }

    GatewayCore core_;
    Listener listener_;
    std::vector<std::weak_ptr<ClientConnection>> clients_;
};

} // namespace

std::unique_ptr<Gateway> Gateway::make(asio::io_context &io, Options options)
{
    if (!options.state || !options.placement) {
        setLastError("the gateway needs its routing state and a source of placements");
        return nullptr;
    }
    auto gateway = std::make_unique<GatewayImpl>(io, std::move(options));
    if (!gateway->listen())
        return nullptr;
    return gateway;
}

} // namespace auburn::gateway
