#include "loadpoller.h"

#include "auburn/core/log.h"
#include "auburn/schedule/cells.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <QNetworkReply>
#include <QNetworkRequest>
#include <QUrl>

namespace auburn {

namespace {

// Maximum number of bytes read of a load report, which is one small JSON object. A backend server
// that sends more is not sending a load report.
constexpr qint64 kMaxReportBytes = 4096;

std::optional<BackendServerLoad> parseLoad(const QByteArray &text)
{
    const QJsonDocument document = QJsonDocument::fromJson(text);
    if (!document.isObject())
        return std::nullopt;
    const QJsonObject object = document.object();
    const int running = object["running"].toInt(-1);
    const int waiting = object["waiting"].toInt(-1);
    if (running < 0 || waiting < 0)
        return std::nullopt;
    return BackendServerLoad{ .running = static_cast<unsigned>(running),
                              .waiting = static_cast<unsigned>(waiting) };
}

} // namespace

LoadPoller::LoadPoller(Options options)
    : options_(std::move(options))
{
    timer_.setInterval(options_.interval);
    QObject::connect(&timer_, &QTimer::timeout, &timer_, [this] { pollAll(); });
}

void LoadPoller::start()
{
    timer_.start();
}

void LoadPoller::stop()
{
    timer_.stop();
}

void LoadPoller::pollAll()
{
    const std::shared_ptr<const ConfigState> config = options_.config();
    if (!config)
        return;
    const std::shared_ptr<const MemberView> view = options_.views->view();
    for (const Service *service : config->services()) {
        if (service->kind == ServiceKind::Engine)
            pollService(*service, *config, *view);
    }
}

void LoadPoller::pollService(const Service &service, const ConfigState &config,
                             const MemberView &view)
{
    const std::vector<const BackendServer *> backendServers = config.backendServers(
            service.name, view.failureDomain);
    const unsigned cells = cellCount(backendServers.size());
    for (const BackendServer *backendServer : backendServers) {
        const unsigned cell = cellOfBackendServer(backendServer->name, cells);
        if (view.ownerOf(cellKey(service.name, view.failureDomain, cell)) == view.selfId)
            pollBackendServer(*backendServer);
    }
}

void LoadPoller::pollBackendServer(const BackendServer &backendServer)
{
    if (!activePolls_.insert(backendServer.name).second)
        return;
    QNetworkRequest request(
            QUrl(QString::fromStdString("http://" + backendServer.address + "/load")));
    request.setTransferTimeout(static_cast<int>(options_.timeout.count()));
    QNetworkReply *reply = network_.get(request);
    QObject::connect(reply, &QNetworkReply::finished, reply,
                     [this, reply, name = backendServer.name] {
                         activePolls_.erase(name);
                         reply->deleteLater();
                         handleReply(name, *reply);
                     });
}

void LoadPoller::handleReply(const std::string &backendServer, QNetworkReply &reply)
{
    if (reply.error() != QNetworkReply::NoError) {
        handleFailure(backendServer, reply.errorString().toStdString());
        return;
    }
    const std::optional<BackendServerLoad> load = parseLoad(reply.read(kMaxReportBytes));
    if (!load) {
        handleFailure(backendServer,
                      "the report cannot be read as JSON with the two expected integers");
        return;
    }
    if (failingBackendServers_.erase(backendServer) > 0)
        logEvent(LogLevel::Info, "load_report_regained", { { "server", backendServer } });
    options_.report(backendServer, *load);
}

void LoadPoller::handleFailure(const std::string &backendServer, const std::string &reason)
{
    if (failingBackendServers_.insert(backendServer).second)
        logEvent(LogLevel::Warning, "load_report_failed",
                 { { "server", backendServer }, { "reason", reason } });
}

} // namespace auburn
