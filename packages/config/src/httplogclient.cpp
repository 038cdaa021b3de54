#include "httplogclient.h"

#include "auburn/core/lasterror.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <utility>

namespace auburn {

namespace {

std::string statusText(int status)
{
    return "the log answered with HTTP status " + std::to_string(status);
}

// A 4xx response is the log's refusal. It proves nothing if the request was sent twice, because the
// first copy may have been appended; 408 and 5xx responses can follow after the effect.
bool isCertainRefusal(const HttpAnswer &answer)
{
    const bool clientError = answer.status >= 400 && answer.status < 500;
    return clientError && answer.status != 408 && answer.timesSent <= 1;
}

std::optional<std::uint64_t> numberOf(const QJsonValue &value)
{
    const qint64 number = value.toInteger(-1);
    if (number < 0)
        return std::nullopt;
    return static_cast<std::uint64_t>(number);
}

AppendResult appendResultOf(const HttpResult &result)
{
    if (const auto *failure = std::get_if<HttpFailure>(&result)) {
        if (failure->neverSent)
            return NotAppended{ failure->reason };
        return AppendUnknown{ failure->reason };
    }
    const auto &answer = std::get<HttpAnswer>(result);
    if (isCertainRefusal(answer))
        return NotAppended{ statusText(answer.status) };
    if (answer.status != 200 && answer.status != 201)
        return AppendUnknown{ statusText(answer.status) };
    const QJsonObject body = QJsonDocument::fromJson(answer.body).object();
    const auto offset = numberOf(body[QLatin1String("offset")]);
    if (!offset)
        return AppendUnknown{ "the log's answer holds no offset" };
    return Appended{ *offset };
}

std::optional<LogRecord> recordOf(const QJsonObject &object)
{
    const auto offset = numberOf(object[QLatin1String("offset")]);
    const QJsonValue data = object[QLatin1String("data")];
    if (!offset || !data.isString())
        return std::nullopt;
    const auto decoded = QByteArray::fromBase64Encoding(data.toString().toLatin1(),
                                                        QByteArray::AbortOnBase64DecodingErrors);
    if (!decoded)
        return std::nullopt;
    const qint64 time = object[QLatin1String("time_ms")].toInteger(0);
    return LogRecord{ .offset = *offset,
                      .time = std::chrono::milliseconds(time),
                      .data = decoded.decoded.toStdString() };
}

std::optional<LogBatch> failRead(std::string reason)
{
    setLastError(std::move(reason));
    return std::nullopt;
}

std::optional<LogBatch> batchOf(const HttpResult &result)
{
    if (const auto *failure = std::get_if<HttpFailure>(&result))
        return failRead(failure->reason);
    const auto &answer = std::get<HttpAnswer>(result);
    if (answer.status != 200)
        return failRead(statusText(answer.status));
    const QJsonObject body = QJsonDocument::fromJson(answer.body).object();
    const auto earliest = numberOf(body[QLatin1String("earliest")]);
    const auto next = numberOf(body[QLatin1String("next")]);
    if (!earliest || !next)
        return failRead("the log's answer has no earliest or next offset");
    LogBatch batch{ .earliest = *earliest, .next = *next };
    const QJsonArray entries = body[QLatin1String("records")].toArray();
    for (const auto &entry : entries) {
        auto record = recordOf(entry.toObject());
        if (!record)
            return failRead("the log's answer has a malformed record");
        if (!batch.records.empty() && record->offset <= batch.records.back().offset)
            return failRead("the log's answer is not in offset order");
        batch.records.push_back(std::move(*record));
    }
    return batch;
}

QString recordsPath(const std::string &stream)
{
    const QByteArray name = QUrl::toPercentEncoding(QString::fromStdString(stream));
    return QLatin1String("/v1/streams/") + QLatin1String(name) + QLatin1String("/records");
}

} // namespace

std::unique_ptr<LogClient> LogClient::make(const LogClientOptions &options)
{
    auto url = PlatformHttp::parseBaseUrl(options.baseUrl);
    if (!url)
        return nullptr;
    return std::make_unique<HttpLogClient>(std::move(*url), options);
}

HttpLogClient::HttpLogClient(QUrl baseUrl, const LogClientOptions &options)
    : options_(options)
    , http_(std::move(baseUrl), options.maxAnswerBytes)
{}

void HttpLogClient::append(const std::string &stream, std::string bytes, AppendCallback callback)
{
    http_.post(recordsPath(stream), bytes, options_.appendTimeout,
               [callback = std::move(callback)](const HttpResult &result) {
                   callback(appendResultOf(result));
               });
}

void HttpLogClient::read(const std::string &stream, std::uint64_t from, std::size_t max,
                         std::chrono::milliseconds wait, ReadCallback callback)
{
    const QString query = QStringLiteral("?from=%1&max=%2&wait_ms=%3")
                                  .arg(from)
                                  .arg(max)
                                  .arg(static_cast<qint64>(wait.count()));
    http_.get(recordsPath(stream) + query, wait + options_.readMargin,
              [callback = std::move(callback)](const HttpResult &result) {
                  callback(batchOf(result));
              });
}

} // namespace auburn
