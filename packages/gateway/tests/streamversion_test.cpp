// Tests that a stream goes on only at servers of the software version that began it.

#include "gatewayfixture.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>

namespace auburn::gateway {

using std::chrono::milliseconds;
using End = ScriptedReply::End;

namespace {

constexpr int kOk = 200;
constexpr int kUnavailable = 503;
// More events than any stream of these tests has.
constexpr unsigned kNeverBreaksOff = 10000;

// Knows the origins that the test sets, and lets the test decide when a stream is findable.
class FakeOrigins : public routing::StreamOrigins
{
public:
    void find(const std::string &requestId, const std::string & /*service*/,
              milliseconds /*timeLimit*/, VersionHandler handler) override
    {
        const auto found = versions.find(requestId);
        handler(found == versions.end() ? std::nullopt : std::optional(found->second));
    }

    std::optional<std::string> preferredVersion(const std::string & /*service*/) const override
    {
        return preferred;
    }

    void streamSent(const routing::StreamOrigin &origin) override
    {
        versions[origin.requestId] = origin.softwareVersion;
        sent.push_back(origin);
    }

    bool preferenceYieldsToLatency(const std::string & /*service*/) const override
    {
        return yieldsToLatency;
    }

    void whenFindable(const std::string & /*requestId*/, FindableHandler handler) override
    {
        if (holds)
            held.push_back(std::move(handler));
        else
            handler(isFindable);
    }

    void release(bool findable = true)
    {
        for (const auto &handler : std::exchange(held, {}))
            handler(findable);
    }

    std::map<std::string, std::string> versions;
    std::optional<std::string> preferred;
    std::vector<routing::StreamOrigin> sent;
    bool yieldsToLatency = false;
    bool holds = false;
    bool isFindable = true;
    std::vector<FindableHandler> held;
};

// Names one server whatever version the query requires, like an owner that does not know the new
// version of a restarted server yet. Without it, and once it is excluded, the local source chooses.
class OutdatedPlacementSource : public routing::PlacementSource
{
public:
    OutdatedPlacementSource(const routing::ServerDirectory &directory,
                            routing::PlacementSource &local)
        : directory_(directory)
        , local_(local)
    {}

    void place(const routing::PlacementQuery &query, milliseconds timeLeft,
               ChoiceHandler handler) override
    {
        if (defers) {
            deferred.push_back([this, query, timeLeft, handler = std::move(handler)] {
                place(query, timeLeft, handler);
            });
            return;
        }
        const bool ignoresServer = predicted > milliseconds(0) && !query.softwareVersion;
        if (outdatedServer.empty() || ignoresServer || routing::isExcluded(query, outdatedServer)) {
            local_.place(query, timeLeft, std::move(handler));
            return;
        }
        handler(routing::PlacementChoice{ .serverId = outdatedServer,
                                          .address = directory_.find(outdatedServer)->address,
                                          .predicted = predicted });
    }

    void attemptProgressed(const routing::PlacementChoice &choice,
                           std::chrono::microseconds sinceStart) override
    {
        if (choice.serverId != outdatedServer)
            local_.attemptProgressed(choice, sinceStart);
    }

    void attemptEnded(const routing::PlacementChoice &choice, bool progressed,
                      routing::AttemptOutcome outcome) override
    {
        if (choice.serverId != outdatedServer)
            local_.attemptEnded(choice, progressed, outcome);
        else if (outcome == routing::AttemptOutcome::Abandoned)
            ++releasedCount;
    }

    void runDeferred()
    {
        defers = false;
        for (const auto &placement : std::exchange(deferred, {}))
            placement();
    }

    std::string outdatedServer;
    // If set, the server is named only for queries that require a version.
    milliseconds predicted{ 0 };
    // Placements wait for runDeferred().
    bool defers = false;
    std::vector<std::function<void()>> deferred;
    // Attempts at the outdated server that were given back.
    unsigned releasedCount = 0;

private:
    const routing::ServerDirectory &directory_;
    routing::PlacementSource &local_;
};

struct StreamVersionFixture : GatewayFixture
{
    StreamVersionFixture()
    {
        streamOrigins = &origins;
        gateway.reset();
        startGateway(placement);
    }

