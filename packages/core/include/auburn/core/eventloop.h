// Runs an event loop whose handlers may throw.
#pragma once

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string_view>

namespace auburn {

// Runs the context until it is stopped or has no more work. An exception that a handler throws ends
// only what the handler owns, usually one connection: it is reported, and the loop goes on. The
// reason is the text of the exception.
void runEventLoop(boost::asio::io_context &io,
                  const std::function<void(std::string_view reason)> &onException);

} // namespace auburn
