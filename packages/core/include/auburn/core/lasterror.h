// Last error of a thread: the reason that goes with an empty std::optional or a null pointer.
//
// Functions that can fail return std::optional or a pointer and leave the reason here, so that call
// sites stay short.
#pragma once

#include <string>

namespace auburn {

// The reason of the calling thread's most recent failure; empty if there was none.
const std::string &lastError();

// Records a reason for the calling thread.
void setLastError(std::string reason);

} // namespace auburn
