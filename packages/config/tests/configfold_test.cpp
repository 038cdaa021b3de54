#include "auburn/config/configfold.h"

#include "changes.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

namespace auburn {

using namespace tests;

namespace {

struct InvalidCase
{
    const char *label;
    proto::ConfigChange change;
    const char *reason;
};

std::ostream &operator<<(std::ostream &out, const InvalidCase &invalid)
{
    return out << invalid.label;
}

// Each with a name of its own, so that only the fault at hand rejects it.
std::vector<InvalidCase> invalidCases()
{
    proto::ConfigChange noValue;
    noValue.set_change_id("x");
    proto::ConfigChange largeOperator = change("x", 0, organisation("a"));
    largeOperator.set_operator_name(std::string(129, 'o'));
    BackendServer noSlots = backendServer("a", "s");
    noSlots.slots = 0;
    BackendServer noPort = backendServer("a", "s");
    noPort.address = "10.0.0.1";
    BackendServer highPort = backendServer("a", "s");
    highPort.address = "10.0.0.1:70000";
    BackendServer spaceInHost = backendServer("a", "s");
    spaceInHost.address = "10.0.0.1 x:80";
    Caller upperCaseHash = caller("a", "o", "c");
    upperCaseHash.tokenSha256 = std::string(64, 'A');
    return {
        { "no value", noValue, "change has no item value" },
        { "operator", largeOperator, "operator name is longer than 128 characters" },
        { "no id", change("", 0, organisation("a")), "change id is empty" },
        { "name empty", change("x", 0, organisation("")), "organisation name is empty" },
        { "name long", change("x", 0, organisation(std::string(65, 'n'))),
          "organisation name is longer than 64 characters" },
        { "name slash", change("x", 0, organisation("a/b")),
          "organisation name must start with a letter or digit and hold only letters, digits and "
          ". _ - :" },
        { "tier", change("x", 0, RequestClass{ .name = "a", .tier = 8 }),
          "class tier must be below 8" },
        { "idle timeout",
          change("x", 0, Service{ .name = "a", .idleTimeout = std::chrono::milliseconds(0) }),
          "service idle timeout must be between 1 ms and 24 h" },
        { "slots", change("x", 0, noSlots), "backend server slots must be between 1 and 100000" },
        { "no port", change("x", 0, noPort), "backend server address must be host:port" },
        { "high port", change("x", 0, highPort), "backend server address must be host:port" },
        { "space in host", change("x", 0, spaceInHost),
          "backend server address must be host:port" },
        { "token hash", change("x", 0, upperCaseHash),
          "caller token hash must be 64 lower-case hexadecimal digits" },
        { "no service", change("x", 0, backendServer("a", "s")), "service 's' does not exist" },
        { "no organisation", change("x", 0, caller("a", "o", "c")),
          "organisation 'o' does not exist" },
        { "remove absent", removal("x", 0, organisation("a")), "the item does not exist" },
    };
}

ChangeStatus statusOf(const std::optional<FoldedChange> &folded)
{
    BOOST_REQUIRE(folded.has_value());
    BOOST_TEST_MESSAGE(folded->reason);
    return folded->status;
}

} // namespace

BOOST_AUTO_TEST_SUITE(configfold)

// Guards against an invalid item that takes effect, and against a rejection without its reason.
BOOST_DATA_TEST_CASE(fold_invalidChange_rejectedWithReason, invalidCases(), invalid)
{
    ConfigFold fold;
    const auto folded = fold.fold(1, invalid.change);
    BOOST_REQUIRE(folded.has_value());
    BOOST_CHECK(folded->status == ChangeStatus::Invalid);
    BOOST_TEST(folded->reason == invalid.reason);
    BOOST_TEST(fold.state()->items().empty());
    BOOST_TEST(fold.revision() == 1U);
}

// Guards against two racing changes that both win, or that both lose.
BOOST_AUTO_TEST_CASE(fold_racingChanges_onlyTheFirstWins)
{
    ConfigFold fold;
    fold.fold(1, change("create", 0, organisation("a")));
    BOOST_CHECK(statusOf(fold.fold(2, change("left", 1, organisation("a", 5))))
                == ChangeStatus::Accepted);
    BOOST_CHECK(statusOf(fold.fold(3, change("right", 1, organisation("a", 7))))
                == ChangeStatus::Conflict);
    BOOST_TEST(fold.state()->organisation("a")->maxConcurrent == 5U);
    BOOST_TEST(fold.state()->find({ ItemKind::Organisation, "a" })->revision == 2U);
}

// Guards against a repeated append that creates an item again after its removal.
BOOST_AUTO_TEST_CASE(fold_repeatedIdAfterRemoval_hasNoEffect)
{
    ConfigFold fold;
    fold.fold(1, change("create", 0, organisation("a")));
    BOOST_CHECK(statusOf(fold.fold(2, removal("remove", 1, organisation("a"))))
                == ChangeStatus::Accepted);
    BOOST_TEST(!fold.fold(3, change("create", 0, organisation("a"))).has_value());
    BOOST_TEST(fold.state()->items().empty());
    BOOST_TEST(fold.history().entries().size() == 2U);
}

// Guards against a caller or backend server that is left with a reference to a missing item.
BOOST_AUTO_TEST_CASE(fold_removalOfItemInUse_rejectedUntilUsersAreGone)
{
    ConfigFold fold;
    fold.fold(1, change("o", 0, organisation("o")));
    fold.fold(2, change("c", 0, RequestClass{ .name = "c" }));
    BOOST_CHECK(statusOf(fold.fold(3, change("u", 0, caller("u", "o", "c"))))
                == ChangeStatus::Accepted);
    BOOST_CHECK(statusOf(fold.fold(4, removal("x", 2, RequestClass{ .name = "c" })))
                == ChangeStatus::Invalid);
    fold.fold(5, removal("y", 3, caller("u", "o", "c")));
    BOOST_CHECK(statusOf(fold.fold(6, removal("z", 2, RequestClass{ .name = "c" })))
                == ChangeStatus::Accepted);
}

// Guards against two callers that authenticate with one token.
BOOST_AUTO_TEST_CASE(fold_tokenOfAnotherCaller_rejected)
{
    ConfigFold fold;
    fold.fold(1, change("o", 0, organisation("o")));
    fold.fold(2, change("c", 0, RequestClass{ .name = "c" }));
    fold.fold(3, change("u", 0, caller("u", "o", "c")));
    Caller second = caller("v", "o", "c");
    second.tokenSha256 = caller("u", "o", "c").tokenSha256;
    BOOST_CHECK(statusOf(fold.fold(4, change("v", 0, second))) == ChangeStatus::Invalid);
}

// Guards against a record at offset 0 whose item would look absent, because revision 0 means that.
BOOST_AUTO_TEST_CASE(fold_recordAtOffsetZero_ignored)
{
    ConfigFold fold;
    BOOST_TEST(!fold.fold(0, change("a", 0, organisation("a"))).has_value());
    BOOST_CHECK(statusOf(fold.fold(1, change("a", 0, organisation("a"))))
                == ChangeStatus::Accepted);
}

// Guards against a puller that misses changes which the peer no longer holds.
BOOST_AUTO_TEST_CASE(deltaChunks_changesNoLongerHeld_empty)
{
    ConfigFold fold;
    std::uint64_t offset = 0;
    for (std::size_t i = 0; i <= kHeldChanges; ++i) {
        ++offset;
        fold.fold(offset, change("c" + std::to_string(i), 0, organisation("a")));
    }
    BOOST_TEST(!fold.deltaChunks(0, "d", 1000).has_value());
    BOOST_REQUIRE(fold.deltaChunks(1, "d", 1000).has_value());
    BOOST_TEST(!fold.deltaChunks(offset + 1, "d", 1000).has_value());
}

// Guards against a delta that is folded onto a state which lacks the changes before it.
BOOST_AUTO_TEST_CASE(foldDelta_startsAfterOwnRevision_refused)
{
    ConfigFold fold;
    fold.fold(1, change("a", 0, organisation("a")));
    fold.fold(2, change("b", 0, organisation("b")));
    ConfigFold behind;
    std::vector<FoldedChange> folded;
    BOOST_TEST(!behind.foldDelta(*fold.deltaChunks(1, "d", 1000), folded));
    BOOST_TEST(behind.revision() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn
