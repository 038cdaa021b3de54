#include "auburn/core/log.h"

#include <atomic>
#include <cstdio>
#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace auburn {

namespace {

std::atomic<LogLevel> minimumLevel{ LogLevel::Info };

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
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::Format,
                              "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} level=%level process="
                                      + std::string(processName) + " %msg");
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    el::Loggers::reconfigureAllLoggers(configuration);
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
