// Random identifiers for requests, attempts, slots and changes.
#pragma once

#include <string>

namespace auburn {

// 128 random bits as 32 lower-case hexadecimal digits; also valid as an OTLP trace id.
std::string makeRandomId();

// 64 random bits as 16 lower-case hexadecimal digits; also valid as an OTLP span id.
std::string makeShortId();

} // namespace auburn
