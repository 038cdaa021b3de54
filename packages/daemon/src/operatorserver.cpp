#include "auburn/daemon/operatorserver.h"

#include "auburn/core/lasterror.h"
#include "auburn/core/log.h"
#include "zaphandler.h"

#include <array>
#include <atomic>
#include <deque>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>
#include <zmq_addon.hpp>

namespace auburn {

namespace {

constexpr const char *kWakeAddress = "inproc://wake";

// Maximum poll time, and so the interval at which pending changes are checked.
constexpr std::chrono::milliseconds kTickInterval{ 50 };

// Maximum number of queued requests per connection; further requests stay in the TCP buffers.
constexpr int kReceiveQueueLimit = 64;

// A reply and the ROUTER routing id of the connection that receives it.
struct OutgoingReply
{
    std::string routingId;
    proto::OperatorReply reply;
};

// Passes replies from any thread to the server's thread. The reply callbacks share ownership of the
// outbox, because replies may arrive after the server has been closed.
class Outbox
{
public:
    explicit Outbox(zmq::context_t &context)
        : wakeSender_(std::in_place, context, zmq::socket_type::push)
    {
        wakeSender_->set(zmq::sockopt::linger, 0);
        wakeSender_->connect(kWakeAddress);
    }

    void put(OutgoingReply reply)
    {
        const std::lock_guard lock(mutex_);
        if (!wakeSender_)
            return;
        replies_.push_back(std::move(reply));
        wakeSender_->send(zmq::str_buffer("r"), zmq::send_flags::dontwait);
    }

    std::deque<OutgoingReply> takeAll()
    {
        const std::lock_guard lock(mutex_);
        return std::exchange(replies_, {});
    }

    // Discards queued and later replies. Must be called before the context is destroyed.
    void close()
    {
        const std::lock_guard lock(mutex_);
        wakeSender_.reset();
        replies_.clear();
    }

    // Wakes the server's thread without sending a reply.
    void wake()
    {
        const std::lock_guard lock(mutex_);
        if (wakeSender_)
            wakeSender_->send(zmq::str_buffer("w"), zmq::send_flags::dontwait);
    }

private:
    std::mutex mutex_;
    std::optional<zmq::socket_t> wakeSender_;
    std::deque<OutgoingReply> replies_;
};

} // namespace

class OperatorServer::Worker
{
public:
    Worker(const Options &options, OperatorBackend &backend)
        : zapHandler_(context_, options.operators)
        , routerSocket_(context_, zmq::socket_type::router)
        , wakeReceiver_(context_, zmq::socket_type::pull)
        , executor_(backend)
    {
        wakeReceiver_.bind(kWakeAddress);
        outbox_ = std::make_shared<Outbox>(context_);
        routerSocket_.set(zmq::sockopt::linger, 0);
        routerSocket_.set(zmq::sockopt::curve_server, true);
        routerSocket_.set(zmq::sockopt::curve_secretkey, options.secretKey);
        routerSocket_.set(zmq::sockopt::curve_publickey, options.publicKey);
        routerSocket_.set(zmq::sockopt::zap_domain, "operators");
        routerSocket_.set(zmq::sockopt::maxmsgsize,
                          static_cast<std::int64_t>(kMaxOperatorRequestBytes));
        routerSocket_.set(zmq::sockopt::rcvhwm, kReceiveQueueLimit);
        routerSocket_.bind(options.bind);
        endpoint_ = routerSocket_.get(zmq::sockopt::last_endpoint);
        thread_ = std::thread([this] { run(); });
    }

    ~Worker()
    {
        stopping_ = true;
        outbox_->wake();
        if (thread_.joinable())
            thread_.join();
        outbox_->close();
    }

    Worker(const Worker &) = delete;
    Worker &operator=(const Worker &) = delete;

    const std::string &endpoint() const { return endpoint_; }

private:
    void run()
    {
        while (!stopping_) {
            try {
                runOnce();
            } catch (const zmq::error_t &error) {
                logEvent(LogLevel::Error, "operator_endpoint_error",
                         { { "reason", error.what() } });
            }
        }
    }

