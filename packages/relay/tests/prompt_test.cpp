#include "prompt.h"

#include <boost/test/unit_test.hpp>

#include <QJsonDocument>
#include <QJsonObject>

namespace auburn {

BOOST_AUTO_TEST_SUITE(prompt)

// Guards against a caller that raises its own priority at the engine, also with an escaped key.
BOOST_AUTO_TEST_CASE(withPriority_callerSetsOne_replaced)
{
    for (const char *body :
         { R"({"model":"m","messages":[]})", R"({"model":"m","messages":[],"priority":-5} )",
           R"({"priorit\u0079":-5,"model":"m","messages":[]})",
           R"({"model":"m","messages":[],"x":"\"priority\" }"})" }) {
        const std::string result = withPriority(body, 3);
        const QJsonObject object = QJsonDocument::fromJson(QByteArray::fromStdString(result))
                                           .object();
        BOOST_TEST(object.value("priority").toInt() == 3);
        BOOST_TEST(object.value("model").toString().toStdString() == "m");
    }
}

// Guards against turns of one conversation that are not sent to the backend server that caches it.
BOOST_AUTO_TEST_CASE(prefixHash_laterTurn_same)
{
    const auto first = parsePrompt(R"({"model":"m","messages":[{"content":"system"}]})");
    const auto later = parsePrompt(
            R"({"model":"m","messages":[{"content":"system"},{"content":"more"}]})");
    const auto other = parsePrompt(R"({"model":"m","messages":[{"content":"other"}]})");
    BOOST_REQUIRE((first && later && other));
    BOOST_TEST(first->prefixHash == later->prefixHash);
    BOOST_TEST(first->prefixHash != other->prefixHash);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn
