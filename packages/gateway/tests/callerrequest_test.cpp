#include "callerrequest.h"

#include <boost/test/unit_test.hpp>

namespace auburn::gateway {

BOOST_AUTO_TEST_SUITE(callerRequest)

BOOST_AUTO_TEST_CASE(promptParts_hexadecimalIds_areParsed)
{
    const auto parts = parsePromptParts("5c1e07a2:800, 91bd3f06:410,bad,e4402b7d:x");
    BOOST_REQUIRE(parts.size() == 2U);
    BOOST_TEST(parts[0].id == 0x5c1e07a2U);
    BOOST_TEST(parts[0].tokens == 800U);
    BOOST_TEST(parts[1].tokens == 410U);
}

BOOST_AUTO_TEST_CASE(fields_reservedAndHopByHopOnes_areNotPassedOn)
{
    RequestHeader header;
    header.method_string("POST");
    header.target("/a/b?c=d");
    header.set("Host", "h");
    header.set("X-Id", "7");
    header.set("X-Secret", "forged");
    header.set("Connection", "keep-alive, X-Hop");
    header.set("X-Hop", "1");
    header.set("X-Other", "kept");
    const HeaderNames headerNames{
        .requestId = "X-Id", .deadline = "X-Deadline", .apiKey = "X-Key", .reserved = { "x-secret" }
    };
    const auto budget = std::make_shared<MemoryBudget>(MemoryBudget::kSmallHolderBytes);
    const CallerRequest request = readCallerRequest(header, { "body", HeldMemory(budget) },
                                                    headerNames);
    BOOST_REQUIRE(request.fields.size() == 2U);
    BOOST_TEST(request.fields[0].name == "X-Id");
    BOOST_TEST(request.fields[1].name == "X-Other");
    BOOST_TEST(request.target == "/a/b?c=d");
    BOOST_TEST(pathOf(request.target) == "/a/b");
    BOOST_TEST(!request.deadline);
}

BOOST_AUTO_TEST_CASE(fingerprint_sameContentWithAnotherId_isEqual)
{
    CallerRequest left;
    left.id = "1";
    left.target = "/a";
    left.body = std::make_shared<const std::string>("x");
    CallerRequest right = left;
    right.id = "2";
    BOOST_TEST(requestFingerprint(left) == requestFingerprint(right));
    right.target = "/b";
    BOOST_TEST(requestFingerprint(left) != requestFingerprint(right));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::gateway
