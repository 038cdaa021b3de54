// DataSinkBody: a Beast body that passes views of the received bytes on instead of storing them.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

#include <cstdint>
#include <string_view>
#include <vector>

namespace auburn {

struct DataSinkBody
{
    // Views into the parser's input, valid until the input buffer is written again.
    using value_type = std::vector<std::string_view>; // NOLINT(readability-identifier-naming)

    class reader // NOLINT(readability-identifier-naming)
    {
    public:
        template<bool isRequest, class Fields>
        reader(boost::beast::http::header<isRequest, Fields> & /*header*/, value_type &views)
            : views_(views)
        {}

        void init(const boost::optional<std::uint64_t> & /*length*/,
                  boost::beast::error_code &error)
        {
            error = {};
        }

        template<class ConstBufferSequence>
        std::size_t put(const ConstBufferSequence &buffers, boost::beast::error_code &error)
        {
            error = {};
            std::size_t total = 0;
            for (auto it = boost::asio::buffer_sequence_begin(buffers);
                 it != boost::asio::buffer_sequence_end(buffers); ++it) {
                const boost::asio::const_buffer buffer(*it);
                views_.emplace_back(static_cast<const char *>(buffer.data()), buffer.size());
                total += buffer.size();
            }
            return total;
        }

        void finish(boost::beast::error_code &error) { error = {}; }

    private:
        value_type &views_;
    };
};

} // namespace auburn
