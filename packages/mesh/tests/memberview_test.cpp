#include "auburn/mesh/memberview.h"

#include <boost/test/unit_test.hpp>

namespace auburn {

namespace {

MemberView viewOf(unsigned memberCount)
{
    MemberView view;
    for (unsigned i = 0; i < memberCount; ++i)
        view.members.push_back(
                Member{ .id = "d" + std::to_string(i), .status = MemberStatus::Ready });
    return view;
}

} // namespace

BOOST_AUTO_TEST_SUITE(memberview)

// Guards against an ownership rule that reassigns the cells of remaining daemons when another one
// leaves.
BOOST_AUTO_TEST_CASE(ownerOf_memberLeaves_onlyItsKeysMove)
{
    const MemberView before = viewOf(6);
    MemberView after = before;
    after.members[2].status = MemberStatus::Draining;
    for (int i = 0; i < 200; ++i) {
        const std::string key = "cell-" + std::to_string(i);
        const std::string owner = before.ownerOf(key);
        if (owner == "d2")
            BOOST_TEST(after.ownerOf(key) == before.rankedOwners(key)[1]);
        else
            BOOST_TEST(after.ownerOf(key) == owner);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn
