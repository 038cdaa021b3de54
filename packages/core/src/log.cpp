#include "auburn/core/log.h"

#include <atomic>
#include <cstdio>
#include <ctime>
#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace auburn {

namespace {

std::atomic<LogLevel> minimumLevel{ LogLevel::Info };
std::function<void(std::string_view)> lineSink;
std::string processLabel;

std::string_view levelName(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return "DEBUG";
    case LogLevel::Info:
        return "INFO";
    case LogLevel::Warning:
        return "WARNING";
    case LogLevel::Error:
        return "ERROR";
    }
    return "INFO";
}

// "time=2026-01-02T03:04:05.678" in UTC.
std::string timeText()
{
    timespec now{};
    clock_gettime(CLOCK_REALTIME, &now);
    tm parts{};
    gmtime_r(&now.tv_sec, &parts);
    char text[48];
    const std::size_t size = strftime(text, sizeof(text), "time=%Y-%m-%dT%H:%M:%S", &parts);
    std::snprintf(text + size, sizeof(text) - size, ".%03ld", now.tv_nsec / 1000000);
    return text;
}

bool needsQuotes(std::string_view value)
{
    return value.empty() || value.find_first_of(" \"=\\\n\r\t") != std::string_view::npos;
}

void appendValue(std::string &line, std::string_view value)
{
    if (!needsQuotes(value)) {
        line += value;
        return;
    }
    line += '"';
    for (const char c : value) {
        const auto byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\') {
            line += '\\';
            line += c;
        } else if (byte < 0x20) {
            char escaped[8];
            std::snprintf(escaped, sizeof(escaped), "\\x%02x", byte);
            line += escaped;
        } else {
            line += c;
        }
    }
    line += '"';
}

} // namespace

void initialiseLog(LogLevel minimum, std::string_view processName)
{
    minimumLevel = minimum;
    processLabel = processName;
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::Format,
                              "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} level=%level process="
                                      + std::string(processName) + " %msg");
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    el::Loggers::reconfigureAllLoggers(configuration);
}

void setLogSink(std::function<void(std::string_view line)> sink)
{
    lineSink = std::move(sink);
}

std::string formatEvent(std::string_view event, std::initializer_list<LogField> fields)
{
    std::string line = "event=";
    appendValue(line, event);
    for (const LogField &field : fields) {
        line += ' ';
        line += field.key;
        line += '=';
        appendValue(line, field.value);
    }
    return line;
}

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    if (level < minimumLevel.load(std::memory_order_relaxed))
        return;
    const std::string line = formatEvent(event, fields);
    if (lineSink) {
        std::string whole = timeText();
        whole.append(" level=").append(levelName(level)).append(" process=").append(processLabel);
        lineSink(whole.append(" ").append(line));
        return;
    }
    switch (level) {
    case LogLevel::Debug:
        LOG(DEBUG) << line;
        break;
    case LogLevel::Info:
        LOG(INFO) << line;
        break;
    case LogLevel::Warning:
        LOG(WARNING) << line;
        break;
    case LogLevel::Error:
        LOG(ERROR) << line;
        break;
    }
}

} // namespace auburn
