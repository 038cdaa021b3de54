#include "claimlogadapter.h"

#include <QMetaObject>

#include <utility>

namespace auburn {

namespace {

struct ToClaimResult
{
    ClaimAppendResult operator()(const Appended &result) const
    {
        return ClaimAppended{ result.offset };
    }
    ClaimAppendResult operator()(const NotAppended &result) const
    {
        return ClaimNotAppended{ result.reason };
    }
    ClaimAppendResult operator()(const AppendUnknown &result) const
    {
        return ClaimAppendUnknown{ result.reason };
    }
};

ClaimReadResult toClaimRead(std::optional<LogBatch> batch)
{
    ClaimReadResult result;
    if (!batch)
        return result;
    result.succeeded = true;
    result.earliest = batch->earliest;
    result.next = batch->next;
    for (LogRecord &record : batch->records)
        result.records.push_back(ClaimLogRecord{
                .offset = record.offset, .time = record.time, .data = std::move(record.data) });
    return result;
}

} // namespace

ClaimLogAdapter::ClaimLogAdapter(LogClient &log)
    : log_(log)
{}

void ClaimLogAdapter::append(const std::string &stream, std::string bytes, AppendCallback callback)
{
    QMetaObject::invokeMethod(
            &context_, [this, stream, bytes = std::move(bytes), callback = std::move(callback)] {
                log_.append(stream, bytes, [callback](const AppendResult &result) {
                    callback(std::visit(ToClaimResult(), result));
                });
            });
}

void ClaimLogAdapter::read(const std::string &stream, std::uint64_t from, unsigned max,
                           std::chrono::milliseconds wait, ReadCallback callback)
{
    QMetaObject::invokeMethod(
            &context_, [this, stream, from, max, wait, callback = std::move(callback)] {
                log_.read(stream, from, max, wait, [callback](std::optional<LogBatch> batch) {
                    callback(toClaimRead(std::move(batch)));
                });
            });
}

} // namespace auburn