    // Its gateway refers to the origins and the placement source.
    ~StreamVersionFixture() { gateway.reset(); }

    // Adds an engine whose events name its version. It breaks off streams after this event.
    ScriptedServer &addEngine(const std::string &id, const std::string &version,
                              unsigned breaksOffAfter = kNeverBreaksOff,
                              const std::string &service = "engines")
    {
        ScriptedServer &server = addServer(
                id, service, [this, version, breaksOffAfter](const ScriptedRequest &received) {
                    const auto last = received["X-Last"];
                    const unsigned first = last.empty() ? 1 : std::stoul(std::string(last)) + 1;
                    return events(version, first, breaksOffAfter);
                });
        routing::BackendServer entry = *state.directory.find(id);
        entry.softwareVersion = version;
        entry.sequence = ++sequence_;
        state.directory.update(entry, ++logPosition);
        return server;
    }

    static std::string event(unsigned id, const std::string &version)
    {
        return "id: " + std::to_string(id) + "\ndata: " + version + "\n\n";
    }

    ScriptedReply events(const std::string &version, unsigned first, unsigned breaksOffAfter) const
    {
        ScriptedReply reply{ .parts = { { streamHead() } } };
        for (unsigned id = first; id <= std::min(lastEvent, breaksOffAfter); ++id)
            reply.parts.push_back({ chunk(event(id, version)), milliseconds(2) });
        if (breaksOffAfter < lastEvent)
            reply.end = End::Reset;
        else
            reply.parts.push_back({ "0\r\n\r\n" });
        return reply;
    }

    std::string resume(const std::string &request, const std::string &last = "2")
    {
        return exchange(GatewayFixture::request(
                "POST", "/chat/x", "X-Last: " + last + "\r\nX-Resumes: " + request + "\r\n", "b"));
    }

    // Adds engines of two versions. Streams begin at the second one, and wait to be findable.
    void addEnginesOfTwoVersions(unsigned secondBreaksOffAfter = kNeverBreaksOff)
    {
        addEngine("e1", "v1");
        addEngine("e2", "v2", secondBreaksOffAfter);
        placement.outdatedServer = "e2";
        origins.holds = true;
    }

    void allowOneAttempt()
    {
        routing::TrafficConfigData data = testConfig();
        for (routing::Route &route : data.routes)
            route.maxAttempts = 1;
        state.config = std::make_shared<const routing::TrafficConfig>(std::move(data));
    }

    // Sends a request and reports, once its first events are held, that its version is not
    // findable. Returns the response.
    std::string exchangeNotFindable()
    {
        ScriptedClient client(io, address);
        client.send(request("POST", "/chat/x", "Connection: close\r\n", "b"));
        BOOST_TEST(runUntil(io, [this] { return !origins.held.empty(); }));
        wait(milliseconds(100));
        BOOST_TEST(chunkedBody(client.received()).empty());
        origins.preferred = "v1";
        origins.holds = false;
        origins.release(false);
        BOOST_TEST(runUntil(io, [&client] { return client.isClosed(); }));
        return client.received();
    }

    std::string allEvents(const std::string &version) const
    {
        std::string text;
        for (unsigned id = 1; id <= lastEvent; ++id)
            text += event(id, version);
        return text;
    }

    // Expects that the caller's stream, whose origin is not findable, is broken off soon without an
    // event, and that nothing of it is left once the origin is findable.
    void expectBrokenOffWithoutEvents(const ScriptedClient &client)
    {
        BOOST_TEST(runUntil(
                io, [&client] { return client.isClosed(); }, milliseconds(2500)));
        BOOST_TEST(statusOf(client.received()) == kOk);
        origins.release();
        wait(milliseconds(50));
        BOOST_TEST(chunkedBody(client.received()).empty());
        BOOST_TEST(!isComplete(client.received()));
        BOOST_TEST(gateway->requestsInProgress() == 0U);
    }