    void runOnce()
    {
        std::array<zmq::pollitem_t, 3> items{ {
                { zapHandler_.socket().handle(), 0, ZMQ_POLLIN, 0 },
                { routerSocket_.handle(), 0, ZMQ_POLLIN, 0 },
                { wakeReceiver_.handle(), 0, ZMQ_POLLIN, 0 },
        } };
        zmq::poll(items.data(), items.size(), kTickInterval);
        if ((items[0].revents & ZMQ_POLLIN) != 0)
            zapHandler_.handleRequest();
        if ((items[1].revents & ZMQ_POLLIN) != 0)
            receiveRequest();
        if ((items[2].revents & ZMQ_POLLIN) != 0)
            consumeWakeups();
        executor_.tick();
        sendReplies();
    }

    void receiveRequest()
    {
        std::vector<zmq::message_t> frames;
        if (!zmq::recv_multipart(routerSocket_, std::back_inserter(frames),
                                 zmq::recv_flags::dontwait))
            return;
        if (frames.size() != 2)
            return;
        const std::string operatorName = authenticatedOperator(frames[1]);
        proto::Envelope envelope;
        const bool parsed = envelope.ParseFromArray(frames[1].data(),
                                                    static_cast<int>(frames[1].size()));
        if (operatorName.empty() || !parsed || !envelope.has_operator_request()) {
            logEvent(LogLevel::Warning, "operator_request_ignored",
                     { { "operator", operatorName } });
            return;
        }
        executor_.execute(
                envelope.operator_request(), operatorName,
                [outbox = outbox_, routingId = frames[0].to_string()](proto::OperatorReply reply) {
                    outbox->put(OutgoingReply{ routingId, std::move(reply) });
                });
    }

    // Returns the operator name that the ZAP handler assigned to the connection, or an empty string
    // if it assigned none.
    static std::string authenticatedOperator(zmq::message_t &message)
    {
        const char *name = zmq_msg_gets(message.handle(), "User-Id");
        return name ? name : "";
    }

    void consumeWakeups()
    {
        zmq::message_t message;
        while (wakeReceiver_.recv(message, zmq::recv_flags::dontwait))
            message.rebuild();
    }

    void sendReplies()
    {
        for (OutgoingReply &outgoing : outbox_->takeAll()) {
            proto::Envelope envelope;
            *envelope.mutable_operator_reply() = std::move(outgoing.reply);
            const std::string bytes = envelope.SerializeAsString();
            const std::array<zmq::const_buffer, 2> frames{ zmq::buffer(outgoing.routingId),
                                                           zmq::buffer(bytes) };
            // A ROUTER socket drops messages to a client that has disconnected.
            zmq::send_multipart(routerSocket_, frames, zmq::send_flags::dontwait);
        }
    }

    zmq::context_t context_;
    ZapHandler zapHandler_;
    zmq::socket_t routerSocket_;
    zmq::socket_t wakeReceiver_;
    std::shared_ptr<Outbox> outbox_;
    CommandExecutor executor_;
    std::string endpoint_;
    std::atomic<bool> stopping_{ false };
    std::thread thread_;
};

std::unique_ptr<OperatorServer> OperatorServer::make(const Options &options,
                                                     OperatorBackend &backend)
{
    try {
        return std::unique_ptr<OperatorServer>(
                new OperatorServer(std::make_unique<Worker>(options, backend)));
    } catch (const zmq::error_t &error) {
        setLastError("cannot serve operators on " + options.bind + ": " + error.what());
        return nullptr;
    }
}

OperatorServer::OperatorServer(std::unique_ptr<Worker> worker)
    : worker_(std::move(worker))
{}

OperatorServer::~OperatorServer() = default;

const std::string &OperatorServer::endpoint() const
{
    return worker_->endpoint();
}

} // namespace auburn
