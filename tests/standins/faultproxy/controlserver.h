// ControlServer: HTTP in front of FaultProxy::handle.
#pragma once

#include "faultproxy.h"

#include <memory>

namespace auburn::standins {

class ControlServer : public std::enable_shared_from_this<ControlServer>
{
public:
    // Null with lastError() set if the address cannot be bound. The proxy must outlive the
    // io_context's run.
    static std::shared_ptr<ControlServer> make(boost::asio::io_context &context, FaultProxy &proxy,
                                               const Tcp::endpoint &listen);

    Tcp::endpoint listenEndpoint() const { return acceptor_.local_endpoint(); }

private:
    ControlServer(boost::asio::io_context &context, FaultProxy &proxy)
        : proxy_(proxy)
        , acceptor_(context)
    {}

    bool listen(const Tcp::endpoint &endpoint);
    void accept();

    FaultProxy &proxy_;
    Tcp::acceptor acceptor_;
};

} // namespace auburn::standins