    FakeOrigins origins;
    OutdatedPlacementSource placement{ state.directory, placementSource };
    unsigned lastEvent = 4;

private:
    std::int64_t sequence_ = 10;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(streamVersion, StreamVersionFixture)

// Guards against a caller's stream that goes on at a server of another version.
BOOST_AUTO_TEST_CASE(stream_isResumed_goesToTheVersionThatBeganIt)
{
    const ScriptedServer &older = addEngine("e1", "v1");
    const ScriptedServer &newer = addEngine("e2", "v2");
    origins.versions["first"] = "v2";
    for (unsigned i = 0; i < 10; ++i) {
        const std::string response = resume("first");
        BOOST_TEST(statusOf(response) == kOk);
        BOOST_TEST(chunkedBody(response) == event(3, "v2") + event(4, "v2"));
    }
    BOOST_TEST(older.requests().empty());
    BOOST_TEST(newer.requests().size() == 10U);
    // A resumed stream keeps its origin.
    BOOST_TEST(origins.sent.empty());
}

// Guards against a guess: the caller is told that the request has not run.
BOOST_AUTO_TEST_CASE(stream_versionIsUnknown_isRefused)
{
    const ScriptedServer &server = addEngine("e1", "v1");
    const std::string response = resume("unknown");
    BOOST_TEST(statusOf(response) == kUnavailable);
    BOOST_TEST(response.find("Retry-After: ") != std::string::npos);
    BOOST_TEST(server.requests().empty());
}

BOOST_AUTO_TEST_CASE(stream_versionHasNoServer_isRefused)
{
    const ScriptedServer &server = addEngine("e1", "v2");
    origins.versions["first"] = "v1";
    BOOST_TEST(statusOf(resume("first")) == kUnavailable);
    BOOST_TEST(server.requests().empty());
}

// Guards against a stream that goes on at a server that was restarted with another version.
BOOST_AUTO_TEST_CASE(placement_namesAServerOfAnotherVersion_anotherIsTaken)
{
    const ScriptedServer &older = addEngine("e1", "v1");
    const ScriptedServer &newer = addEngine("e2", "v2");
    origins.versions["first"] = "v2";
    placement.outdatedServer = "e1";
    const std::string response = resume("first");
    BOOST_TEST(chunkedBody(response) == event(3, "v2") + event(4, "v2"));
    BOOST_TEST(older.requests().empty());
    BOOST_TEST(newer.requests().size() == 1U);
    BOOST_TEST(placement.releasedCount == 1U);
}

// Guards against a stream that goes on at another service of its route, because the id of the
// request that resumes it belongs to that one.
BOOST_AUTO_TEST_CASE(stream_routeIsSplit_isResumedAtItsService)
{
    routing::TrafficConfigData data = testConfig();
    const auto chat = std::find_if(data.routes.begin(), data.routes.end(),
                                   [](const auto &route) { return route.name == "chat"; });
    BOOST_REQUIRE((chat != data.routes.end()));
    chat->services = { { .service = "engines" }, { .service = "others" } };
    data.services.push_back({ .name = "others",
                              .engine = routing::EngineModel{ .slots = 8, .cacheTokens = 10000 } });
    state.config = std::make_shared<const routing::TrafficConfig>(std::move(data));
    const std::map<std::string, const ScriptedServer *> engines{
        { "engines", &addEngine("e1", "v1") },
        { "others", &addEngine("e2", "v1", kNeverBreaksOff, "others") }
    };
    std::set<std::string> services;
    for (unsigned i = 0; i < 16; ++i) {
        BOOST_REQUIRE(isComplete(exchange(request("POST", "/chat/x", {}, "b"))));
        const routing::StreamOrigin origin = origins.sent.back();
        services.insert(origin.service);
        const ScriptedServer &engine = *engines.at(origin.service);
        const std::size_t before = engine.requests().size();
        for (unsigned resumes = 0; resumes < 2; ++resumes)
            BOOST_TEST(isComplete(resume(origin.requestId)));
        BOOST_TEST(engine.requests().size() == before + 2U);
    }
    BOOST_TEST(services.size() == 2U);
}

// Guards against joined versions within one response.
BOOST_AUTO_TEST_CASE(server_breaksOff_streamGoesOnAtItsVersion)
{
    addEngine("e1", "v1", 2);
    addEngine("e2", "v2", 2);
    addEngine("e3", "v1", 2);
    addEngine("e4", "v2", 2);
    for (unsigned i = 0; i < 12; ++i) {
        // Equal requests would be blocked because they seem to crash servers.
        const std::string body = chunkedBody(
                exchange(request("POST", "/chat/" + std::to_string(i), {}, "b")));
        const std::string first = body.find("v1") < body.find("v2") ? "v1" : "v2";
        BOOST_TEST(body.find(first == "v1" ? "v2" : "v1") == std::string::npos, body);
        BOOST_TEST(body.find(event(2, first)) != std::string::npos, body);
    }
}

// Guards against a request that fails although a server of another version could run it: without an
// event, nothing is joined.
BOOST_AUTO_TEST_CASE(server_failsBeforeTheFirstEvent_anyVersionServes)
{
    addEngine("e1", "v1", 0);
    const ScriptedServer &newer = addEngine("e2", "v2");
    unsigned served = 0;
    for (unsigned i = 0; i < 6; ++i)
        served += isComplete(exchange(request("POST", "/chat/x", {}, "b"))) ? 1 : 0;
    BOOST_TEST(served == 6U);
    BOOST_TEST(newer.requests().size() == 6U);
    BOOST_TEST(origins.sent.back().softwareVersion == "v2");
}

// Guards against an event that reaches the caller before other daemons can find its stream.
BOOST_AUTO_TEST_CASE(firstEvents_originIsNotFindable_areHeld)
{
    addEngine("e1", "v1");
    origins.holds = true;
    ScriptedClient client(io, address);
    client.send(request("POST", "/chat/x", "Connection: close\r\n", "b"));
    wait(milliseconds(150));
    BOOST_TEST(origins.held.size() == 1U);
    BOOST_TEST(chunkedBody(client.received()).empty());
    origins.release();
    BOOST_TEST(runUntil(io, [&client] { return isComplete(client.received()); }));
    BOOST_TEST(chunkedBody(client.received())
               == event(1, "v1") + event(2, "v1") + event(3, "v1") + event(4, "v1"));
}

// Guards against events that are lost, or sent out of order, when their server fails while they are
// held.
BOOST_AUTO_TEST_CASE(server_breaksOffWhileEventsAreHeld_streamGoesOnAtItsVersion)
{
    addEngine("e1", "v1", 2);
    addEngine("e2", "v2", 2);
    addEngine("e3", "v1", 100);
    addEngine("e4", "v2", 100);
    origins.holds = true;
    ScriptedClient client(io, address);
    client.send(request("POST", "/chat/x", "Connection: close\r\n", "b"));
    wait(milliseconds(200));
    BOOST_TEST(chunkedBody(client.received()).empty());
    origins.release();
    BOOST_TEST(runUntil(io, [&client] { return isComplete(client.received()); }));
    const std::string body = chunkedBody(client.received());
    const std::string version = body.find("v1") == std::string::npos ? "v2" : "v1";
    BOOST_TEST(body
               == event(1, version) + event(2, version) + event(3, version) + event(4, version));
}

// Guards against dropping events that the caller can use to resume, when the only server breaks off
// while they are held.
BOOST_AUTO_TEST_CASE(onlyServer_breaksOffWhileEventsAreHeld_eventsArrive)
{
    addEngine("e1", "v1", 2);
    origins.holds = true;
    ScriptedClient client(io, address);
    client.send(request("POST", "/chat/x", "Connection: close\r\n", "b"));
    wait(milliseconds(200));
    BOOST_TEST(chunkedBody(client.received()).empty());
    origins.release();
    BOOST_TEST(runUntil(io, [&client] { return client.isClosed(); }));
    BOOST_TEST(chunkedBody(client.received()) == event(1, "v1") + event(2, "v1"));
    BOOST_TEST(!isComplete(client.received()));
}

// Guards against a caller that leaves while its events are held.
BOOST_AUTO_TEST_CASE(caller_leavesWhileEventsAreHeld_endsTheRequest)
{
    addEngine("e1", "v1");
    origins.holds = true;
    {
        ScriptedClient client(io, address);
        client.send(request("POST", "/chat/x", {}, "b"));
        wait(milliseconds(100));
        client.close();
    }
    wait(milliseconds(50));
    origins.release();
    wait(milliseconds(50));
    BOOST_TEST(gateway->requestsInProgress() == 0U);
}

// Guards against a caller that waits past its deadline for events that are held, both while the
// server still sends and after it has sent the whole stream.
BOOST_AUTO_TEST_CASE(deadline_passesWhileEventsAreHeld_breaksOffTheStream)
{
    addEngine("e1", "v1");
    origins.holds = true;
    for (const unsigned count : { 4U, 1000U }) {
        lastEvent = count;
        ScriptedClient client(io, address);
        client.send(request("POST", "/chat/x", "X-Deadline: 1000\r\n", "b"));
        wait(milliseconds(200));
        BOOST_TEST(origins.held.size() == 1U);
        BOOST_TEST(!client.isClosed());
        expectBrokenOffWithoutEvents(client);
    }
}

// Guards against a request that does not end at the daemon's shutdown because its events are held,
// both while the server still sends and after it has sent the whole stream.
BOOST_AUTO_TEST_CASE(daemon_stopsWhileEventsAreHeld_breaksOffTheStream)
{
    addEngine("e1", "v1");
    origins.holds = true;
    for (const unsigned count : { 4U, 1000U }) {
        lastEvent = count;
        ScriptedClient client(io, address);
        client.send(request("POST", "/chat/x", {}, "b"));
        wait(milliseconds(200));
        BOOST_TEST(origins.held.size() == 1U);
        BOOST_TEST(!client.isClosed());
        gateway->endRequests();
        expectBrokenOffWithoutEvents(client);
    }
}

// Guards against new streams at a version that other daemons do not know, and against refusing them
// for it.
BOOST_AUTO_TEST_CASE(newStream_versionIsPreferred_goesElsewhereOnlyWithoutIt)
{
    const ScriptedServer &newer = addEngine("e2", "v2");
    origins.preferred = "v1";
    BOOST_TEST(isComplete(exchange(request("POST", "/chat/x", {}, "b"))));
    BOOST_TEST(newer.requests().size() == 1U);
    const ScriptedServer &older = addEngine("e1", "v1");
    for (unsigned i = 0; i < 5; ++i)
        BOOST_TEST(isComplete(exchange(request("POST", "/chat/x", {}, "b"))));
    BOOST_TEST(newer.requests().size() == 1U);
    BOOST_TEST(older.requests().size() == 5U);
}

// Guards against an event of a version that other daemons do not find, while the server still sends
// and after it has sent the whole stream.
BOOST_AUTO_TEST_CASE(stream_versionIsNotFindable_beginsAnewAtThePreferredVersion)
{
    addEnginesOfTwoVersions();
    for (const unsigned count : { 4U, 100U }) {
        lastEvent = count;
        origins.holds = true;
        origins.preferred.reset();
        const std::string response = exchangeNotFindable();
        BOOST_TEST(isComplete(response));
        BOOST_TEST(chunkedBody(response) == allEvents("v1"));
        BOOST_TEST(origins.sent.back().softwareVersion == "v1");
    }
    BOOST_TEST(gateway->requestsInProgress() == 0U);
}

// Guards against an event that is passed on before the origins, which know at once that the version
// is not findable, have responded.
BOOST_AUTO_TEST_CASE(stream_versionIsNotFindableAtOnce_beginsAnewAtThePreferredVersion)
{
    addEnginesOfTwoVersions();
    origins.holds = false;
    origins.isFindable = false;
    // The preference appears while the request is at the server.
    lastEvent = 100;
    ScriptedClient client(io, address);
    client.send(request("POST", "/chat/x", "Connection: close\r\n", "b"));
    BOOST_TEST(runUntil(io, [this] { return !origins.sent.empty(); }));
    origins.preferred = "v1";
    BOOST_TEST(runUntil(io, [&client] { return client.isClosed(); }));
    BOOST_TEST(origins.sent.front().softwareVersion == "v2");
    BOOST_TEST(isComplete(client.received()));
    BOOST_TEST(chunkedBody(client.received()) == allEvents("v1"));
}

// Guards against two attempts of one request: its server broke off and another one of its version
// is being chosen when the stream begins anew.
BOOST_AUTO_TEST_CASE(stream_beginsAnewWhileAServerIsChosen_hasOneAttempt)
{
    addEnginesOfTwoVersions(2);
    ScriptedClient client(io, address);
    client.send(request("POST", "/chat/x", "Connection: close\r\n", "b"));
    BOOST_TEST(runUntil(io, [this] { return !origins.sent.empty(); }));
    placement.defers = true;
    BOOST_TEST(runUntil(io, [this] { return !placement.deferred.empty(); }));
    origins.preferred = "v1";
    origins.release(false);
    origins.holds = false;
    BOOST_TEST(placement.deferred.size() == 1U);
    addEngine("e3", "v2");
    placement.outdatedServer = "e3";
    placement.runDeferred();
    BOOST_TEST(runUntil(io, [&client] { return client.isClosed(); }));
    BOOST_TEST(isComplete(client.received()));
    BOOST_TEST(chunkedBody(client.received()) == allEvents("v1"));
    BOOST_TEST(servers.back()->requests().empty());
}

// Guards against a stream that fails because its version cannot be recorded: it goes on if it may
// not be sent again.
BOOST_AUTO_TEST_CASE(stream_versionIsNotFindableAndNoAttemptIsLeft_goesOn)
{
    allowOneAttempt();
    addEnginesOfTwoVersions();
    const std::string response = exchangeNotFindable();
    BOOST_TEST(isComplete(response));
    BOOST_TEST(chunkedBody(response) == allEvents("v2"));
}

// Guards against passing on events that cannot be found, of a stream that has broken off: the
// caller has to send its request again anyway, and begins anew without them.
BOOST_AUTO_TEST_CASE(stream_versionIsNotFindableAndServerBrokeOff_endsWithoutEvents)
{
    allowOneAttempt();
    addEnginesOfTwoVersions(2);
    const std::string response = exchangeNotFindable();
    BOOST_TEST(!isComplete(response));
    BOOST_TEST(chunkedBody(response).empty());
    BOOST_TEST(gateway->requestsInProgress() == 0U);
}

// Guards against streams that wait for the few servers of a version that is preferred only because
// records cannot be written.
BOOST_AUTO_TEST_CASE(newStream_preferredVersionIsSlow_goesElsewhereIfThatIsAllowed)
{
    addEngine("e1", "v1");
    const ScriptedServer &newer = addEngine("e2", "v2");
    origins.preferred = "v1";
    placement.outdatedServer = "e1";
    placement.predicted = milliseconds(60000);
    for (unsigned i = 0; i < 5; ++i)
        BOOST_TEST(isComplete(exchange(request("POST", "/chat/x", {}, "b"))));
    BOOST_TEST(newer.requests().empty());
    BOOST_TEST(placement.releasedCount == 0U);
    origins.yieldsToLatency = true;
    for (unsigned i = 0; i < 5; ++i)
        BOOST_TEST(isComplete(exchange(request("POST", "/chat/x", {}, "b"))));
    BOOST_TEST(placement.releasedCount == 5U);
    BOOST_TEST(!newer.requests().empty());
}

// Guards against holding or recording streams that cannot be resumed.
BOOST_AUTO_TEST_CASE(stream_notResumable_isNotRecorded)
{
    addEngine("e1", "v1");
    origins.holds = true;
    BOOST_TEST(isComplete(exchange(request("POST", "/digest/x", {}, "b"))));
    BOOST_TEST(origins.sent.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::gateway
