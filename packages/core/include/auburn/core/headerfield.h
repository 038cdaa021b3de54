// HeaderField: one field of an HTTP header.
#pragma once

#include <string>

namespace auburn {

struct HeaderField
{
    std::string name;
    std::string value;
};

} // namespace auburn
