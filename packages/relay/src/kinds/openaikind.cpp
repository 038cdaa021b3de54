// Engines with the OpenAI-compatible API of section 4 of the design page.
#include "auburn/relay/backendserverkind.h"
#include "prompt.h"

#include <QJsonDocument>
#include <QJsonObject>

namespace auburn {

namespace {

class OpenaiKind final : public BackendServerKind
{
public:
    BackendServerMessage message(const RelayRequest &request, const std::string &attemptId,
                                 const std::string &traceparent) const override
    {
        BackendServerMessage message{ .method = request.method,
                                      .target = request.target,
                                      .requestId = attemptId,
                                      .fields = { { "Content-Type", "application/json" } } };
        if (request.stream)
            message.fields.push_back({ "Accept", "text/event-stream" });
        if (!traceparent.empty())
            message.fields.push_back({ "traceparent", traceparent });
        if (!request.idempotencyKey.empty())
            message.fields.push_back({ "Idempotency-Key", request.idempotencyKey });
        message.body = std::make_shared<const std::string>(
                withPriority(request.body, request.tier));
        return message;
    }

    std::optional<BackendServerMessage> resume(const std::string &attemptId,
                                               const std::string &lastEventId) const override
    {
        return BackendServerMessage{ .method = "GET",
                                     .target = "/v1/requests/" + attemptId + "/stream",
                                     .fields = { { "Accept", "text/event-stream" },
                                                 { "Last-Event-ID", lastEventId } } };
    }

    std::optional<BackendServerMessage> cancel(const std::string &attemptId) const override
    {
        return BackendServerMessage{ .method = "DELETE", .target = "/v1/requests/" + attemptId };
    }

    unsigned tokensIn(const std::string &answerBody) const override
    {
        const auto size = static_cast<qsizetype>(answerBody.size());
        const QByteArray bytes = QByteArray::fromRawData(answerBody.data(), size);
        const QJsonObject usage = QJsonDocument::fromJson(bytes).object().value("usage").toObject();
        return static_cast<unsigned>(usage.value("completion_tokens").toInt());
    }
};

const BackendServerKindRegistry::Registration kRegistration("openai", [] {
    return std::make_unique<OpenaiKind>();
});

} // namespace

} // namespace auburn
