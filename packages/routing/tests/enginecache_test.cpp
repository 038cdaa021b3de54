#include "auburn/routing/enginecache.h"

#include <boost/test/unit_test.hpp>

namespace auburn::routing {

BOOST_AUTO_TEST_SUITE(engineCache)

BOOST_AUTO_TEST_CASE(uncachedTokens_partAfterAMissingOne_isIncluded)
{
    EngineCache cache(1000);
    cache.touch({ { .id = 2, .tokens = 100 } });
    const PromptParts prompt{ { .id = 1, .tokens = 50 }, { .id = 2, .tokens = 100 } };
    BOOST_TEST(cache.uncachedTokens(prompt) == 150U);
    cache.touch(prompt);
    BOOST_TEST(cache.uncachedTokens(prompt) == 0U);
}

BOOST_AUTO_TEST_CASE(touch_beyondCapacity_evictsLeastRecentlyUsedPart)
{
    EngineCache cache(250);
    cache.touch({ { .id = 1, .tokens = 100 } });
    cache.touch({ { .id = 2, .tokens = 100 } });
    cache.touch({ { .id = 1, .tokens = 100 } });
    cache.touch({ { .id = 3, .tokens = 100 } });
    BOOST_TEST(cache.contains(1));
    BOOST_TEST(!cache.contains(2));
}

BOOST_AUTO_TEST_CASE(touch_onePrompt_evictsLastPartBeforeTheSharedOne)
{
    EngineCache cache(250);
    cache.touch({ { .id = 1, .tokens = 100 }, { .id = 9, .tokens = 100 } });
    cache.touch({ { .id = 2, .tokens = 100 } });
    BOOST_TEST(cache.contains(1));
    BOOST_TEST(!cache.contains(9));
}

// Guards against memory that grows with the number of parts in callers' prompts: parts of few or no
// tokens would hardly ever be evicted.
BOOST_AUTO_TEST_CASE(touch_tinyParts_areEvicted)
{
    constexpr std::uint64_t kCapacityTokens = 400000;
    constexpr std::uint64_t kParts = 50000;
    for (const std::uint64_t tokens : { 0, 1 }) {
        EngineCache cache(kCapacityTokens);
        for (std::uint64_t id = 0; id < kParts; ++id)
            cache.touch({ { .id = id, .tokens = tokens } });
        BOOST_TEST(!cache.contains(0));
        BOOST_TEST(cache.contains(kParts - 1));
        EngineCache none(0);
        none.touch({ { .id = 1, .tokens = tokens } });
        BOOST_TEST(!none.contains(1));
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::routing
