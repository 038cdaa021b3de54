#include "auburn/config/logclient.h"

#include "auburn/core/lasterror.h"
#include "testplatform.h"

#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>

#include <boost/test/unit_test.hpp>

namespace auburn {

using namespace tests;
using namespace std::chrono_literals;

namespace {

std::optional<LogBatch> readAndWait(LogClient &log, std::uint64_t from,
                                    std::chrono::milliseconds wait = 0ms)
{
    bool done = false;
    std::optional<LogBatch> result;
    log.read("s", from, 100, wait, [&](const std::optional<LogBatch> &batch) {
        result = batch;
        done = true;
    });
    waitUntil([&done]() { return done; });
    return result;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(logclient, PlatformFixture)

// Guards against bytes that change on their way through JSON, and wrong offsets.
BOOST_AUTO_TEST_CASE(append_binaryRecord_readBackUnchanged)
{
    const auto log = makeLogClient(2000ms);
    const std::string bytes("\0\xff\n\"\\ a", 7);
    BOOST_TEST(std::get<Appended>(appendAndWait(*log, "s", "first")).offset == 0U);
    BOOST_TEST(std::get<Appended>(appendAndWait(*log, "s", bytes)).offset == 1U);
    const auto batch = readAndWait(*log, 1);
    BOOST_REQUIRE(batch.has_value());
    BOOST_TEST(batch->earliest == 0U);
    BOOST_TEST(batch->next == 2U);
    BOOST_REQUIRE_EQUAL(batch->records.size(), 1U);
    BOOST_TEST(batch->records[0].data == bytes);
    BOOST_TEST(batch->records[0].time.count() > 0);
}

// Guards against a long poll that does not return when a record comes.
BOOST_AUTO_TEST_CASE(read_waitsForRecord_returnsItOnAppend)
{
    const auto log = makeLogClient(2000ms);
    std::optional<LogBatch> result;
    log->read("s", 0, 100, 50000ms,
              [&result](const std::optional<LogBatch> &batch) { result = batch; });
    waitUntil([this]() {
        return logProcess.streamStat(QStringLiteral("s"), QStringLiteral("reads")) == 1;
    });
    appendAndWait(*log, "s", "a");
    waitUntil([&result]() { return result.has_value(); });
    BOOST_TEST(result->records.size() == 1U);
}

// Guards against a lost answer that is reported as "not appended", which would let a caller append
// under a new id.
BOOST_AUTO_TEST_CASE(append_answersLost_resultIsUnknown)
{
    const auto log = makeLogClient(2000ms);
    // Qt repeats a POST up to three times on its own when the connection closes.
    logProcess.control({ { QStringLiteral("drop_answers"), 10 } });
    BOOST_CHECK(std::holds_alternative<AppendUnknown>(appendAndWait(*log, "s", "a")));
    BOOST_TEST(logProcess.streamStat(QStringLiteral("s"), QStringLiteral("appends")) >= 1);
}

// Guards against a certain failure that is reported as unknown, and the reverse.
BOOST_AUTO_TEST_CASE(append_connectionRefused_certainlyNotAppended)
{
    const auto log = makeLogClient(2000ms);
    appendAndWait(*log, "s", "a");
    logProcess.control({ { QStringLiteral("refuse_ms"), 1500 } });
    BOOST_CHECK(std::holds_alternative<NotAppended>(appendAndWait(*log, "s", "b")));
    waitUntil([&]() { return std::holds_alternative<Appended>(appendAndWait(*log, "s", "c")); });
    BOOST_TEST(logProcess.streamStat(QStringLiteral("s"), QStringLiteral("appends")) == 2);
}

// Guards against Qt's own repeat of a POST: the first copy was received, the repeat finds the port
// closed, and the error alone looks as if nothing had ever been sent.
BOOST_AUTO_TEST_CASE(append_receivedThenPortClosed_resultIsUnknown)
{
    QTcpServer server;
    BOOST_REQUIRE(server.listen(QHostAddress::LocalHost));
    QByteArray received;
    QObject::connect(&server, &QTcpServer::newConnection, [&]() {
        QTcpSocket *socket = server.nextPendingConnection();
        QObject::connect(socket, &QTcpSocket::readyRead, [&, socket]() {
            received += socket->readAll();
            if (!received.endsWith("record"))
                return;
            server.close();
            socket->close();
        });
    });
    const auto log = LogClient::make(
            { .baseUrl = "http://127.0.0.1:" + std::to_string(server.serverPort()) });
    const AppendResult result = appendAndWait(*log, "s", "record");
    BOOST_TEST(received.contains("POST /v1/streams/s/records"));
    BOOST_CHECK(std::holds_alternative<AppendUnknown>(result));
}

// Guards against calls that hang on connections that go silent, and against a client that keeps
// using these connections.
BOOST_AUTO_TEST_CASE(append_connectionsGoSilent_timesOutThenUsesNewConnection)
{
    const auto log = makeLogClient(400ms);
    unsigned unknown = 0;
    unsigned ended = 0;
    const auto count = [&](const AppendResult &result) {
        unknown += std::holds_alternative<AppendUnknown>(result) ? 1 : 0;
        ++ended;
    };
    logProcess.control({ { QStringLiteral("delay_ms"), 150 } });
    log->append("s", "a", count);
    log->append("s", "b", count);
    runFor(50ms);
    logProcess.control({ { QStringLiteral("silence_connections"), true } });
    logProcess.control({ { QStringLiteral("delay_ms"), 0 } });
    waitUntil([&ended]() { return ended == 2; });
    BOOST_TEST(unknown == 2U);
    BOOST_CHECK(std::holds_alternative<Appended>(appendAndWait(*log, "s", "c")));
}

// Guards against a read that hangs on a silent connection, long poll or not.
BOOST_AUTO_TEST_CASE(read_connectionGoesSilent_failsThenUsesNewConnection)
{
    const auto log = LogClient::make({ .baseUrl = logProcess.baseUrl(), .readMargin = 200ms });
    appendAndWait(*log, "s", "a");
    BOOST_REQUIRE(readAndWait(*log, 0).has_value());
    for (const auto wait : { 300ms, 0ms }) {
        logProcess.control({ { QStringLiteral("delay_ms"), wait == 0ms ? 150 : 0 } });
        std::optional<bool> succeeded;
        log->read("s", 1, 100, wait,
                  [&](const std::optional<LogBatch> &batch) { succeeded = batch.has_value(); });
        runFor(50ms);
        logProcess.control({ { QStringLiteral("silence_connections"), true } });
        logProcess.control({ { QStringLiteral("delay_ms"), 0 } });
        waitUntil([&]() { return succeeded.has_value(); });
        BOOST_TEST(!*succeeded);
        BOOST_TEST(!lastError().empty());
        BOOST_TEST(readAndWait(*log, 0).has_value());
    }
}

// Guards against a late copy of the response to an earlier append that is taken for that to the
// next one, which then has an offset that belongs to another record.
BOOST_AUTO_TEST_CASE(append_copyOfAnEarlierResponseComesLate_isNotBelieved)
{
    const auto answer = [](int offset) {
        const QByteArray body = "{\"offset\":" + QByteArray::number(offset) + "}";
        return "HTTP/1.1 200 OK\r\nContent-Length: " + QByteArray::number(body.size()) + "\r\n\r\n"
               + body;
    };
    QTcpServer server;
    server.listen(QHostAddress::LocalHost);
    int connections = 0;
    int requests = 0;
    QObject::connect(&server, &QTcpServer::newConnection, &server, [&] {
        ++connections;
        QTcpSocket *socket = server.nextPendingConnection();
        QObject::connect(socket, &QTcpSocket::readyRead, socket, [&, socket] {
            // Header and body may arrive apart.
            if (!socket->peek(4096).endsWith("record"))
                return;
            socket->readAll();
            if (++requests == 2 && connections == 1)
                socket->write(answer(1));
            QTimer::singleShot(20ms, socket,
                               [socket, bytes = answer(requests)] { socket->write(bytes); });
        });
    });
    const auto log = LogClient::make(
            { .baseUrl = "http://127.0.0.1:" + std::to_string(server.serverPort()) });
    BOOST_TEST(std::get<Appended>(appendAndWait(*log, "s", "record")).offset == 1U);
    BOOST_TEST(std::get<Appended>(appendAndWait(*log, "s", "record")).offset == 2U);
}

// Guards against an outage answer (503) that is taken for a certain refusal: a gateway sends it
// after the effect as well.
BOOST_AUTO_TEST_CASE(append_outage_resultIsUnknown)
{
    const auto log = makeLogClient(2000ms);
    logProcess.control({ { QStringLiteral("outage"), true } });
    BOOST_CHECK(std::holds_alternative<AppendUnknown>(appendAndWait(*log, "s", "a")));
    BOOST_TEST(!readAndWait(*log, 0).has_value());
}

// Guards against a base URL that fails only when the log is needed.
BOOST_AUTO_TEST_CASE(make_baseUrlIsNotHttp_null)
{
    BOOST_TEST(!LogClient::make({ .baseUrl = "10.0.0.1:80" }));
    BOOST_TEST(!LogClient::make({ .baseUrl = "ftp://10.0.0.1" }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn
