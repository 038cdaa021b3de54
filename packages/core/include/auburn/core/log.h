// Structured logs: one line of logfmt for each event, written through easylogging++.
#pragma once

#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace auburn {

enum class LogLevel { Debug, Info, Warning, Error };

// One key and value of a log line. Values with spaces or quotes are quoted and escaped.
struct LogField
{
    LogField(std::string_view fieldKey, std::string fieldValue)
        : key(fieldKey)
        , value(std::move(fieldValue))
    {}
    LogField(std::string_view fieldKey, std::string_view fieldValue)
        : key(fieldKey)
        , value(fieldValue)
    {}
    LogField(std::string_view fieldKey, const char *fieldValue)
        : key(fieldKey)
        , value(fieldValue)
    {}
    LogField(std::string_view fieldKey, long long fieldValue)
        : key(fieldKey)
        , value(std::to_string(fieldValue))
    {}

    std::string_view key;
    std::string value;
};

// Sets up the logger of the process; call once before the first line. Lines below minimum are
// dropped.
void initialiseLog(LogLevel minimum, std::string_view processName);

// Takes whole lines instead of standard output from now on; an empty function ends that. Only for
// processes that log from one thread.
void setLogSink(std::function<void(std::string_view line)> sink);

// Writes "event=NAME key=value ..." with time, level and process name.
void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

// The logfmt text of an event without time and level; public for tests.
std::string formatEvent(std::string_view event, std::initializer_list<LogField> fields);

} // namespace auburn
