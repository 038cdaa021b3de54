#include "silentforwarder.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

namespace auburn::usage {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct SilentForwarderFixture
{
    // Adds a process that reported its counts 10 s ago.
    void addSilentProcess(const std::string &vm, unsigned requests)
    {
        proto::UsageReport report;
        report.set_vm(vm);
        report.set_incarnation(1);
        if (requests > 0) {
            proto::UsageWindow &window = *report.add_windows();
            window.set_window(windowAt(unixTime, kDefaultWindowLength));
            proto::UsageCount &count = *window.add_counts();
            count.set_organisation("x");
            count.set_requests(requests);
        }
        table.merge(report, unixTime - seconds(10));
    }

    milliseconds unixTime{ 1'700'000'000'000 };
    BootClock::time_point now{ seconds(1000) };
    UsageTable table{ kDefaultWindowLength };
    std::vector<std::string> forwarded;
    SilentForwarder forwarder{ [this](const std::string & /*address*/,
                                      const proto::PeerDatagram &datagram) {
        forwarded.push_back(datagram.usage_report().vm());
    } };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(silentForwarder, SilentForwarderFixture)

// Guards against counts that reach a new holder too late because each idle process that was
// replaced before delays them by a tick.
BOOST_AUTO_TEST_CASE(tick_processesWithoutCounts_useUpNoTick)
{
    addSilentProcess("a", 0);
    addSilentProcess("b", 0);
    for (const char *vm : { "c", "d", "e", "f", "g" })
        addSilentProcess(vm, 3);
    forwarder.setHolder({ .token = 1, .udpAddress = "h" }, now);
    forwarder.tick(table, unixTime, now);
    BOOST_TEST((forwarded == std::vector<std::string>{ "c", "d", "e", "f" }));
    forwarder.tick(table, unixTime, now);
    BOOST_TEST((forwarded == std::vector<std::string>{ "c", "d", "e", "f", "g" }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace auburn::usage
