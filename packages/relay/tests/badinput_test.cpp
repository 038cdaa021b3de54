#include "relayfixture.h"

#include <boost/test/unit_test.hpp>

#include <fstream>

namespace auburn {

using namespace test;

namespace {

struct BadInputFixture : RelayFixture
{
    BadInputFixture()
    {
        options.limits.headerTime = std::chrono::milliseconds(200);
        options.limits.bodyTime = std::chrono::milliseconds(300);
        options.limits.writeTimeout = std::chrono::milliseconds(300);
        addEngine("r1");
    }

    // The refusal must name its code, its verdict and a request id, and no backend server may be
    // asked.
    void checkRefused(const std::string &request, int status, const std::string &code)
    {
        if (!server)
            serve();
        checkRefusal(exchange(request), status, code);
    }

    void checkRefusal(const Response &response, int status, const std::string &code)
    {
        BOOST_TEST(response.status == status);
        BOOST_TEST(response.errorCode() == code);
        BOOST_TEST(response.fields.at("Auburn-Verdict") == "did-not-run");
        BOOST_TEST(response.fields.at("X-Request-Id").size() == 32U);
        BOOST_TEST(response.complete);
        BOOST_TEST(engineRecord(0).empty());
        BOOST_TEST(slots.granted() == 0U);
    }
};

std::size_t residentKilobytes()
{
    std::ifstream file("/proc/self/status");
    std::string word;
    while (file >> word) {
        std::size_t value = 0;
        if (word == "VmRSS:" && file >> value)
            return value;
    }
    return 0;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(badInput, BadInputFixture)

// Guards against an unknown model that reaches a pool or gets an unclear error.
BOOST_AUTO_TEST_CASE(chat_unknownModel_notFound)
{
    const std::string body = R"({"model":"nope","messages":[]})";
    checkRefused(httpRequest("POST", "/v1/chat/completions", "", body), 404, "model_not_found");
}

// Guards against bodies that a backend server would have to reject.
BOOST_AUTO_TEST_CASE(chat_brokenBody_invalidRequest)
{
    for (const char *body :
         { "{\"model\":\"m\",", "", "[]", "{\"model\":5,\"messages\":[]}", "{\"model\":\"m\"}",
           "{\"model\":\"m\",\"messages\":[],\"stream\":1}" })
        checkRefused(httpRequest("POST", "/v1/chat/completions", "", body), 400, "invalid_request");
}

// Guards against requests without valid credentials being routed.
BOOST_AUTO_TEST_CASE(authentication_badTokens_refused)
{
    const auto withToken = [](const std::string &token) {
        return httpRequest("POST", "/v1/chat/completions", "", chatBody("p", false, 1), token);
    };
    checkRefused(withToken("wrong"), 401, "unauthorized");
    checkRefused(withToken("revoked-token"), 401, "unauthorized");
    checkRefused(withToken("gone-token"), 403, "organisation_suspended");
    checkRefused("GET /v1/models HTTP/1.1\r\n\r\n", 401, "unauthorized");
}

// Guards against a caller that promotes itself.
BOOST_AUTO_TEST_CASE(authentication_higherClass_refused)
{
    checkRefused(chatRequest("p", false, 1, "Auburn-Class: gold\r\n"), 403, "class_not_allowed");
    checkRefused(chatRequest("p", false, 1, "Auburn-Class: none\r\n"), 403, "class_not_allowed");
}

// Guards against request smuggling by framing that two servers read differently.
BOOST_AUTO_TEST_CASE(framing_ambiguousLength_refused)
{
    const std::string head = "POST /v1/chat/completions HTTP/1.1\r\nAuthorization: Bearer "
                             + std::string(kToken) + "\r\n";
    const std::string cases[] = {
        "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello",
        "Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello",
        "Content-Length: 5, 5\r\n\r\nhello",
        "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: gzip\r\n\r\nhello",
        "Content-Length: -1\r\n\r\n",
        "Content-Length : 5\r\n\r\nhello",
    };
    for (const std::string &rest : cases)
        checkRefused(head + rest, 400, "invalid_request");
}

// Guards against a request in the body of a refused one that runs: the parser takes a request of an
// unknown transfer coding for one without a body.
BOOST_AUTO_TEST_CASE(framing_unknownCoding_connectionEnds)
{
    const std::string head = "POST /v1/chat/completions HTTP/1.1\r\nAuthorization: Bearer "
                             + std::string(kToken) + "\r\n";
    for (const std::string fields :
         { "Transfer-Encoding: identity\r\n", "Transfer-Encoding: gzip\r\n",
           "Transfer-Encoding: chunked, identity\r\n",
           "Content-Length: 0\r\nContent-Length: 0\r\n" }) {
        if (!server)
            serve();
        Client client(server->port());
        client.send(head);
        client.send(fields);
        client.send("\r\n");
        client.send(chatRequest("p", false, 1));
        checkRefusal(client.receive(), 400, "invalid_request");
        BOOST_TEST(client.waitClosed(), fields);
        BOOST_TEST(engineRecord(0).empty(), fields);
    }
}

// Guards against an endless header that fills memory.
BOOST_AUTO_TEST_CASE(header_tooLarge_refused)
{
    checkRefused(chatRequest("p", false, 1, "X-Fill: " + std::string(20000, 'x') + "\r\n"), 431,
                 "headers_too_large");
    std::string many;
    for (int i = 0; i < 2000; ++i)
        many += "X-Fill-" + std::to_string(i) + ": 1\r\n";
    checkRefused(chatRequest("p", false, 1, many), 431, "headers_too_large");
}

// Guards against connections that are held open by a request that never ends.
BOOST_AUTO_TEST_CASE(header_orBodyTooSlow_timesOut)
{
    checkRefused("POST /v1/chat/completions HTT", 408, "request_timeout");
    const std::string whole = chatRequest("prompt", false, 1);
    checkRefused(whole.substr(0, whole.size() - 5), 408, "request_timeout");
}

// Guards against a body over the limit being stored, with and without a declared length.
BOOST_AUTO_TEST_CASE(body_tooLarge_refusedWithFlatMemory)
{
    serve();
    const std::size_t before = residentKilobytes();
    const std::string head = "POST /v1/chat/completions HTTP/1.1\r\nAuthorization: Bearer "
                             + std::string(kToken) + "\r\n";
    checkRefused(head + "Content-Length: 400000000\r\n\r\nabc", 413, "body_too_large");
    Client client(server->port());
    client.send(head + "Transfer-Encoding: chunked\r\n\r\n");
    const std::string chunk = "10000\r\n" + std::string(0x10000, 'x') + "\r\n";
    // 400 MB at most; the server answers and closes long before.
    for (int i = 0; i < 6400 && client.send(chunk); ++i)
        ;
    // The answer may be lost to the reset when the client ignores it, so only the memory counts.
    BOOST_TEST(residentKilobytes() < before + std::size_t{ 40 } * 1024);
    BOOST_TEST(client.waitClosed());
}

// Guards against a client that stops sending after an oversize body not getting its answer.
BOOST_AUTO_TEST_CASE(body_chunkedTooLarge_refused)
{
    const std::string head = "POST /v1/chat/completions HTTP/1.1\r\nAuthorization: Bearer "
                             + std::string(kToken) + "\r\nTransfer-Encoding: chunked\r\n\r\n";
    checkRefused(head + "500000\r\n" + std::string(0x500000, 'x') + "\r\n", 413, "body_too_large");
}

// Guards against keys that the claim log cannot hold, and non-idempotent requests without a key.
BOOST_AUTO_TEST_CASE(idempotencyKey_tooLongOrMissing_refused)
{
    const std::string longKey = "Idempotency-Key: " + std::string(65, 'k') + "\r\n";
    checkRefused(chatRequest("p", false, 1, longKey), 400, "idempotency_key_invalid");
    checkRefused(chatRequest("p", false, 1, "Auburn-Non-Idempotent: true\r\n"), 400,
                 "idempotency_key_missing");
    checkRefused(httpRequest("POST", "/v1/services/pay/x", "", "1"), 400,
                 "idempotency_key_missing");
}

// Guards against a daemon without a log of claims that runs non-idempotent requests all the same.
BOOST_AUTO_TEST_CASE(nonIdempotent_noClaimSource_refused)
{
    options.claims = nullptr;
    checkRefused(httpRequest("POST", "/v1/services/pay/x", "Idempotency-Key: k\r\n", "1"), 503,
                 "log_unavailable");
}

// Guards against wrong paths, methods and timeouts with unclear errors.
BOOST_AUTO_TEST_CASE(routing_badTargets_refused)
{
    checkRefused(httpRequest("GET", "/v1/chat/completions", "", ""), 405, "method_not_allowed");
    checkRefused(httpRequest("POST", "/v1/models", "", ""), 405, "method_not_allowed");
    checkRefused(httpRequest("GET", "/v2/other", "", ""), 404, "not_found");
    checkRefused(httpRequest("GET", "/v1/services/m/x", "", ""), 404, "not_found");
    checkRefused(chatRequest("p", false, 1, "Auburn-Timeout-Ms: soon\r\n"), 400, "invalid_request");
    checkRefused("NOT HTTP\r\n\r\n", 400, "invalid_request");
}

// Guards against requests that are accepted before there is a configuration.
BOOST_AUTO_TEST_CASE(server_notReady_refused)
{
    options.ready = [] { return false; };
    checkRefused(chatRequest("p", false, 1), 503, "not_ready");
}

// Guards against a caller that takes no bytes and pins its backend server and its buffer for ever.
BOOST_AUTO_TEST_CASE(stream_slowReader_disconnectedAndCancelled)
{
    standin::EngineOptions engine = fastEngine();
    engine.tokensPerSecond = 1e6;
    addEngine("r2", engine);
    controlEngine(0, { { "action", "fail" }, { "count", 1 }, { "status", 503 } });
    serve();
    Client client(server->port(), 4096);
    client.send(chatRequest("p", true, 1000000));
    const auto isCancelled = [this] {
        const auto record = engineRecord(1);
        return record.size() == 1 && record[0].cancelled;
    };
    BOOST_TEST(waitFor(isCancelled));
    // The bytes in the relay and in the sockets' buffers are bounded.
    BOOST_TEST(engineRecord(1)[0].tokens < 200000U);
    BOOST_TEST(waitFor([this] { return server->inFlight() == 0; }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn
