#include "auburn/gateway/gateway.h"

#include "callerconnection.h"
#include "gatewaycontext.h"
#include "listener.h"

#include "auburn/core/lasterror.h"
#include "auburn/core/log.h"

#include <boost/asio/ip/tcp.hpp>

#include <algorithm>
#include <utility>

namespace auburn::gateway {

namespace asio = boost::asio;
using boost::asio::ip::tcp;

namespace {

constexpr int kBacklog = 1024;

class GatewayImpl : public Gateway
{
public:
    GatewayImpl(asio::io_context &io, Options options)
        : context_{ .io = io,
                    .options = std::move(options),
                    .state = *context_.options.state,
                    .pool = std::make_shared<ConnectionPool>(io),
                    .memory = std::make_shared<MemoryBudget>(context_.options.memoryLimit),
                    .callers = CallerConnections(
                            io, { .memory = context_.memory,
                                  .maxConnections = context_.options.maxConnections,
                                  .connections = &context_.connections,
                                  .metrics = context_.options.metrics }),
                    .crashes = std::make_shared<CrashGuard>(
                            io,
                            CrashGuard::Options{
                                    .state = &context_.state,
                                    .metrics = context_.options.metrics,
                                    .serverDisconnected = context_.options.serverDisconnected,
                                    .requestUnblocked = context_.options.requestUnblocked }),
                    .startupQueue = StartupQueue(io) }
        , listener_(io, [this](tcp::socket socket) { connectionAccepted(std::move(socket)); })
    {}

    bool listen() { return listener_.listen(context_.options.listenAddress, kBacklog); }

    void drain(std::chrono::milliseconds idleTime) override
    {
        context_.draining = true;
        context_.drainIdleTime = idleTime;
        context_.callers.forEach([](CallerConnection &connection) { connection.drain(); });
    }

    void refuseNewRequests() override
    {
        context_.refusingNewRequests = true;
        context_.startupQueue.release();
    }

    void endRequests() override
    {
        context_.callers.forEach([](CallerConnection &connection) { connection.endRequest(); });
    }

    void routingStateChanged() override
    {
        if (context_.state.canRoute())
            context_.startupQueue.release();
    }

    std::size_t connections() const override { return context_.connections; }
    std::size_t requestsInProgress() const override { return context_.requestsInProgress; }
    std::size_t heldBytes() const override { return context_.memory->used(); }

    void closeExpiredConnections() override { context_.pool->closeExpired(); }

    void serverStarted(const std::string &address) override
    {
        context_.pool->closeIdleTo(address);
        context_.crashes->serverStarted();
    }

private:
    void connectionAccepted(tcp::socket socket)
    {
        // An idle connection can be opened again; a caller that is refused has nothing.
        const bool isFull = context_.connections >= context_.options.maxConnections;
        if (isFull && !context_.callers.closeLongestIdle()) {
            logEvent(LogLevel::Warning, "connection_refused",
                     { { "connections", static_cast<long long>(context_.connections) } });
            return;
        }
        const auto connection = std::make_shared<CallerConnection>(context_, std::move(socket));
        connection->start();
    }

    GatewayContext context_;
    Listener listener_;
};

} // namespace

std::unique_ptr<Gateway> Gateway::make(asio::io_context &io, Options options)
{
    if (!options.state || !options.placement) {
        setLastError("the gateway options lack the routing state or the placement source");
        return nullptr;
    }
    auto gateway = std::make_unique<GatewayImpl>(io, std::move(options));
    if (!gateway->listen())
        return nullptr;
    return gateway;
}

} // namespace auburn::gateway
