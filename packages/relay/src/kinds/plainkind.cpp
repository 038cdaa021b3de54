// Plain HTTP services: the caller's request is passed on as it is.
#include "auburn/relay/backendserverkind.h"

namespace auburn {

namespace {

class PlainKind final : public BackendServerKind
{
public:
    BackendServerMessage message(const RelayRequest &request, const std::string &attemptId,
                                 const std::string &traceparent) const override
    {
        BackendServerMessage message{ .method = request.method,
                                      .target = request.target,
                                      .requestId = attemptId,
                                      .fields = request.fields };
        if (!traceparent.empty())
            message.fields.push_back({ "traceparent", traceparent });
        if (!request.idempotencyKey.empty())
            message.fields.push_back({ "Idempotency-Key", request.idempotencyKey });
        message.body = std::make_shared<const std::string>(request.body);
        return message;
    }

    std::optional<BackendServerMessage> resume(const std::string & /*attemptId*/,
                                               const std::string & /*lastEventId*/) const override
    {
        return std::nullopt;
    }

    // A plain service has no cancel call; closing the connection is all there is.
    std::optional<BackendServerMessage> cancel(const std::string & /*attemptId*/) const override
    {
        return std::nullopt;
    }

    unsigned tokensIn(const std::string & /*answerBody*/) const override { return 0; }
};

const BackendServerKindRegistry::Registration kRegistration("plain", [] {
    return std::make_unique<PlainKind>();
});

} // namespace

} // namespace auburn
