#include "auburn/ctl/operatorclient.h"

#include "auburn/core/ids.h"

#include <array>
#include <cstring>
#include <optional>
#include <zmq.hpp>

namespace auburn {

namespace {

using Clock = std::chrono::steady_clock;
using Result = std::variant<proto::OperatorReply, ClientError>;

constexpr const char *kMonitorAddress = "inproc://monitor";

// Extra time for a reply that the daemon sends at the very end of the command's timeout.
constexpr std::chrono::seconds kReplyMargin{ 2 };

ClientError failure(ClientFailure kind, std::string message)
{
    return ClientError{ .failure = kind, .message = std::move(message) };
}

class Connection
{
public:
    explicit Connection(const OperatorClientOptions &options)
        : socket_(context_, zmq::socket_type::dealer)
        , monitor_(context_, zmq::socket_type::pair)
    {
        socket_.set(zmq::sockopt::linger, 0);
        // With "immediate" a message is queued only for a connection whose handshake is complete,
        // so a failed send proves that nothing was sent.
        socket_.set(zmq::sockopt::immediate, 1);
        socket_.set(zmq::sockopt::curve_serverkey, options.serverKey);
        socket_.set(zmq::sockopt::curve_publickey, options.publicKey);
        socket_.set(zmq::sockopt::curve_secretkey, options.secretKey);
        zmq_socket_monitor(socket_.handle(), kMonitorAddress, ZMQ_EVENT_HANDSHAKE_FAILED_AUTH);
        monitor_.set(zmq::sockopt::linger, 0);
        monitor_.connect(kMonitorAddress);
        socket_.connect(options.endpoint);
    }

    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;
    ~Connection() { zmq_socket_monitor(socket_.handle(), nullptr, 0); }

    // Waits until the request is queued on a complete connection.
    std::optional<ClientError> send(const std::string &bytes, Clock::time_point deadline)
    {
        while (true) {
            if (socket_.send(zmq::buffer(bytes), zmq::send_flags::dontwait))
                return std::nullopt;
            std::array<zmq::pollitem_t, 2> items{ {
                    { socket_.handle(), 0, ZMQ_POLLOUT, 0 },
                    { monitor_.handle(), 0, ZMQ_POLLIN, 0 },
            } };
            const auto left = timeLeft(deadline);
            if (left.count() <= 0)
                return failure(ClientFailure::NotSent, "no connection to the daemon in time");
            zmq::poll(items.data(), items.size(), left);
            if ((items[1].revents & ZMQ_POLLIN) != 0)
                return failure(ClientFailure::Unauthorised, "the daemon does not accept this key");
        }
    }

    std::optional<proto::OperatorReply> receive(const std::string &requestId,
                                                Clock::time_point deadline)
    {
        while (true) {
            zmq::pollitem_t item{ socket_.handle(), 0, ZMQ_POLLIN, 0 };
            const auto left = timeLeft(deadline);
            if (left.count() <= 0)
                return std::nullopt;
            zmq::poll(&item, 1, left);
            zmq::message_t message;
            if (!socket_.recv(message, zmq::recv_flags::dontwait))
                continue;
            proto::Envelope envelope;
            const bool parsed = envelope.ParseFromArray(message.data(),
                                                        static_cast<int>(message.size()));
            if (parsed && envelope.has_operator_reply()
                && envelope.operator_reply().request_id() == requestId)
                return envelope.operator_reply();
        }
    }

private:
    static std::chrono::milliseconds timeLeft(Clock::time_point deadline)
    {
        return std::chrono::ceil<std::chrono::milliseconds>(deadline - Clock::now());
    }

    zmq::context_t context_;
    zmq::socket_t socket_;
    zmq::socket_t monitor_;
};

} // namespace

Result callOperator(const OperatorClientOptions &options, proto::OperatorRequest request)
{
    if (request.request_id().empty())
        request.set_request_id(makeRandomId());
    const std::string requestId = request.request_id();
    proto::Envelope envelope;
    *envelope.mutable_operator_request() = std::move(request);
    const Clock::time_point deadline = Clock::now() + options.timeout;
    try {
        Connection connection(options);
        if (auto error = connection.send(envelope.SerializeAsString(), deadline))
            return *error;
        auto reply = connection.receive(requestId, deadline + kReplyMargin);
        if (!reply)
            return failure(ClientFailure::NoReply, "no reply in time");
        return *reply;
    } catch (const zmq::error_t &error) {
        return failure(ClientFailure::Usage,
                       "cannot use the endpoint or a key: " + std::string(error.what()));
    }
}

} // namespace auburn
