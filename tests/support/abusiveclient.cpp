#include "abusiveclient.h"

#include "auburn/core/endpoint.h"

#include <boost/asio/write.hpp>

#include <cstdio>
#include <utility>

namespace auburn::testing {

namespace asio = boost::asio;
using ErrorCode = boost::system::error_code;

AbusiveClient::AbusiveClient(asio::io_context &io, std::shared_ptr<const Load> load)
    : socket_(io)
    , timer_(io)
    , load_(std::move(load))
    , left_(load_->repetitions)
{}

void AbusiveClient::start(const std::string &address)
{
    socket_.async_connect(*parseEndpoint(address), [self = shared_from_this()](ErrorCode error) {
        if (error) {
            self->isDone_ = true;
            return;
        }
        self->hasConnected_ = true;
        self->write(self->load_->start);
        if (self->load_->reads)
            self->read();
    });
}

void AbusiveClient::close()
{
    ErrorCode ignored;
    timer_.cancel();
    socket_.close(ignored);
}

void AbusiveClient::write(const std::string &bytes)
{
    asio::async_write(socket_, asio::buffer(bytes),
                      [self = shared_from_this()](ErrorCode error, std::size_t) {
                          self->isDone_ = error || self->left_ == 0;
                          if (!self->isDone_)
                              self->writeBlock();
                      });
}

void AbusiveClient::writeBlock()
{
    --left_;
    if (load_->pause.count() == 0) {
        write(load_->block);
        return;
    }
    timer_.expires_after(load_->pause);
    timer_.async_wait([self = shared_from_this()](ErrorCode error) {
        if (!error)
            self->write(self->load_->block);
    });
}

void AbusiveClient::read()
{
    socket_.async_read_some(asio::buffer(buffer_),
                            [self = shared_from_this()](ErrorCode error, std::size_t) {
                                if (!error)
                                    self->read();
                            });
}

std::string chunk(std::size_t bytes)
{
    char size[24];
    std::snprintf(size, sizeof(size), "%zx\r\n", bytes);
    return size + std::string(bytes, 'x') + "\r\n";
}

std::string repeated(const std::string &text, std::size_t count)
{
    std::string result;
    result.reserve(text.size() * count);
    for (std::size_t i = 0; i < count; ++i)
        result += text;
    return result;
}

} // namespace auburn::testing
