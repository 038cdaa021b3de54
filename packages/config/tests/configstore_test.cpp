#include "auburn/config/configstore.h"

#include <boost/test/unit_test.hpp>

namespace auburn {

BOOST_AUTO_TEST_SUITE(configstore)

// Guards against a stale state that replaces a newer one, and against a subscriber that is told of
// it.
BOOST_AUTO_TEST_CASE(update_lowerRevision_keepsStateAndTellsNobody)
{
    ConfigStore store;
    std::vector<std::uint64_t> seen;
    auto subscription = store.subscribe(
            [&seen](const auto &state) { seen.push_back(state->revision()); });
    BOOST_TEST(store.update(ConfigState::make({}, 0)));
    BOOST_TEST(store.update(ConfigState::make({}, 5)));
    BOOST_TEST(!store.update(ConfigState::make({}, 4)));
    BOOST_TEST(!store.update(nullptr));
    BOOST_TEST(store.revision() == 5U);
    subscription.reset();
    BOOST_TEST(store.update(ConfigState::make({}, 6)));
    BOOST_TEST(seen == std::vector<std::uint64_t>({ 0, 5 }), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn
