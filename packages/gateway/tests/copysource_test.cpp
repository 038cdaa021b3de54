// Tests the header that tells an engine from which other engine it can copy prompt parts.

#include "gatewayfixture.h"

#include <boost/test/unit_test.hpp>

#include <string>

namespace auburn::gateway {

using routing::AttemptOutcome;
using routing::PlacementChoice;
using routing::PlacementQuery;

namespace {

// Places every request on engine "e1", which copies from engine "e2".
class CopyingPlacementSource : public routing::PlacementSource
{
public:
    explicit CopyingPlacementSource(const routing::ServerDirectory &directory)
        : directory_(directory)
    {}

    void place(const PlacementQuery & /*query*/, std::chrono::milliseconds /*timeLeft*/,
               ChoiceHandler handler) override
    {
        handler(PlacementChoice{
                .serverId = "e1", .address = directory_.find("e1")->address, .copySource = "e2" });
    }

    void attemptProgressed(const PlacementChoice & /*choice*/,
                           std::chrono::microseconds /*sinceStart*/) override
    {}
    void attemptEnded(const PlacementChoice & /*choice*/, bool /*progressed*/,
                      AttemptOutcome /*outcome*/) override
    {}

private:
    const routing::ServerDirectory &directory_;
};

struct CopySourceFixture : GatewayFixture
{
    CopySourceFixture()
    {
        const auto stream = [](const ScriptedRequest &) {
            return ScriptedReply{ { { streamHead() + chunk(event(1)) + "0\r\n\r\n" } } };
        };
        engine = &addServer("e1", "engines", stream);
        addServer("e2", "engines", stream);
        gateway.reset();
        startGateway(placement);
    }

    // Returns the header that the engine received with a request that has one of its own.
    std::string receivedHeader()
    {
        exchange(request("POST", "/digest/x", "X-Copy-Source: 10.0.0.1:1\r\n", "{}"));
        BOOST_REQUIRE(!engine->requests().empty());
        return std::string(engine->requests().back()["X-Copy-Source"]);
    }

    ScriptedServer *engine = nullptr;
    CopyingPlacementSource placement{ state.directory };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(copySource, CopySourceFixture)

// Guards against a caller that names the source of a copy itself.
BOOST_AUTO_TEST_CASE(copySource_ofTheCaller_isReplaced)
{
    BOOST_TEST(receivedHeader() == state.directory.find("e2")->address);
}

// Guards against a copy from an engine that is leaving, or whose address another server may have.
BOOST_AUTO_TEST_CASE(copySource_isLeaving_isNotSent)
{
    routing::BackendServer leaving = *state.directory.find("e2");
    leaving.state = routing::ServerState::Draining;
    leaving.sequence = 1;
    state.directory.update(leaving, ++logPosition);
    BOOST_TEST(receivedHeader().empty());
    state.directory.removeImmediately("e2", ++logPosition);
    BOOST_TEST(receivedHeader().empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::gateway
