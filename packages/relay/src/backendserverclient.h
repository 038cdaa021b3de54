// BackendServerClient: HTTP calls to backend servers from one worker thread, with a pool of idle
// connections for each backend server.
//
// A faulty backend server may write a copy of an earlier answer where the next one is expected. So
// a connection carries another request only after an answer that repeats the id of its request, and
// then only such an answer is accepted. On a new connection any answer belongs to its only request.
//
// The client never repeats a request: a repeat is a decision of the session, which knows whether
// the request may run twice. The verdict of a call is exact in one direction: DidNotRun means that
// the operating system took no byte of the request.
#pragma once

#include "auburn/core/verdict.h"
#include "auburn/relay/backendserverkind.h"
#include "auburn/relay/relaylimits.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace auburn {

class BackendServerCall;

struct BackendServerDial
{
    // IP address and port.
    std::string address;
    BackendServerMessage message;
    // Never use a pooled connection: the backend server could have closed it, and the bytes written
    // to it would make the outcome unknown.
    bool freshConnection = false;
    // The call ends if the backend server delivers nothing for this long.
    std::chrono::milliseconds idleTimeout{ 10000 };
};

enum class CallEnd {
    // The whole answer arrived.
    Complete,
    // No connection could be made.
    ConnectFailed,
    // The connection broke, or what arrived is not HTTP.
    Broken,
    // The backend server was silent for the idle timeout.
    Silent,
    // The answer on a reused connection does not carry the id of the request.
    Unidentified,
};

struct CallResult
{
    CallEnd end = CallEnd::Complete;
    Verdict verdict = Verdict::DidNotRun;
    // The connection was a pooled one and no byte of an answer arrived on it.
    bool stalePooled = false;
    std::string error;
};

// Receives the events of one call, on the client's thread.
class CallEvents
{
public:
    using Header = boost::beast::http::response_header<>;

    virtual ~CallEvents() = default;
    virtual void callHead(const Header &header) = 0;
    // Views are valid during the call of this function.
    virtual void callData(const std::vector<std::string_view> &data) = 0;
    // The last event; not called after BackendServerCall::close().
    virtual void callEnded(const CallResult &result) = 0;
};

class BackendServerClient
{
public:
    BackendServerClient(boost::asio::io_context &context, BackendServerLimits limits);
    ~BackendServerClient();
    BackendServerClient(const BackendServerClient &) = delete;
    BackendServerClient &operator=(const BackendServerClient &) = delete;

    // Starts a call; events start after this returns. The events object must live until callEnded()
    // or until close().
    std::shared_ptr<BackendServerCall> call(BackendServerDial dial, CallEvents &events);
    // Sends a message whose answer does not matter, such as a cancellation.
    void notify(const std::string &address, BackendServerMessage message);
    // Closes idle connections; later ones are not pooled any more.
    void shutDown();

private:
    friend class BackendServerCall;
    using Socket = boost::asio::ip::tcp::socket;

    struct IdleConnection
    {
        Socket socket;
        std::chrono::steady_clock::time_point since;
    };

    // A pooled connection that is still open, or null.
    std::unique_ptr<Socket> takeIdle(const std::string &address);
    void putIdle(const std::string &address, Socket socket);
    void scheduleSweep();
    void sweep();

    boost::asio::io_context &context_;
    BackendServerLimits limits_;
    std::unordered_map<std::string, std::vector<IdleConnection>> idle_;
    boost::asio::steady_timer sweepTimer_;
    bool sweepScheduled_ = false;
    bool closed_ = false;
};

} // namespace auburn
