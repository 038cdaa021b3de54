// LogClient: appends to and reads from the streams of the platform's log.
//
// An append whose response is lost may have taken effect. The result states which of the three
// cases applies, so that a caller repeats an append only under an id that readers count once.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace auburn {

struct Appended
{
    std::uint64_t offset = 0;
};

// The record is not on the log and this call will not put it there.
struct NotAppended
{
    std::string reason;
};

// The record may be on the log, or may still arrive there.
struct AppendUnknown
{
    std::string reason;
};

using AppendResult = std::variant<Appended, NotAppended, AppendUnknown>;

struct LogRecord
{
    std::uint64_t offset = 0;
    // Time of the append by the log's clock, since the epoch.
    std::chrono::milliseconds time{ 0 };
    std::string data;
};

struct LogBatch
{
    // Offset of the earliest record that the log still holds; equal to next if it holds none.
    std::uint64_t earliest = 0;
    // Offset that the next append will get.
    std::uint64_t next = 0;
    // In offset order, from the requested offset or from earliest, whichever is later.
    std::vector<LogRecord> records;
};

struct LogClientOptions
{
    // For example http://10.0.0.1:8080; paths of section 4 of the design page are added to it.
    std::string baseUrl;
    // Time limit of an append, from the call to the response, connecting included.
    std::chrono::milliseconds appendTimeout{ 2000 };
    // Time that a read may take beyond its own wait.
    std::chrono::milliseconds readMargin{ 2000 };
    // A longer response ends the call with an error.
    std::size_t maxAnswerBytes = 64UL * 1024 * 1024;
};

// Used on the thread of Qt's event loop; all calls and callbacks happen there. It must not be
// destroyed from a callback.
class LogClient
{
public:
    // Called once, later than the call itself, unless the client is destroyed before.
    using AppendCallback = std::function<void(AppendResult)>;
    // Empty, with lastError() set, if the read failed.
    using ReadCallback = std::function<void(std::optional<LogBatch>)>;

    virtual ~LogClient() = default;

    // Client over HTTP; null, with lastError() set, if the base URL is not an http URL.
    static std::unique_ptr<LogClient> make(const LogClientOptions &options);

    virtual void append(const std::string &stream, std::string bytes, AppendCallback callback) = 0;

    // Reads at most max records with offsets >= from. If there is none, the log holds the response
    // until one is appended or wait has passed.
    virtual void read(const std::string &stream, std::uint64_t from, std::size_t max,
                      std::chrono::milliseconds wait, ReadCallback callback) = 0;
};

} // namespace auburn
