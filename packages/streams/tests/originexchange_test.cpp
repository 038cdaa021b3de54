// Tests what daemons tell each other about streams, and what counts as a recent view of the
// servers.

#include "originregistryfixture.h"

#include "auburn/streams/originexchange.h"

namespace auburn::streams {

namespace {

constexpr const char *kAddress = "10.0.0.1:1";
constexpr const char *kOtherAddress = "10.0.0.2:1";

// Two daemons whose messages arrive at once, and a clock.
struct OriginExchangeFixture : OriginRegistryFixture
{
    OriginExchangeFixture()
    {
        own = makeExchange(*second, view, 2);
        other = makeExchange(*first, otherView, 1);
        second->peers.askAll = [this](const OriginQuestion &question) { own->ask(question); };
    }

    std::unique_ptr<OriginExchange> makeExchange(Daemon &daemon, ServerView &itsView,
                                                 std::uint64_t incarnation)
    {
        return std::make_unique<OriginExchange>(OriginExchange::Options{
                .registry = &daemon.registry,
                .view = &itsView,
                .self =
                        [incarnation] {
                            return DaemonProcess{ .vm = "vm", .incarnation = incarnation };
                        },
                .addresses =
                        [this] {
                            return std::vector<std::string>(hasOthers ? 1 : 0, kOtherAddress);
                        },
                .hearsAll = [this] { return hearsAll; },
                .isInMajority = [this] { return isInMajority; },
                .send =
                        [this](const std::string &address, const proto::PeerDatagram &datagram) {
                            deliver(address, datagram);
                        } });
    }

    void deliver(const std::string &address, const proto::PeerDatagram &datagram)
    {
        if (address == kOtherAddress)
            other->handleDatagram(datagram, kAddress);
        else
            boost::asio::post(io,
                              [this, datagram] { own->handleDatagram(datagram, kOtherAddress); });
    }

    // A heartbeat of the other daemon.
    proto::PeerBeat heartbeat() const
    {
        proto::PeerBeat beat;
        beat.set_vm("vm");
        beat.set_incarnation(1);
        beat.set_serving(true);
        other->fillHeartbeat(beat, clocks.now);
        return beat;
    }

    // The age of this daemon's view; a day if it has never been confirmed.
    milliseconds viewAge() const
    {
        const auto at = own->viewConfirmedAt(clocks.now);
        return at ? std::chrono::duration_cast<milliseconds>(clocks.now - *at)
                  : std::chrono::hours(24);
    }

