#include "prefixcache.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

namespace auburn::standin {

namespace {

constexpr std::size_t kKeptEvents = 1000;

} // namespace

PrefixCache::PrefixCache(std::size_t capacity, unsigned gapEvery, std::chrono::milliseconds delay)
    : capacity_(capacity)
    , gapEvery_(gapEvery)
    , delay_(delay)
{}

bool PrefixCache::touch(std::uint64_t prefix)
{
    const auto found = entries_.find(prefix);
    if (found != entries_.end()) {
        order_.splice(order_.begin(), order_, found->second);
        return true;
    }
    if (capacity_ == 0)
        return false;
    if (entries_.size() >= capacity_) {
        const std::uint64_t oldest = order_.back();
        order_.pop_back();
        entries_.erase(oldest);
        publish(false, oldest);
    }
    order_.push_front(prefix);
    entries_.emplace(prefix, order_.begin());
    publish(true, prefix);
    return false;
}

void PrefixCache::publish(bool stored, std::uint64_t prefix)
{
    const std::uint64_t sequence = nextSequence_++;
    if (gapEvery_ != 0 && sequence % gapEvery_ == gapEvery_ - 1)
        return;
    events_.push_back(Event{ .sequence = sequence,
                             .stored = stored,
                             .prefix = prefix,
                             .published = std::chrono::steady_clock::now() + delay_ });
    if (events_.size() > kKeptEvents)
        events_.pop_front();
}

std::string PrefixCache::eventsJson(std::uint64_t from) const
{
    const auto now = std::chrono::steady_clock::now();
    QJsonArray list;
    std::uint64_t next = from;
    for (const Event &event : events_) {
        if (event.sequence < from || event.published > now)
            continue;
        next = event.sequence + 1;
        list.append(QJsonObject{ { "seq", static_cast<qint64>(event.sequence) },
                                 { "type", event.stored ? "stored" : "removed" },
                                 { "hash", QString::number(event.prefix, 16) } });
    }
    const QJsonObject object{ { "next", static_cast<qint64>(next) }, { "events", list } };
    return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

} // namespace auburn::standin
