// naive_router: the baseline for experiments. One FIFO, round robin over the backend servers, blind
// retries.
//
// It knows no classes, no load and no idempotency. It never cancels work whose caller has gone.

// Boost 1.74's awaitable.hpp uses std::exchange without its header.
#include <utility>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <tclap/CmdLine.h>

#include <atomic>
#include <condition_variable>
#include <iostream>
#include <limits>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::asio::ip::tcp;

tcp::endpoint parseEndpoint(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    return { asio::ip::make_address(address.substr(0, colon)),
             static_cast<unsigned short>(std::stoi(address.substr(colon + 1))) };
}

// Admits requests strictly in arrival order, a fixed number at a time.
class FifoGate
{
public:
    explicit FifoGate(unsigned capacity)
        : free_(capacity)
    {}

    void enter()
    {
        std::unique_lock lock(mutex_);
        const unsigned long ticket = nextTicket_++;
        changed_.wait(lock, [&] { return ticket == serving_ && free_ > 0; });
        ++serving_;
        --free_;
        changed_.notify_all();
    }

    void leave()
    {
        const std::lock_guard lock(mutex_);
        ++free_;
        changed_.notify_all();
    }

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    unsigned free_;
    unsigned long nextTicket_ = 0;
    unsigned long serving_ = 0;
};

struct Options
{
    std::string listen;
    std::vector<std::string> backendServers;
    unsigned inFlight = 1;
    unsigned retries = 3;
};

class NaiveRouter
{
public:
    explicit NaiveRouter(Options options)
        : options_(std::move(options))
        , gate_(options_.inFlight)
    {}

    void serve()
    {
        tcp::acceptor acceptor(context_, parseEndpoint(options_.listen));
        std::cout << "listening " << options_.listen << std::endl;
        while (true) {
            tcp::socket socket(context_);
            acceptor.accept(socket);
            std::thread([this, s = std::move(socket)]() mutable {
                serveCaller(std::move(s));
            }).detach();
        }
    }

private:
    void serveCaller(tcp::socket caller)
    {
        beast::flat_buffer buffer;
        beast::error_code error;
        while (!error) {
            http::request<http::string_body> request;
            http::read(caller, buffer, request, error);
            if (error)
                return;
            gate_.enter();
            const bool keep = forward(caller, request);
            gate_.leave();
            if (!keep)
                return;
        }
    }

    bool forward(tcp::socket &caller, http::request<http::string_body> &request)
    {
        request.erase(http::field::authorization);
        for (unsigned attempt = 0; attempt <= options_.retries; ++attempt) {
            const std::string &backendServer =
                    options_.backendServers[next_++ % options_.backendServers.size()];
            bool started = false;
            if (relay(caller, request, backendServer, started))
                return true;
            if (started)
                return false;
        }
        http::response<http::string_body> failure(http::status::bad_gateway, 11);
        failure.body() =
                R"({"error":{"message":"all attempts failed","code":"backend_server_failed"}})";
        failure.prepare_payload();
        beast::error_code error;
        http::write(caller, failure, error);
        return !error;
    }

    bool relay(tcp::socket &caller, const http::request<http::string_body> &request,
               const std::string &address, bool &started)
    {
        beast::error_code error;
        tcp::socket backendServer(context_);
        backendServer.connect(parseEndpoint(address), error);
        if (error)
            return false;
        http::write(backendServer, request, error);
        if (error)
            return false;
        beast::flat_buffer buffer;
        http::response_parser<http::buffer_body> parser;
        parser.body_limit(std::numeric_limits<std::uint64_t>::max());
        http::read_header(backendServer, buffer, parser, error);
        if (error)
            return false;
        http::response_serializer<http::buffer_body> serializer(parser.get());
        http::write_header(caller, serializer, error);
        started = true;
        return !error && relayBody(caller, backendServer, buffer, parser, serializer);
    }

    static bool relayBody(tcp::socket &caller, tcp::socket &backendServer,
                          beast::flat_buffer &buffer,
                          http::response_parser<http::buffer_body> &parser,
                          http::response_serializer<http::buffer_body> &serializer)
    {
        char chunk[8192];
        beast::error_code error;
        bool callerGone = false;
        do {
            auto &body = parser.get().body();
            body.data = chunk;
            body.size = sizeof(chunk);
            http::read(backendServer, buffer, parser, error);
            if (error && error != http::error::need_buffer)
                return false;
            body.size = sizeof(chunk) - body.size;
            body.data = chunk;
            body.more = !parser.is_done();
            if (callerGone)
                continue;
            http::write(caller, serializer, error);
            callerGone = error && error != http::error::need_buffer;
        } while (!parser.is_done());
        return !callerGone;
    }

    Options options_;
    asio::io_context context_;
    FifoGate gate_;
    std::atomic<std::size_t> next_{ 0 };
};

Options parseOptions(int argc, char **argv)
{
    TCLAP::CmdLine line("Baseline router: one FIFO, round robin, blind retries.");
    TCLAP::ValueArg<std::string> listen("", "listen", "IP:PORT to serve on", true, "", "address",
                                        line);
    TCLAP::MultiArg<std::string> backendServers("", "backend_server", "IP:PORT of a backend server",
                                                true, "address", line);
    TCLAP::ValueArg<unsigned> inFlight("", "in-flight", "requests in flight at most", true, 1,
                                       "count", line);
    TCLAP::ValueArg<unsigned> retries("", "retries", "further attempts", false, 3, "count", line);
    line.parse(argc, argv);
    return Options{ .listen = listen.getValue(),
                    .backendServers = backendServers.getValue(),
                    .inFlight = inFlight.getValue(),
                    .retries = retries.getValue() };
}

} // namespace

int main(int argc, char **argv)
{
    NaiveRouter router(parseOptions(argc, argv));
    router.serve();
    return 0;
}
