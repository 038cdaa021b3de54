#include "prompt.h"

#include "auburn/core/hash.h"
#include "auburn/core/lasterror.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QJsonValue>

#include <algorithm>

namespace auburn {

namespace {

constexpr qsizetype kPrefixBytes = 2048;
// Usual estimate for English text.
constexpr std::size_t kBytesPerToken = 4;

QJsonDocument parseJson(std::string_view body, QJsonParseError *error)
{
    const auto size = static_cast<qsizetype>(body.size());
    return QJsonDocument::fromJson(QByteArray::fromRawData(body.data(), size), error);
}

// The content of a message is a string or an array of parts.
QByteArray contentBytes(const QJsonValue &content)
{
    if (content.isArray())
        return QJsonDocument(content.toArray()).toJson(QJsonDocument::Compact);
    return content.toString().toUtf8();
}

std::uint64_t prefixHashOf(const QString &model, const QJsonArray &messages)
{
    if (messages.isEmpty())
        return 0;
    QByteArray first = contentBytes(messages.first().toObject().value("content"));
    first.truncate(std::min(first.size(), kPrefixBytes));
    first.append('\0').append(model.toUtf8());
    return stableHash(std::string_view(first.constData(), static_cast<std::size_t>(first.size())));
}

} // namespace

std::optional<Prompt> parsePrompt(std::string_view body)
{
    QJsonParseError error;
    const QJsonDocument document = parseJson(body, &error);
    if (error.error != QJsonParseError::NoError) {
        setLastError("the body is not valid JSON: " + error.errorString().toStdString()
                     + " at byte " + std::to_string(error.offset));
        return std::nullopt;
    }
    const QJsonObject object = document.object();
    const QJsonValue model = object.value("model");
    if (!model.isString() || model.toString().isEmpty()) {
        setLastError("the body must be a JSON object with the string field 'model'");
        return std::nullopt;
    }
    if (!object.value("messages").isArray()) {
        setLastError("the field 'messages' must be an array");
        return std::nullopt;
    }
    const QJsonValue stream = object.value("stream");
    if (!stream.isUndefined() && !stream.isNull() && !stream.isBool()) {
        setLastError("the field 'stream' must be true or false");
        return std::nullopt;
    }
    return Prompt{ .model = model.toString().toStdString(),
                   .stream = stream.toBool(),
                   .prefixHash = prefixHashOf(model.toString(), object.value("messages").toArray()),
                   .tokens = static_cast<unsigned>(body.size() / kBytesPerToken) };
}

std::string withPriority(const std::string &body, unsigned priority)
{
    if (body.find("\"priority\"") != std::string::npos) {
        QJsonObject object = parseJson(body, nullptr).object();
        object.insert("priority", static_cast<int>(priority));
        return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
    }
    // The object has at least the field 'model', so a comma is always right. Editing the text
    // keeps numbers and key order as the caller wrote them. The field goes to the end because
    // parsers take the last of two equal keys, and a caller could write its own key with escapes.
    std::string result;
    result.reserve(body.size() + 24);
    const std::size_t brace = body.rfind('}');
    result.append(body, 0, brace);
    result.append(",\"priority\":").append(std::to_string(priority));
    result.append(body, brace);
    return result;
}

} // namespace auburn
