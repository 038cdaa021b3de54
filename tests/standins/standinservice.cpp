#include "standinservice.h"

#include <boost/asio/steady_timer.hpp>

#include <QJsonDocument>

#include <utility>

namespace auburn::standin {

namespace asio = boost::asio;

std::string serviceAnswer(const std::string &requestId, const std::string &target,
                          const std::string &body)
{
    const QJsonObject answer{ { "request_id", QString::fromStdString(requestId) },
                              { "path", QString::fromStdString(target) },
                              { "echo", QString::fromStdString(body) } };
    return QJsonDocument(answer).toJson(QJsonDocument::Compact).toStdString();
}

std::unique_ptr<StandinService> StandinService::make(asio::io_context &context,
                                                     ServiceOptions options)
{
    std::unique_ptr<StandinService> service(new StandinService(context, std::move(options)));
    service->listener_ = HttpListener::make(
            context, service->options_.address, service->options_.port,
            [raw = service.get()](const std::shared_ptr<Exchange> &exchange) {
                raw->handle(exchange);
            });
    if (!service->listener_)
        return nullptr;
    return service;
}

StandinService::StandinService(asio::io_context &context, ServiceOptions options)
    : context_(context)
    , options_(std::move(options))
{}

void StandinService::handle(const std::shared_ptr<Exchange> &exchange)
{
    const std::string path = exchange->path();
    if (path == "/control/executions") {
        exchange->respond(200, record_.toJson());
        return;
    }
    if (path == "/control") {
        const auto body = QByteArray::fromStdString(exchange->request().body());
        const bool known = control(QJsonDocument::fromJson(body).object());
        exchange->respond(known ? 200 : 400, known ? R"({"ok":true})" : R"({"ok":false})");
        return;
    }
    if (path == "/load") {
        exchange->respond(200, R"({"running":0,"waiting":0,"slots":64})");
        return;
    }
    execute(exchange);
}

void StandinService::execute(const std::shared_ptr<Exchange> &exchange)
{
    ++arrivals_;
    const std::string requestId = exchange->field("X-Request-Id");
    if (failCount_ > 0) {
        --failCount_;
        exchange->respond(failStatus_, R"({"error":{"message":"injected failure"}})");
        return;
    }
    Execution &execution = record_.add(requestId, exchange->field("Idempotency-Key"));
    const std::string &body = exchange->request().body();
    if (!crashWord_.empty() && body.find(crashWord_) != std::string::npos) {
        crash();
        return;
    }
    if (dropCount_ > 0) {
        --dropCount_;
        exchange->drop();
        return;
    }
    const auto timer = std::make_shared<asio::steady_timer>(context_, options_.workTime);
    timer->async_wait([exchange, timer, &execution, requestId](boost::system::error_code error) {
        if (error)
            return;
        execution.finished = true;
        const std::string target(exchange->request().target());
        exchange->respond(200, serviceAnswer(requestId, target, exchange->request().body()));
    });
}

void StandinService::crash()
{
    if (options_.crash)
        options_.crash();
    listener_->crash();
}

bool StandinService::control(const QJsonObject &command)
{
    const QString action = command.value("action").toString();
    const auto count = static_cast<unsigned>(command.value("count").toInt());
    if (action == "crash") {
        crash();
    } else if (action == "freeze") {
        listener_->freeze();
    } else if (action == "thaw") {
        listener_->thaw();
    } else if (action == "silence") {
        listener_->silenceConnections();
    } else if (action == "drop") {
        dropCount_ = count;
    } else if (action == "fail") {
        failCount_ = count;
        failStatus_ = command.value("status").toInt(503);
    } else if (action == "crash_on_word") {
        crashWord_ = command.value("word").toString().toStdString();
    } else {
        return false;
    }
    return true;
}

} // namespace auburn::standin
