#include "testplatform.h"

#include <QDeadlineTimer>
#include <QJsonDocument>
#include <QTcpSocket>
#include <QTimer>

#include <boost/test/unit_test.hpp>

namespace auburn::tests {

namespace {

constexpr int kWaitMs = 60000;

} // namespace

void waitUntil(const std::function<bool()> &condition)
{
    const QDeadlineTimer deadline(kWaitMs);
    // Wakes the loop so that conditions which other threads change are seen.
    QTimer wakeUp;
    wakeUp.start(5);
    while (!condition()) {
        BOOST_REQUIRE_MESSAGE(!deadline.hasExpired(), "the awaited condition did not come true");
        QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents);
    }
}

void runFor(std::chrono::milliseconds time)
{
    bool over = false;
    QTimer::singleShot(time, [&over]() { over = true; });
    waitUntil([&over]() { return over; });
}

StandIn::StandIn(const QString &program, const QStringList &arguments)
{
    process_.setProcessChannelMode(QProcess::ForwardedErrorChannel);
    process_.start(QStringLiteral(STANDIN_FOLDER "/") + program,
                   QStringList(arguments) << QStringLiteral("--exit-with-parent"));
    BOOST_REQUIRE(process_.waitForReadyRead(kWaitMs));
    const QByteArray line = process_.readLine().trimmed();
    BOOST_REQUIRE(line.startsWith("listening 127.0.0.1:"));
    port_ = line.mid(line.lastIndexOf(':') + 1).toUShort();
}

StandIn::~StandIn()
{
    process_.terminate();
    process_.waitForFinished(kWaitMs);
}

std::string StandIn::baseUrl() const
{
    return "http://127.0.0.1:" + std::to_string(port_);
}

QJsonObject StandIn::call(const QByteArray &method, const QString &path, const QByteArray &body)
{
    QTcpSocket socket;
    socket.connectToHost(QStringLiteral("127.0.0.1"), port_);
    BOOST_REQUIRE(socket.waitForConnected(kWaitMs));
    socket.write(method + ' ' + path.toLatin1() + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
                 + "Content-Length: " + QByteArray::number(body.size()) + "\r\n\r\n" + body);
    while (socket.state() == QAbstractSocket::ConnectedState)
        socket.waitForDisconnected(kWaitMs);
    const QByteArray answer = socket.readAll();
    BOOST_REQUIRE(answer.startsWith("HTTP/1.1 200"));
    return QJsonDocument::fromJson(answer.mid(answer.indexOf("\r\n\r\n") + 4)).object();
}

void StandIn::control(const QJsonObject &fields)
{
    call("POST", QStringLiteral("/control"), QJsonDocument(fields).toJson());
}

QJsonObject StandIn::get(const QString &path)
{
    return call("GET", path, {});
}

void StandIn::put(const QString &path, const QJsonObject &body)
{
    call("PUT", path, QJsonDocument(body).toJson());
}

qint64 StandIn::streamStat(const QString &stream, const QString &name)
{
    const QJsonObject streams = get(QStringLiteral("/control/stats"))[QLatin1String("streams")]
                                        .toObject();
    return streams[stream].toObject()[name].toInteger();
}

LoopFixture::LoopFixture()
    : application_(std::make_unique<QCoreApplication>(argc_, argv_))
{}

TestDaemon::TestDaemon(TestNetwork &network, const std::string &id, const std::string &logUrl,
                       std::chrono::milliseconds pollWait)
    : bus(network.makeBus(id))
    , log(LogClient::make({ .baseUrl = logUrl, .appendTimeout = std::chrono::milliseconds(500) }))
{
    const ConfigFollowerOptions options{ .pollWait = pollWait,
                                         .overdueAfter = std::chrono::milliseconds(100),
                                         .retryMin = std::chrono::milliseconds(20),
                                         .retryMax = std::chrono::milliseconds(200),
                                         .bootPeerWait = std::chrono::milliseconds(100),
                                         .pullTimeout = std::chrono::milliseconds(200),
                                         .chunkBytes = 256 };
    follower = ConfigFollower::make(options, *log, *bus, store);
    publisher = ConfigPublisher::make({ .retryDelay = std::chrono::milliseconds(20) }, *log,
                                      *follower, store);
}

PublishResult TestDaemon::submit(const proto::ConfigChange &change)
{
    std::optional<PublishResult> result;
    publisher->submit(change, [&result](const PublishResult &given) { result = given; });
    waitUntil([&result]() { return result.has_value(); });
    return *result;
}

AppendResult appendAndWait(LogClient &log, const std::string &stream, const std::string &bytes)
{
    std::optional<AppendResult> result;
    log.append(stream, bytes, [&result](const AppendResult &given) { result = given; });
    waitUntil([&result]() { return result.has_value(); });
    return *result;
}

std::unique_ptr<LogClient> PlatformFixture::makeLogClient(std::chrono::milliseconds appendTimeout)
{
    return LogClient::make({ .baseUrl = logProcess.baseUrl(), .appendTimeout = appendTimeout });
}

} // namespace auburn::tests
