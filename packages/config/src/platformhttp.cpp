#include "platformhttp.h"

#include "auburn/core/lasterror.h"

#include <QNetworkProxy>
#include <QNetworkReply>
#include <QTimer>

#include <utility>

namespace auburn {

namespace {

// State of a request in progress.
struct Progress
{
    unsigned timesSent = 0;
    std::string abortReason;
};

HttpResult resultOf(QNetworkReply &reply, const Progress &progress)
{
    const QVariant status = reply.attribute(QNetworkRequest::HttpStatusCodeAttribute);
    const bool whole = progress.abortReason.empty() && status.isValid()
                       && reply.error() != QNetworkReply::RemoteHostClosedError;
    if (whole)
        return HttpAnswer{ status.toInt(), reply.readAll(), progress.timesSent };
    const std::string reason = progress.abortReason.empty() ? reply.errorString().toStdString()
                                                            : progress.abortReason;
    const bool refused = reply.error() == QNetworkReply::ConnectionRefusedError;
    return HttpFailure{ .reason = reason, .neverSent = refused && progress.timesSent == 0 };
}

} // namespace

PlatformHttp::PlatformHttp(QUrl baseUrl, std::size_t maxAnswerBytes)
    : baseUrl_(std::move(baseUrl))
    , maxAnswerBytes_(maxAnswerBytes)
{}

std::optional<QUrl> PlatformHttp::parseBaseUrl(const std::string &text)
{
    QUrl url(QString::fromStdString(text), QUrl::StrictMode);
    if (!url.isValid() || url.scheme() != QLatin1String("http") || url.host().isEmpty()) {
        setLastError("not an http URL: " + text);
        return std::nullopt;
    }
    return url;
}

PlatformHttp::Manager PlatformHttp::makeManager()
{
    // Deleted later because the last reference can go away inside one of its own signals.
    Manager manager(new QNetworkAccessManager, [](QObject *object) { object->deleteLater(); });
    manager->setProxy(QNetworkProxy::NoProxy);
    manager->setRedirectPolicy(QNetworkRequest::ManualRedirectPolicy);
    return manager;
}

QNetworkRequest PlatformHttp::request(const QString &pathAndQuery) const
{
    QString base = baseUrl_.toString(QUrl::FullyEncoded);
    if (base.endsWith(QLatin1Char('/')))
        base.chop(1);
    QNetworkRequest request(QUrl(base + pathAndQuery, QUrl::StrictMode));
    request.setAttribute(QNetworkRequest::Http2AllowedAttribute, false);
    request.setAttribute(QNetworkRequest::CacheLoadControlAttribute,
                         QNetworkRequest::AlwaysNetwork);
    return request;
}

void PlatformHttp::get(const QString &pathAndQuery, std::chrono::milliseconds timeout,
                       Callback callback)
{
    const Manager manager = makeManager();
    watch(manager, manager->get(request(pathAndQuery)), timeout, std::move(callback));
}

void PlatformHttp::post(const QString &path, const std::string &body,
                        std::chrono::milliseconds timeout, Callback callback)
{
    const Manager manager = makeManager();
    QNetworkRequest post = request(path);
    post.setHeader(QNetworkRequest::ContentTypeHeader, QByteArray("application/octet-stream"));
    watch(manager, manager->post(post, QByteArray::fromStdString(body)), timeout,
          std::move(callback));
}

void PlatformHttp::watch(const Manager &manager, QNetworkReply *reply,
                         std::chrono::milliseconds timeout, Callback callback)
{
    const auto progress = std::make_shared<Progress>();
    const auto abort = [reply, progress](const char *reason) {
        if (!progress->abortReason.empty())
            return;
        progress->abortReason = reason;
        reply->abort();
    };
    QObject::connect(reply, &QNetworkReply::requestSent, &context_,
                     [progress]() { ++progress->timesSent; });
    QObject::connect(reply, &QNetworkReply::downloadProgress, &context_,
                     [this, abort](qint64 received, qint64) {
                         if (received > static_cast<qint64>(maxAnswerBytes_))
                             abort("answer is too long");
                     });
    // The connection holds the manager until the reply is deleted.
    QObject::connect(reply, &QNetworkReply::finished, &context_,
                     [manager, reply, progress, callback = std::move(callback)]() {
                         const HttpResult result = resultOf(*reply, *progress);
                         reply->deleteLater();
                         callback(result);
                     });
    // The whole call is bounded: Qt's transfer timeout starts again with every byte received.
    QTimer::singleShot(timeout, reply, [abort]() { abort("no answer in time"); });
}

} // namespace auburn
