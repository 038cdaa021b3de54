// Decoders of the records that the holders of the duties write: the lease and the usage figures.
// The input is a page of the store's log; the class that reads such records runs on it for some
// time.

#include "decoder.h"
#include "messagefields.h"

#include "auburn.pb.h"
#include "auburn/duties/lease.h"
#include "auburn/usage/usagecollector.h"
#include "platform/storerecords.h"

#include <utility>

namespace auburn::fuzz {

namespace {

using std::chrono::milliseconds;
using TimePoint = BootClock::time_point;

const TimePoint kStart{ std::chrono::seconds(1000) };
constexpr milliseconds kUnixTime{ 1'700'000'000'000 };
constexpr milliseconds kTick{ 100 };
constexpr std::uint64_t kFirstOffset = 10;
constexpr char kEnd = 20;
// The end of the log and its first offset, 8 bytes each.
const std::string kPageHead = std::string(7, '\0') + kEnd + std::string(8, '\0');

// A log that begins with the records of a page.
class PageLog : public duties::ConditionalLog
{
public:
    explicit PageLog(std::string_view input)
    {
        const auto page = platform::parseLogRead(input, kFirstOffset);
        if (!page)
            return;
        for (const platform::KeyedRecord &record : page->records)
            listing_.items.push_back(
                    { .key = record.key, .value = record.value, .position = record.offset });
        listing_.end = page->end;
    }

    void list(ListHandler handler) override { handler(listing_); }
    void append(std::string key, std::string value, std::uint64_t expectedEnd,
                AppendHandler handler) override
    {
        if (expectedEnd != listing_.end) {
            handler({ .status = duties::AppendStatus::Conflict, .end = listing_.end });
            return;
        }
        const std::uint64_t offset = listing_.end++;
        std::erase_if(listing_.items, [&key](const auto &item) { return item.key == key; });
        listing_.items.push_back(
                { .key = std::move(key), .value = std::move(value), .position = offset });
        handler({ .status = duties::AppendStatus::Appended,
                  .position = offset,
                  .end = listing_.end });
    }

private:
    duties::LogListing listing_;
};

struct HeldPermit : duties::DutyPermit
{
    bool isHeld() const override { return true; }
    std::uint64_t token() const override { return 1; }
};

struct AcceptingApi : duties::DutyApi
{
    void reportUsage(const duties::UsageFigure & /*figure*/, Handler handler) override
    {
        handler(duties::CallStatus::Accepted);
    }
    void orderServers(const duties::ServerOrder & /*order*/, Handler handler) override
    {
        handler(duties::CallStatus::Accepted);
    }
};

void decodeLease(std::string_view input)
{
    PageLog log(input);
    TimePoint now = kStart;
    duties::Lease lease({ .vm = "vm",
                          .incarnation = 7,
                          .udpAddress = "127.0.0.1:1",
                          .log = &log,
                          .now = [&now] { return now; },
                          .isCandidate = [] { return true; },
                          .onHolderChanged = [](const duties::DutyHolder &) {},
                          .onHeldChanged = [](bool) {} });
    for (; now < kStart + std::chrono::seconds(10); now += kTick)
        lease.tick();
    lease.release();
}

void decodeUsage(std::string_view input)
{
    PageLog log(input);
    HeldPermit permit;
    AcceptingApi api;
    usage::FleetClock clock("vm");
    usage::UsageCollector collector(
            { .send = [](const std::string &, const proto::PeerDatagram &) {} },
            { .clock = clock, .log = log, .api = api, .permit = permit });
    for (TimePoint now = kStart; now < kStart + std::chrono::seconds(10); now += kTick) {
        clock.recordClock("vm", kUnixTime + std::chrono::duration_cast<milliseconds>(now - kStart),
                          now);
        collector.tick(now, { { .vm = "vm", .udpAddress = "127.0.0.1:1", .failureDomain = "a" } },
                       {});
    }
}

// Changes a field of one record of the page.
template<typename Message>
void changeRecord(std::string &input, Random &random)
{
    auto page = platform::parseLogRead(input, kFirstOffset);
    if (!page || page->records.empty())
        return;
    changeSerializedField<Message>(page->records[random() % page->records.size()].value, random);
    input.resize(kPageHead.size());
    for (const platform::KeyedRecord &record : page->records)
        input += platform::encodeKeyedRecord(record.key, record.value);
}

std::string leaseRecord(bool released)
{
    proto::LeaseRecord record;
    record.set_vm("vm2");
    record.set_incarnation(3);
    record.set_token(5);
    record.set_renewal(2);
    record.set_released(released);
    record.set_udp_address("127.0.0.1:2");
    return platform::encodeKeyedRecord("duties", record.SerializeAsString());
}

std::string usageRecord(const std::string &key, std::uint64_t age)
{
    proto::UsageRecord record;
    record.set_window(usage::windowAt(kUnixTime, usage::kDefaultWindowLength) - age);
    for (const char *organisation : { "x", "y" }) {
        proto::UsageCount &count = *record.add_counts();
        count.set_organisation(organisation);
        count.set_requests(7);
    }
    return platform::encodeKeyedRecord(key, record.SerializeAsString());
}

} // namespace

std::vector<Decoder> dutyDecoders()
{
    return {
        { .name = "lease-records",
          .corpus = { kPageHead + leaseRecord(false), kPageHead + leaseRecord(true), kPageHead },
          .decode = decodeLease,
          .changeField = changeRecord<proto::LeaseRecord> },
        { .name = "usage-records",
          .corpus = { kPageHead + usageRecord("1", 2) + usageRecord("2", 1),
                      kPageHead + usageRecord("3-1-2", 1) + usageRecord("3-2-2", 1) },
          .decode = decodeUsage,
          .changeField = changeRecord<proto::UsageRecord> },
    };
}

} // namespace auburn::fuzz
