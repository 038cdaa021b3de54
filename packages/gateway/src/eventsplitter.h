#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace auburn::gateway {

// EventSplitter splits a byte stream into complete server-sent events, so that the partial event
// of a server that failed is not forwarded to the caller.
class EventSplitter
{
public:
    // Appends bytes of the stream.
    void feed(std::string_view bytes) { buffer_.append(bytes); }
    // Returns the text of the next complete event, including the terminating empty line. It is
    // valid until the next call.
    std::optional<std::string_view> next();
    // The bytes after the last complete event.
    std::string_view remainder() const { return std::string_view(buffer_).substr(begin_); }
    // Number of bytes of memory that are held.
    std::size_t heldBytes() const { return buffer_.capacity(); }
    // Discards all buffered bytes.
    void reset();

private:
    // Frees the buffer space of events that have been returned.
    void compact();

    std::string buffer_;
    std::size_t begin_ = 0;
    // No event ends before this position.
    std::size_t scanned_ = 0;
};

// Returns the value of the id field of an event, or an empty string if it has none.
std::string_view eventId(std::string_view event);
// True if the event consists of comment lines only.
bool isCommentOnly(std::string_view event);
// Returns the id as a number, or no value if it is not a number.
std::optional<std::uint64_t> numericEventId(std::string_view id);

} // namespace auburn::gateway
