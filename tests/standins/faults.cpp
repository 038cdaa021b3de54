#include "faults.h"

#include <QJsonDocument>

#include <memory>
#include <utility>

namespace auburn::standins {

namespace http = boost::beast::http;

Faults::Faults(boost::asio::io_context &context)
    : context_(context)
    , refuseTimer_(context)
{}

void Faults::apply(const QJsonObject &control, HttpServer &server, const ResponderPtr &responder)
{
    outage_ = control[QLatin1String("outage")].toBool(outage_);
    delay_ = std::chrono::milliseconds(
            control[QLatin1String("delay_ms")].toInteger(delay_.count()));
    dropAnswers_ = control[QLatin1String("drop_answers")].toInt(dropAnswers_);
    if (control[QLatin1String("silence_connections")].toBool())
        server.silenceOpenConnections(responder);
    const QJsonValue refuse = control[QLatin1String("refuse")];
    if (refuse.isBool())
        server.setRefusing(refuse.toBool(), responder);
    const qint64 refuseTime = control[QLatin1String("refuse_ms")].toInteger(0);
    if (refuseTime > 0) {
        server.setRefusing(true, responder);
        refuseTimer_.expires_after(std::chrono::milliseconds(refuseTime));
        refuseTimer_.async_wait([&server](boost::system::error_code error) {
            if (!error)
                server.setRefusing(false, nullptr);
        });
    }
}

void Faults::pass(const ResponderPtr &responder, std::function<void()> task)
{
    if (outage_) {
        responder->send(http::status::service_unavailable, R"({"error":"outage"})");
        return;
    }
    if (delay_.count() == 0) {
        task();
        return;
    }
    const auto timer = std::make_shared<boost::asio::steady_timer>(context_, delay_);
    timer->async_wait([timer, task = std::move(task)](boost::system::error_code) { task(); });
}

void Faults::answerEffect(const ResponderPtr &responder, std::string json)
{
    if (dropAnswers_ > 0) {
        --dropAnswers_;
        responder->drop();
        return;
    }
    responder->send(http::status::ok, std::move(json));
}

QJsonObject jsonObjectOf(const std::string &body)
{
    return QJsonDocument::fromJson(QByteArray::fromStdString(body)).object();
}

std::string toJson(const QJsonObject &object)
{
    return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

} // namespace auburn::standins
