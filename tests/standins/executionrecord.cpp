#include "executionrecord.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <utility>

namespace auburn::standin {

Execution &ExecutionRecord::add(std::string requestId, std::string idempotencyKey)
{
    return executions_.emplace_back(Execution{ .requestId = std::move(requestId),
                                               .idempotencyKey = std::move(idempotencyKey) });
}

std::string ExecutionRecord::toJson() const
{
    QJsonArray list;
    for (const Execution &execution : executions_) {
        list.append(QJsonObject{
                { "request_id", QString::fromStdString(execution.requestId) },
                { "idempotency_key", QString::fromStdString(execution.idempotencyKey) },
                { "tokens", static_cast<int>(execution.tokens) },
                { "finished", execution.finished },
                { "cancelled", execution.cancelled } });
    }
    const QJsonObject object{ { "executions", list } };
    return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

} // namespace auburn::standin
