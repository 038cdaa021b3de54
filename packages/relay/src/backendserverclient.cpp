#include "backendserverclient.h"

#include "backendservercall.h"

#include "auburn/core/socketstate.h"

#include <utility>

namespace auburn {

BackendServerClient::BackendServerClient(boost::asio::io_context &context,
                                         BackendServerLimits limits)
    : context_(context)
    , limits_(limits)
    , sweepTimer_(context)
{}

BackendServerClient::~BackendServerClient() = default;

std::shared_ptr<BackendServerCall> BackendServerClient::call(BackendServerDial dial,
                                                             CallEvents &events)
{
    auto call = std::make_shared<BackendServerCall>(*this, std::move(dial), &events);
    call->start();
    return call;
}

void BackendServerClient::notify(const std::string &address, BackendServerMessage message)
{
    BackendServerDial dial{ .address = address,
                            .message = std::move(message),
                            .freshConnection = true };
    std::make_shared<BackendServerCall>(*this, std::move(dial), nullptr)->start();
}

void BackendServerClient::shutDown()
{
    closed_ = true;
    idle_.clear();
    sweepTimer_.cancel();
}

std::unique_ptr<BackendServerClient::Socket> BackendServerClient::takeIdle(
        const std::string &address)
{
    const auto found = idle_.find(address);
    if (found == idle_.end())
        return nullptr;
    std::vector<IdleConnection> &connections = found->second;
    const auto oldest = std::chrono::steady_clock::now() - limits_.poolTime;
    while (!connections.empty()) {
        IdleConnection connection = std::move(connections.back());
        connections.pop_back();
        if (connection.since > oldest && isSocketQuiet(connection.socket))
            return std::make_unique<Socket>(std::move(connection.socket));
    }
    return nullptr;
}

void BackendServerClient::putIdle(const std::string &address, Socket socket)
{
    std::vector<IdleConnection> &connections = idle_[address];
    if (closed_ || connections.size() >= limits_.poolSize)
        return;
    connections.push_back({ std::move(socket), std::chrono::steady_clock::now() });
    scheduleSweep();
}

void BackendServerClient::scheduleSweep()
{
    if (sweepScheduled_ || closed_)
        return;
    sweepScheduled_ = true;
    sweepTimer_.expires_after(limits_.poolTime);
    sweepTimer_.async_wait([this](boost::system::error_code error) {
        if (!error)
            sweep();
    });
}

void BackendServerClient::sweep()
{
    sweepScheduled_ = false;
    const auto oldest = std::chrono::steady_clock::now() - limits_.poolTime;
    for (auto entry = idle_.begin(); entry != idle_.end();) {
        std::erase_if(entry->second, [oldest](const IdleConnection &connection) {
            return connection.since <= oldest;
        });
        entry = entry->second.empty() ? idle_.erase(entry) : std::next(entry);
    }
    if (!idle_.empty())
        scheduleSweep();
}

} // namespace auburn
