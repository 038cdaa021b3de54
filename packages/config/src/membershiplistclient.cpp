#include "auburn/config/membershiplistclient.h"

#include "auburn/core/lasterror.h"
#include "platformhttp.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <utility>

namespace auburn {

namespace {

std::string textOf(const QJsonObject &object, const char *key)
{
    return object[QLatin1String(key)].toString().toStdString();
}

std::optional<ListedMember> memberOf(const QJsonObject &object)
{
    const std::string kind = textOf(object, "kind");
    const std::string state = textOf(object, "state");
    ListedMember member{ .name = textOf(object, "name"),
                         .kind = kind == "backend_server" ? ListedKind::BackendServer
                                                          : ListedKind::Daemon,
                         .service = textOf(object, "service"),
                         .failureDomain = textOf(object, "failure_domain"),
                         .region = textOf(object, "region"),
                         .endpoint = textOf(object, "address"),
                         .leaving = state == "leaving" };
    const bool known = (kind == "daemon" || kind == "backend_server")
                       && (state == "live" || state == "leaving") && !member.name.empty();
    if (!known)
        return std::nullopt;
    return member;
}

std::optional<std::vector<ListedMember>> membersOf(const HttpResult &result)
{
    if (const auto *failure = std::get_if<HttpFailure>(&result)) {
        setLastError(failure->reason);
        return std::nullopt;
    }
    const auto &answer = std::get<HttpAnswer>(result);
    const QJsonValue list = QJsonDocument::fromJson(answer.body).object()[QLatin1String("members")];
    if (answer.status != 200 || !list.isArray()) {
        setLastError("the membership list answered with HTTP status "
                     + std::to_string(answer.status) + " and no list");
        return std::nullopt;
    }
    std::vector<ListedMember> members;
    const QJsonArray entries = list.toArray();
    for (const auto &entry : entries) {
        if (auto member = memberOf(entry.toObject()))
            members.push_back(std::move(*member));
    }
    return members;
}

class HttpMembershipListClient : public MembershipListClient
{
public:
    HttpMembershipListClient(QUrl baseUrl, const MembershipListClientOptions &options)
        : timeout_(options.timeout)
        , http_(std::move(baseUrl), options.maxAnswerBytes)
    {}

    void list(Callback callback) override
    {
        http_.get(QStringLiteral("/v1/members"), timeout_,
                  [callback = std::move(callback)](const HttpResult &result) {
                      callback(membersOf(result));
                  });
    }

private:
    std::chrono::milliseconds timeout_;
    PlatformHttp http_;
};

} // namespace

std::unique_ptr<MembershipListClient> MembershipListClient::make(
        const MembershipListClientOptions &options)
{
    auto url = PlatformHttp::parseBaseUrl(options.baseUrl);
    if (!url)
        return nullptr;
    return std::make_unique<HttpMembershipListClient>(std::move(*url), options);
}

} // namespace auburn
