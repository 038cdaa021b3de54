// StreamTable: the streams of the log stand-in, in memory, with retention and long polls.
#pragma once

#include "httpserver.h"

#include <boost/asio/steady_timer.hpp>

#include <QJsonObject>

#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace auburn::standins {

struct Retention
{
    // Records older than this are removed; 0 keeps them.
    std::chrono::milliseconds age{ 0 };
    // Records of a stream beyond this number are removed, the oldest first; 0 keeps them.
    std::uint64_t count = 0;
};

class StreamTable
{
public:
    StreamTable(boost::asio::io_context &context, Retention retention, std::uint64_t firstOffset);

    void setRetention(Retention retention) { retention_ = retention; }
    const Retention &retention() const { return retention_; }

    // Offset of the new record. Answers the long polls that wait for it.
    std::uint64_t append(const std::string &stream, std::string data);

    // Answers with the records from an offset on, once there is one or the wait has passed.
    void read(const std::string &stream, std::uint64_t from, std::uint64_t max,
              std::chrono::milliseconds wait, const ResponderPtr &responder);

    // For each stream: appends, reads, earliest, next.
    QJsonObject stats();

private:
    struct Record
    {
        std::uint64_t offset = 0;
        std::chrono::system_clock::time_point time;
        std::string data;
    };

    struct Waiter
    {
        std::uint64_t from = 0;
        std::uint64_t max = 0;
        ResponderPtr responder;
        boost::asio::steady_timer timer;
    };

    struct Stream
    {
        std::uint64_t next = 0;
        std::uint64_t appends = 0;
        std::uint64_t reads = 0;
        std::deque<Record> records;
        std::list<std::shared_ptr<Waiter>> waiters;

        std::uint64_t earliest() const { return records.empty() ? next : records.front().offset; }
    };

    Stream &stream(const std::string &name);
    void removeExpired(Stream &stream) const;
    static void answer(const Stream &stream, std::uint64_t from, std::uint64_t max,
                       const ResponderPtr &responder);

    boost::asio::io_context &context_;
    Retention retention_;
    std::uint64_t firstOffset_;
    std::map<std::string, Stream> streams_;
};

} // namespace auburn::standins
