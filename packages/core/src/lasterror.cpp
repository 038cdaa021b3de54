#include "auburn/core/lasterror.h"

#include <utility>

namespace auburn {

namespace {
thread_local std::string lastReason;
}

const std::string &lastError()
{
    return lastReason;
}

void setLastError(std::string reason)
{
    lastReason = std::move(reason);
}

} // namespace auburn