    bool hasOthers = true;
    bool hearsAll = true;
    bool isInMajority = false;
    ServerView view;
    ServerView otherView;
    std::unique_ptr<OriginExchange> own;
    std::unique_ptr<OriginExchange> other;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(originExchange, OriginExchangeFixture)

// Guards against a reply that loses what the other daemon knows on its way.
BOOST_AUTO_TEST_CASE(question_streamIsKnownThere_isAnsweredWithItsVersion)
{
    add("i-2", "v2");
    updateAfter(milliseconds(3000));
    begin(*first, "x", "v2");
    store.isAvailable = false;
    BOOST_TEST(find(*second, "x") == "v2");
    BOOST_TEST(find(*second, "y") == "unknown");
}

// Guards against a reply to an earlier process at the same address, whose question had the number
// that this process gives to another stream.
BOOST_AUTO_TEST_CASE(reply_toAnEarlierProcess_isIgnored)
{
    store.isAvailable = false;
    add("i-2", "v2");
    updateAfter(milliseconds(3000));
    hasOthers = false;
    std::string found;
    second->registry.find("x", "s", milliseconds(1000),
                          [&found](const std::optional<std::string> &version) {
                              found = version.value_or("unknown");
                          });
    proto::PeerDatagram datagram;
    proto::StreamReply &reply = *datagram.mutable_stream_reply();
    reply.set_number(1);
    reply.set_vm("vm");
    reply.set_incarnation(1);
    reply.set_service("s");
    reply.set_software_version("v2");
    reply.set_asker_incarnation(7);
    own->handleDatagram(datagram, kOtherAddress);
    BOOST_TEST(found.empty());
    reply.set_asker_incarnation(2);
    own->handleDatagram(datagram, kOtherAddress);
    BOOST_TEST(found == "v2");
}

// Guards against a daemon in contact with one that reads the store, whose view counts as old.
BOOST_AUTO_TEST_CASE(view_confirmedByAHeartbeat_isAsOldAsThatOfItsSender)
{
    BOOST_TEST(viewAge().count() == milliseconds(std::chrono::hours(24)).count());
    otherView.recordStoreRead(clocks.now - milliseconds(700));
    own->handleHeartbeat(heartbeat(), false, clocks.now);
    BOOST_TEST(viewAge().count() == milliseconds(std::chrono::hours(24)).count());
    own->handleHeartbeat(heartbeat(), true, clocks.now);
    BOOST_TEST(viewAge().count() >= 700);
    BOOST_TEST(viewAge().count() <= 900);
    view.recordStoreRead(clocks.now - milliseconds(100));
    BOOST_TEST(viewAge().count() == 100);
}

// Guards against heartbeats that waited in the socket while this process stood still.
BOOST_AUTO_TEST_CASE(view_heartbeatsAreReadAfterAStandstill_staysOld)
{
    otherView.recordStoreRead(clocks.now);
    own->handleHeartbeat(heartbeat(), true, clocks.now);
    const proto::PeerBeat waiting = heartbeat();
    clocks.advance(milliseconds(4000));
    own->handleHeartbeat(waiting, true, clocks.now);
    BOOST_TEST(viewAge().count() >= 4000);
    clocks.advance(milliseconds(100));
    own->handleHeartbeat(waiting, true, clocks.now);
    BOOST_TEST(viewAge().count() >= 4100);
    clocks.advance(milliseconds(400));
    otherView.recordStoreRead(clocks.now);
    own->handleHeartbeat(heartbeat(), true, clocks.now);
    BOOST_TEST(viewAge().count() <= 200);
}

// Guards against daemons that are cut off together and confirm an old view to each other for ever.
BOOST_AUTO_TEST_CASE(view_confirmedInACircle_growsOld)
{
    otherView.recordStoreRead(clocks.now);
    for (int i = 0; i < 40; ++i) {
        clocks.advance(milliseconds(100));
        own->handleHeartbeat(heartbeat(), true, clocks.now);
        proto::PeerBeat back;
        own->fillHeartbeat(back, clocks.now);
        other->handleHeartbeat(back, true, clocks.now);
    }
    BOOST_TEST(viewAge().count() >= 4000);
}

// Guards against refusals in a fleet that has grown: daemons that were heard while it was small are
// not heard often enough to confirm anything.
BOOST_AUTO_TEST_CASE(processes_fleetBecomesLarge_areNotAwaited)
{
    add("i-2", "v2");
    updateAfter(milliseconds(3000));
    own->handleHeartbeat(heartbeat(), true, clocks.now);
    second->registry.observeEra(2);
    second->registry.update();
    clocks.advance(milliseconds(3000));
    own->handleHeartbeat(heartbeat(), true, clocks.now);
    BOOST_TEST(second->registry.missesRecords());
    hearsAll = false;
    clocks.advance(milliseconds(400));
    own->handleHeartbeat(heartbeat(), true, clocks.now);
    BOOST_TEST(!second->registry.missesRecords());
    BOOST_TEST(find(*second, "x") == "v1");
}

// Guards against refusals in a large fleet while the store is away from all of it, and against an
// answer of a daemon that hears nobody or has just stood still.
BOOST_AUTO_TEST_CASE(view_ofALargeFleet_isCurrentWhileMostOfItIsHeard)
{
    hearsAll = false;
    isInMajority = true;
    BOOST_TEST(viewAge().count() > 0);
    own->handleHeartbeat(heartbeat(), true, clocks.now);
    BOOST_TEST(viewAge().count() == 0);
    isInMajority = false;
    BOOST_TEST(viewAge().count() > 0);
    isInMajority = true;
    clocks.advance(milliseconds(1100));
    BOOST_TEST(viewAge().count() > 0);
    own->handleHeartbeat(heartbeat(), true, clocks.now);
    clocks.advance(milliseconds(400));
    own->handleHeartbeat(heartbeat(), true, clocks.now);
    BOOST_TEST(viewAge().count() > 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::streams
