// StatusServer: /healthz, /readyz and /metrics on an address of their own, so that they answer when
// the callers' side is busy and are not exposed to callers.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace auburn {

class StatusServer
{
public:
    struct Options
    {
        std::string address = "127.0.0.1";
        // 0 selects a free port.
        std::uint16_t port = 0;
        // /readyz answers 200 if true and 503 if false. Called on the server's thread.
        std::function<bool()> ready;
        // Text of /metrics in Prometheus format. Called on the server's thread.
        std::function<std::string()> metrics;
    };

    // Null with lastError() set if the address cannot be bound.
    static std::unique_ptr<StatusServer> make(Options options);

    StatusServer() = default;
    StatusServer(const StatusServer &) = delete;
    StatusServer &operator=(const StatusServer &) = delete;
    virtual ~StatusServer() = default;

    virtual std::uint16_t port() const = 0;
};

} // namespace auburn
