#include "streamtable.h"

#include "faults.h"

#include <QJsonArray>

#include <algorithm>
#include <utility>

namespace auburn::standins {

namespace {

constexpr std::uint64_t kMaxRecordsPerRead = 10000;

qint64 jsonNumber(std::uint64_t value)
{
    return static_cast<qint64>(value);
}

} // namespace

StreamTable::StreamTable(boost::asio::io_context &context, Retention retention,
                         std::uint64_t firstOffset)
    : context_(context)
    , retention_(retention)
    , firstOffset_(firstOffset)
{}

StreamTable::Stream &StreamTable::stream(const std::string &name)
{
    const auto found = streams_.find(name);
    if (found != streams_.end())
        return found->second;
    Stream &created = streams_[name];
    created.next = firstOffset_;
    return created;
}

void StreamTable::removeExpired(Stream &stream) const
{
    const auto now = std::chrono::system_clock::now();
    const auto isExpired = [this, &stream, now]() {
        if (stream.records.empty())
            return false;
        const bool tooMany = retention_.count > 0 && stream.records.size() > retention_.count;
        const bool tooOld = retention_.age.count() > 0
                            && now - stream.records.front().time > retention_.age;
        return tooMany || tooOld;
    };
    while (isExpired())
        stream.records.pop_front();
}

std::uint64_t StreamTable::append(const std::string &name, std::string data)
{
    Stream &target = stream(name);
    ++target.appends;
    const std::uint64_t offset = target.next++;
    target.records.push_back(Record{
            .offset = offset, .time = std::chrono::system_clock::now(), .data = std::move(data) });
    removeExpired(target);
    std::list<std::shared_ptr<Waiter>> woken;
    for (auto waiter = target.waiters.begin(); waiter != target.waiters.end();) {
        const auto following = std::next(waiter);
        if ((*waiter)->from <= offset)
            woken.splice(woken.end(), target.waiters, waiter);
        waiter = following;
    }
    for (const auto &waiter : woken)
        answer(target, waiter->from, waiter->max, waiter->responder);
    return offset;
}

void StreamTable::read(const std::string &name, std::uint64_t from, std::uint64_t max,
                       std::chrono::milliseconds wait, const ResponderPtr &responder)
{
    Stream &source = stream(name);
    ++source.reads;
    removeExpired(source);
    const bool hasRecords = !source.records.empty() && from < source.next;
    const bool isBehind = from < source.earliest();
    if (hasRecords || isBehind || wait.count() == 0) {
        answer(source, from, max, responder);
        return;
    }
    const auto waiter = std::make_shared<Waiter>(
            Waiter{ from, max, responder, boost::asio::steady_timer(context_, wait) });
    source.waiters.push_back(waiter);
    // An append may wake the waiter when this handler is already queued; the cancellation of the
    // timer then comes too late, and only the expired pointer shows it.
    waiter->timer.async_wait(
            [&source, weak = std::weak_ptr(waiter), this](boost::system::error_code error) {
                const auto expired = weak.lock();
                if (error || !expired)
                    return;
                source.waiters.remove(expired);
                removeExpired(source);
                answer(source, expired->from, expired->max, expired->responder);
            });
}

void StreamTable::answer(const Stream &stream, std::uint64_t from, std::uint64_t max,
                         const ResponderPtr &responder)
{
    const auto first = std::lower_bound(
            stream.records.begin(), stream.records.end(), from,
            [](const Record &record, std::uint64_t offset) { return record.offset < offset; });
    const auto held = static_cast<std::uint64_t>(stream.records.end() - first);
    const std::uint64_t count = std::min({ max, held, kMaxRecordsPerRead });
    QJsonArray records;
    for (auto record = first; record != first + static_cast<std::ptrdiff_t>(count); ++record) {
        const auto time = std::chrono::duration_cast<std::chrono::milliseconds>(
                record->time.time_since_epoch());
        const auto data = QByteArray::fromStdString(record->data).toBase64();
        records.append(QJsonObject{ { QStringLiteral("offset"), jsonNumber(record->offset) },
                                    { QStringLiteral("time_ms"), qint64(time.count()) },
                                    { QStringLiteral("data"), QString::fromLatin1(data) } });
    }
    responder->send(boost::beast::http::status::ok,
                    toJson({ { QStringLiteral("earliest"), jsonNumber(stream.earliest()) },
                             { QStringLiteral("next"), jsonNumber(stream.next) },
                             { QStringLiteral("records"), records } }));
}

QJsonObject StreamTable::stats()
{
    QJsonObject result;
    for (auto &[name, stream] : streams_) {
        removeExpired(stream);
        result[QString::fromStdString(name)] = QJsonObject{
            { QStringLiteral("appends"), jsonNumber(stream.appends) },
            { QStringLiteral("reads"), jsonNumber(stream.reads) },
            { QStringLiteral("earliest"), jsonNumber(stream.earliest()) },
            { QStringLiteral("next"), jsonNumber(stream.next) }
        };
    }
    return result;
}

} // namespace auburn::standins
