#pragma once

#include <algorithm>
#include <cstddef>

namespace auburn {

// HeaderSize counts the bytes and lines of a request's header and trailers.
struct HeaderSize
{
    void add(const char *data, std::size_t size)
    {
        bytes += size;
        lines += static_cast<std::size_t>(std::count(data, data + size, '\n'));
    }

    // Estimated memory of the header, in the parser and in the request made from it. Each line has
    // the overhead of a field.
    std::size_t heldBytes() const { return bytes * kBytesPerByte + lines * kBytesPerLine; }

    static constexpr std::size_t kBytesPerByte = 3;
    static constexpr std::size_t kBytesPerLine = 192;

    std::size_t bytes = 0;
    std::size_t lines = 0;
};

} // namespace auburn
