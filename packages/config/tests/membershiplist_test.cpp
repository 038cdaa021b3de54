#include "auburn/config/membershiplistclient.h"

#include "testplatform.h"

#include <boost/test/unit_test.hpp>

namespace auburn {

using namespace tests;

namespace {

class ListFixture : public LoopFixture
{
public:
    void put(const QString &name, const QJsonObject &member)
    {
        list.put(QStringLiteral("/control/members/") + name, member);
    }

    std::optional<std::vector<ListedMember>> read()
    {
        bool done = false;
        std::optional<std::vector<ListedMember>> result;
        client->list([&](const std::optional<std::vector<ListedMember>> &members) {
            result = members;
            done = true;
        });
        waitUntil([&done]() { return done; });
        return result;
    }

    StandIn list{ QStringLiteral("standin_list"), {} };
    std::unique_ptr<MembershipListClient> client = MembershipListClient::make(
            { .baseUrl = list.baseUrl() });
};

QJsonObject member(const QString &kind, const QString &state)
{
    return { { QStringLiteral("kind"), kind },
             { QStringLiteral("service"), QStringLiteral("chat") },
             { QStringLiteral("failure_domain"), QStringLiteral("p1") },
             { QStringLiteral("region"), QStringLiteral("r1") },
             { QStringLiteral("address"), QStringLiteral("10.0.0.1:80") },
             { QStringLiteral("state"), state } };
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(membershiplist, ListFixture)

// Guards against a leaving mark that is lost, and a malformed entry that hides all others.
BOOST_AUTO_TEST_CASE(list_mixedEntries_typedWithoutUnknownKinds)
{
    put(QStringLiteral("a"), member(QStringLiteral("backend_server"), QStringLiteral("leaving")));
    put(QStringLiteral("b"), member(QStringLiteral("printer"), QStringLiteral("live")));
    put(QStringLiteral("c"), member(QStringLiteral("daemon"), QStringLiteral("live")));
    const auto members = read();
    BOOST_REQUIRE(members.has_value());
    BOOST_REQUIRE_EQUAL(members->size(), 2U);
    BOOST_CHECK(members->at(0).kind == ListedKind::BackendServer);
    BOOST_CHECK(members->at(0).leaving);
    BOOST_TEST(members->at(0).endpoint == "10.0.0.1:80");
    BOOST_CHECK(members->at(1).kind == ListedKind::Daemon);
}

// Guards against an outage that looks like an empty list, which would remove every member.
BOOST_AUTO_TEST_CASE(list_outage_failsInsteadOfEmptyList)
{
    list.control({ { QStringLiteral("outage"), true } });
    BOOST_TEST(!read().has_value());
    list.control({ { QStringLiteral("outage"), false } });
    BOOST_TEST(read().has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn
