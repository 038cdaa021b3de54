#include "auburn/core/eventloop.h"

#include <exception>

namespace auburn {

void runEventLoop(boost::asio::io_context &io,
                  const std::function<void(std::string_view reason)> &onException)
{
    for (;;) {
        try {
            io.run();
            return;
        } catch (const std::exception &exception) {
            onException(exception.what());
        } catch (...) {
            onException("unknown exception");
        }
    }
}

} // namespace auburn
