// Short ways to write configuration changes in tests.
#pragma once

#include "auburn/config/configstate.h"
#include "auburn/core/hash.h"

#include <string>

namespace auburn::tests {

inline proto::ConfigChange change(const std::string &id, std::uint64_t base, const ItemValue &value)
{
    proto::ConfigChange message;
    message.set_change_id(id);
    message.set_operator_name("operator");
    message.set_base_revision(base);
    *message.mutable_item() = itemToProto(Item{ value, 0 });
    return message;
}

inline proto::ConfigChange removal(const std::string &id, std::uint64_t base,
                                   const ItemValue &value)
{
    proto::ConfigChange message = change(id, base, value);
    message.set_remove(true);
    return message;
}

inline Organisation organisation(const std::string &name, unsigned maxConcurrent = 0)
{
    return Organisation{ .name = name, .maxConcurrent = maxConcurrent };
}

inline Caller caller(const std::string &name, const std::string &organisation,
                     const std::string &className)
{
    return Caller{ .name = name,
                   .organisation = organisation,
                   .className = className,
                   .tokenSha256 = sha256Hex("token of " + name) };
}

inline BackendServer backendServer(const std::string &name, const std::string &service)
{
    return BackendServer{ .name = name,
                          .service = service,
                          .failureDomain = "p1",
                          .address = "10.0.0.1:8000",
                          .slots = 4 };
}

} // namespace auburn::tests
