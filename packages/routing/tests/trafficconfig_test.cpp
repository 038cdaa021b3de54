#include "auburn/routing/trafficconfig.h"

#include <boost/test/unit_test.hpp>

#include <map>

namespace auburn::routing {

namespace {

// Prompt tokens of a short question.
constexpr std::uint64_t kShortPrompt = 800;

struct TrafficConfigFixture
{
    static TrafficConfigData data()
    {
        TrafficConfigData data{ .version = 7 };
        data.routes = {
            { .name = "chat",
              .host = "a.example",
              .pathPrefix = "/chat/",
              .priority = 0,
              .services = { { .service = "engines" } } },
            { .name = "long",
              .host = "a.example",
              .pathPrefix = "/chat/long/",
              .priority = 1,
              .services = { { .service = "engines" } } },
            { .name = "order",
              .host = "b.example",
              .pathPrefix = "/",
              .priority = 2,
              .services = { { .service = "desk" } } },
        };
        data.services = { { .name = "engines" }, { .name = "desk" } };
        data.organisations = { { .name = "first", .keys = { "k1", "k2" }, .priority = 0 },
                               { .name = "second", .keys = { "k3" }, .priority = 1 } };
        return data;
    }

    TrafficConfig config{ data() };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(trafficConfig, TrafficConfigFixture)

BOOST_AUTO_TEST_CASE(route_severalPrefixesMatch_longestIsTaken)
{
    BOOST_TEST(config.findRoute("a.example", "/chat/long/7")->name == "long");
    BOOST_TEST(config.findRoute("a.example", "/chat/7")->name == "chat");
}

BOOST_AUTO_TEST_CASE(route_hostDiffersInCaseOrHasPort_isFound)
{
    BOOST_TEST(config.findRoute("A.Example:8080", "/chat/7")->name == "chat");
}

BOOST_AUTO_TEST_CASE(route_noPrefixMatches_isNull)
{
    BOOST_TEST(!config.findRoute("a.example", "/other"));
    BOOST_TEST(!config.findRoute("c.example", "/chat/7"));
}

BOOST_AUTO_TEST_CASE(organisation_everyKeyOfIt_isFound)
{
    BOOST_TEST(config.findOrganisation("k2")->name == "first");
    BOOST_TEST(config.findOrganisation("k3")->name == "second");
    BOOST_TEST(!config.findOrganisation("k4"));
}

// Guards against chats and long prompts of one organisation with the same urgency, which lets an
// engine preempt the chats.
BOOST_AUTO_TEST_CASE(urgency_sameOrganisation_followsRoutePriority)
{
    const Organisation *second = config.findOrganisation("k3");
    const Urgency chat = config.urgency("engines", *config.findRoute("a.example", "/chat/7"),
                                        second);
    const Urgency prompt = config.urgency("engines", *config.findRoute("a.example", "/chat/long/"),
                                          second);
    BOOST_TEST(chat.onTime < chat.late);
    BOOST_TEST(chat.late < prompt.onTime);
}

BOOST_AUTO_TEST_CASE(urgency_organisations_goBeforeRoutes)
{
    const Route &chat = *config.findRoute("a.example", "/chat/7");
    const Route &prompt = *config.findRoute("a.example", "/chat/long/");
    const Urgency first = config.urgency("engines", prompt, config.findOrganisation("k1"));
    const Urgency second = config.urgency("engines", chat, config.findOrganisation("k3"));
    BOOST_TEST(first.late < second.onTime);
    BOOST_TEST(second.late <= kLowestUrgency);
}

BOOST_AUTO_TEST_CASE(urgency_moreRanksThanLevels_isInRangeAndOrdered)
{
    TrafficConfigData data = TrafficConfigFixture::data();
    for (int priority = 2; priority < 20; ++priority)
        data.organisations->push_back({ .name = "o" + std::to_string(priority),
                                        .keys = { "x" + std::to_string(priority) },
                                        .priority = priority });
    const TrafficConfig many(std::move(data));
    int previous = 0;
    for (int priority = 2; priority < 20; ++priority) {
        const Urgency urgency = many.urgency("engines", *many.findRoute("a.example", "/chat/7"),
                                             many.findOrganisation("x" + std::to_string(priority)));
        BOOST_TEST(urgency.onTime >= previous);
        BOOST_TEST(urgency.late <= kLowestUrgency);
        previous = urgency.onTime;
    }
}

BOOST_AUTO_TEST_CASE(gapSensitivity_sixTokensPerEvent_isSensitiveAt200Milliseconds)
{
    const Route stream{ .kind = RequestKind::Stream, .gapTarget = std::chrono::milliseconds(200) };
    BOOST_TEST(isGapSensitive(stream, { .tokensPerEvent = 6 }, kShortPrompt));
    BOOST_TEST(!isGapSensitive(stream, { .tokensPerEvent = 3 }, kShortPrompt));
    BOOST_TEST(
            !isGapSensitive({ .kind = RequestKind::Safe }, { .tokensPerEvent = 6 }, kShortPrompt));
}

// Guards against streams with long prompts that are sent to the engines reserved for short ones
// and never to those that have their prompt cached.
BOOST_AUTO_TEST_CASE(gapSensitivity_longPrompt_isNeverAssumed)
{
    constexpr std::uint64_t kLongPrompt = 9200;
    const Route stream{ .kind = RequestKind::Stream, .gapTarget = std::chrono::milliseconds(300) };
    BOOST_TEST(isGapSensitive(stream, { .tokensPerEvent = 9 }, kShortPrompt));
    BOOST_TEST(!isGapSensitive(stream, { .tokensPerEvent = 9 }, kLongPrompt));
}

BOOST_AUTO_TEST_CASE(pickService_manyRequests_followsTheWeights)
{
    const Route route{ .services = { { .service = "a", .weight = 90 },
                                     { .service = "b", .weight = 10 } } };
    std::map<std::string, int> counts;
    for (std::uint64_t hash = 0; hash < 1000; ++hash)
        ++counts[pickService(route, hash)];
    BOOST_TEST(counts["a"] == 900);
    BOOST_TEST(counts["b"] == 100);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::routing
