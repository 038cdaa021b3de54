#include "zaphandler.h"

#include "auburn/core/log.h"

#include <array>
#include <zmq_addon.hpp>

namespace auburn {

namespace {

constexpr const char *kZapAddress = "inproc://zeromq.zap.01";
constexpr std::size_t kCurveKeyBytes = 32;

// Number of frames in a request: version, request id, domain, address, identity, mechanism,
// credentials.
constexpr std::size_t kRequestFrameCount = 7;

} // namespace

ZapHandler::ZapHandler(zmq::context_t &context, const std::vector<OperatorKey> &operators)
    : socket_(context, zmq::socket_type::rep)
{
    for (const OperatorKey &entry : operators) {
        std::array<std::uint8_t, kCurveKeyBytes> bytes{};
        if (zmq_z85_decode(bytes.data(), entry.publicKey.c_str()))
            namesByKey_[std::string(bytes.begin(), bytes.end())] = entry.name;
    }
    socket_.set(zmq::sockopt::linger, 0);
    socket_.bind(kZapAddress);
}

void ZapHandler::handleRequest()
{
    std::vector<zmq::message_t> frames;
    if (!zmq::recv_multipart(socket_, std::back_inserter(frames), zmq::recv_flags::dontwait))
        return;
    if (frames.size() != kRequestFrameCount || frames[5].to_string_view() != "CURVE") {
        sendReply(frames.size() > 1 ? frames[1].to_string() : std::string(), {});
        return;
    }
    const std::string name = operatorForKey(frames[6].to_string());
    if (name.empty())
        logEvent(LogLevel::Warning, "operator_key_rejected",
                 { { "address", frames[3].to_string() } });
    sendReply(frames[1].to_string(), name);
}

std::string ZapHandler::operatorForKey(const std::string &keyBytes) const
{
    const auto found = namesByKey_.find(keyBytes);
    return found == namesByKey_.end() ? std::string() : found->second;
}

void ZapHandler::sendReply(const std::string &requestId, const std::string &operatorName)
{
    const bool accepted = !operatorName.empty();
    const std::array<zmq::const_buffer, 6> frames{
        zmq::str_buffer("1.0"),
        zmq::buffer(requestId),
        accepted ? zmq::const_buffer(zmq::str_buffer("200")) : zmq::str_buffer("400"),
        accepted ? zmq::const_buffer(zmq::str_buffer("OK")) : zmq::str_buffer("Unknown key"),
        zmq::buffer(operatorName),
        zmq::const_buffer(),
    };
    zmq::send_multipart(socket_, frames, zmq::send_flags::dontwait);
}

} // namespace auburn
