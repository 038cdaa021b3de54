#include "loadpoller.h"

#include "auburn/schedule/cells.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <QNetworkReply>
#include <QNetworkRequest>
#include <QUrl>

namespace auburn {

namespace {

// A load report is one small object; a runner that sends more is not reporting its load.
constexpr qint64 kMaxReportBytes = 4096;

std::optional<RunnerLoad> parseLoad(const QByteArray &text)
{
    const QJsonDocument document = QJsonDocument::fromJson(text);
    if (!document.isObject())
        return std::nullopt;
    const QJsonObject object = document.object();
    const int running = object["running"].toInt(-1);
    const int waiting = object["waiting"].toInt(-1);
    if (running < 0 || waiting < 0)
        return std::nullopt;
    return RunnerLoad{ .running = static_cast<unsigned>(running),
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
            pollPool(*service, *config, *view);
    }
}

void LoadPoller::pollPool(const Service &service, const ConfigState &config, const MemberView &view)
{
    const std::vector<const Runner *> runners = config.runners(service.name, view.place);
    const unsigned cells = cellCount(runners.size());
    for (const Runner *runner : runners) {
        const unsigned cell = cellOfRunner(runner->name, cells);
        if (view.ownerOf(cellKey(service.name, view.place, cell)) == view.selfId)
            poll(*runner);
    }
}

void LoadPoller::poll(const Runner &runner)
{
    if (!pending_.insert(runner.name).second)
        return;
    QNetworkRequest request(QUrl(QString::fromStdString("http://" + runner.address + "/load")));
    request.setTransferTimeout(static_cast<int>(options_.timeout.count()));
    QNetworkReply *reply = network_.get(request);
    QObject::connect(reply, &QNetworkReply::finished, reply, [this, reply, name = runner.name] {
        pending_.erase(name);
        reply->deleteLater();
        if (reply->error() != QNetworkReply::NoError)
            return;
        if (const std::optional<RunnerLoad> load = parseLoad(reply->read(kMaxReportBytes)))
            options_.report(name, *load);
    });
}

} // namespace auburn
