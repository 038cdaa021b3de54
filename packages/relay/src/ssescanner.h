// SseScanner: finds the events in a stream of server-sent events without copying whole ones.
#pragma once

#include <deque>
#include <functional>
#include <string>
#include <string_view>

namespace auburn {

// One event with its closing empty line.
struct SseEvent
{
    std::string_view text;
    // Value of the id field; empty if the event has none.
    std::string_view id;
    bool hasData = false;
    // The data is [DONE].
    bool done = false;
    // The event's type is "error".
    bool error = false;
};

class SseScanner
{
public:
    using Visitor = std::function<void(const SseEvent &)>;

    // Calls visit for each event that the bytes complete. Views given to it point into the bytes
    // or, for an event that arrived in parts, into the scanner; they stay valid until release().
    void feed(std::string_view bytes, const Visitor &visit);
    // Frees the storage of events that arrived in parts.
    void release() { assembled_.clear(); }
    // Bytes of an event that is not complete yet.
    std::size_t pendingBytes() const { return partial_.size(); }
    // Drops an incomplete event.
    void reset();

private:
    // Scans whole lines; returns the number of bytes up to the end of the last complete event.
    static std::size_t scan(std::string_view bytes, const Visitor &visit);

    std::string partial_;
    std::deque<std::string> assembled_;
};

} // namespace auburn
