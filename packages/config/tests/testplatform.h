// Helpers for tests with the real stand-in processes: the event loop, the processes and a daemon's
// part of the config package.
#pragma once

#include "auburn/config/configfollower.h"
#include "auburn/config/configpublisher.h"
#include "auburn/config/configstore.h"
#include "auburn/config/logclient.h"
#include "auburn/config/snapshotwriter.h"
#include "testbus.h"

#include <QCoreApplication>
#include <QJsonObject>
#include <QProcess>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace auburn::tests {

// Runs Qt's event loop until the condition holds; fails the test if it does not within a minute.
void waitUntil(const std::function<bool()> &condition);

// Runs the event loop for a while, to give unwanted events the chance to happen.
void runFor(std::chrono::milliseconds time);

class StandIn
{
public:
    // Starts the program of this name with these arguments.
    StandIn(const QString &program, const QStringList &arguments);
    ~StandIn();

    // http://127.0.0.1:PORT
    std::string baseUrl() const;
    void control(const QJsonObject &fields);
    QJsonObject get(const QString &path);
    void put(const QString &path, const QJsonObject &body);
    // A counter of a stream, from /control/stats of the log.
    qint64 streamStat(const QString &stream, const QString &name);

private:
    QJsonObject call(const QByteArray &method, const QString &path, const QByteArray &body);

    QProcess process_;
    quint16 port_ = 0;
};

// Base of all fixtures that need Qt's event loop.
class LoopFixture
{
public:
    LoopFixture();

private:
    int argc_ = 1;
    char name_[5] = "test";
    char *argv_[2] = { name_, nullptr };
    std::unique_ptr<QCoreApplication> application_;
};

// The config package as one daemon has it.
class TestDaemon
{
public:
    TestDaemon(TestNetwork &network, const std::string &id, const std::string &logUrl,
               std::chrono::milliseconds pollWait);

    // Submits and waits for the result.
    PublishResult submit(const proto::ConfigChange &change);
    bool hasConfig() const { return store.current() != nullptr; }

    std::unique_ptr<MessageBus> bus;
    std::unique_ptr<LogClient> log;
    ConfigStore store;
    std::unique_ptr<ConfigFollower> follower;
    std::unique_ptr<ConfigPublisher> publisher;
};

// Appends one record and waits for the result.
AppendResult appendAndWait(LogClient &log, const std::string &stream, const std::string &bytes);

class PlatformFixture : public LoopFixture
{
public:
    std::unique_ptr<TestDaemon> makeDaemon(
            const std::string &id, std::chrono::milliseconds pollWait = std::chrono::seconds(5))
    {
        return std::make_unique<TestDaemon>(network, id, logProcess.baseUrl(), pollWait);
    }
    std::unique_ptr<LogClient> makeLogClient(std::chrono::milliseconds appendTimeout);

    StandIn logProcess{ QStringLiteral("standin_log"), {} };
    TestNetwork network;
};

} // namespace auburn::tests
