// GradualBody: a Beast body in a string that grows with the bytes that arrive.
//
// The string body of Beast reserves the whole Content-Length once the header has been read, so that
// a caller that sends nothing but headers makes the process reserve the body limit for each.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>

namespace auburn {

struct GradualBody
{
    using value_type = std::string; // NOLINT(readability-identifier-naming)

    class reader // NOLINT(readability-identifier-naming)
    {
    public:
        template<bool isRequest, class Fields>
        reader(boost::beast::http::header<isRequest, Fields> & /*header*/, value_type &body)
            : body_(body)
        {}

        void init(const boost::optional<std::uint64_t> &length, boost::beast::error_code &error)
        {
            // The parser has compared the length with its body limit.
            length_ = length ? static_cast<std::size_t>(*length) : body_.max_size();
            error = {};
        }

        template<class ConstBufferSequence>
        std::size_t put(const ConstBufferSequence &buffers, boost::beast::error_code &error)
        {
            error = {};
            const std::size_t size = boost::asio::buffer_size(buffers);
            const std::size_t needed = body_.size() + size;
            if (needed > body_.capacity())
                grow(std::max(needed, std::min(length_, grownCapacity())));
            for (const boost::asio::const_buffer buffer : boost::beast::buffers_range_ref(buffers))
                body_.append(static_cast<const char *>(buffer.data()), buffer.size());
            return size;
        }

        void finish(boost::beast::error_code &error) { error = {}; }

    private:
        // A string that already holds text at least doubles its capacity with reserve(), and would
        // take up to twice the Content-Length.
        void grow(std::size_t capacity)
        {
            value_type grown;
            grown.reserve(capacity);
            grown.append(body_);
            body_.swap(grown);
        }

        std::size_t grownCapacity() const
        {
            // Most bodies are smaller and need one allocation.
            constexpr std::size_t kSmallest = std::size_t{ 64 } * 1024;
            return length_ == body_.max_size() ? 2 * body_.capacity()
                                               : std::max(kSmallest, 2 * body_.capacity());
        }

        value_type &body_;
        // The largest possible size if it is not known.
        std::size_t length_ = 0;
    };
};

} // namespace auburn
