// EventSplitter: cuts a stream of server-sent events into whole events, so that a caller never gets
// a part of one.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace auburn::gateway {

class EventSplitter
{
public:
    // Adds bytes of the stream.
    void feed(std::string_view bytes) { buffer_.append(bytes); }
    // The text of the next whole event with its closing empty line; valid until the next call.
    std::optional<std::string_view> next();
    // Bytes after the last whole event.
    std::string_view remainder() const { return std::string_view(buffer_).substr(begin_); }
    void reset();

private:
    void compact();

    std::string buffer_;
    std::size_t begin_ = 0;
    // Bytes before this position contain no end of an event.
    std::size_t scanned_ = 0;
};

// Value of the id field of an event; empty if it has none.
std::string_view eventId(std::string_view event);
// The event consists of comment lines only.
bool isCommentOnly(std::string_view event);
// The id as a number; empty if it is not one.
std::optional<std::uint64_t> numericEventId(std::string_view id);

} // namespace auburn::gateway
