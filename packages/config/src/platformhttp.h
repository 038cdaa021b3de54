// PlatformHttp: HTTP requests to one platform service, each bounded in time and size.
#pragma once

#include <QByteArray>
#include <QNetworkAccessManager>
#include <QNetworkRequest>
#include <QObject>
#include <QUrl>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

class QNetworkReply;

namespace auburn {

struct HttpAnswer
{
    int status = 0;
    QByteArray body;
    // Qt sends a request again on its own when a connection closes before the response.
    unsigned timesSent = 0;
};

struct HttpFailure
{
    std::string reason;
    // True if no connection was made, so that the server has seen nothing of the request.
    bool neverSent = false;
};

using HttpResult = std::variant<HttpAnswer, HttpFailure>;

// Each request uses a manager, and so a connection, of its own. The responses carry no request id,
// so on a connection that has carried another request a late copy of an earlier response could not
// be told from the response to this one.
class PlatformHttp
{
public:
    using Callback = std::function<void(HttpResult)>;

    PlatformHttp(QUrl baseUrl, std::size_t maxAnswerBytes);

    // The base URL; empty, with lastError() set, unless it is an http URL with a host.
    static std::optional<QUrl> parseBaseUrl(const std::string &text);

    // pathAndQuery is percent-encoded and starts with a slash.
    void get(const QString &pathAndQuery, std::chrono::milliseconds timeout, Callback callback);
    void post(const QString &path, const std::string &body, std::chrono::milliseconds timeout,
              Callback callback);

private:
    using Manager = std::shared_ptr<QNetworkAccessManager>;

    static Manager makeManager();
    QNetworkRequest request(const QString &pathAndQuery) const;
    void watch(const Manager &manager, QNetworkReply *reply, std::chrono::milliseconds timeout,
               Callback callback);

    QUrl baseUrl_;
    std::size_t maxAnswerBytes_;
    QObject context_;
};

} // namespace auburn
