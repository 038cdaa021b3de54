#include "itemrules.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cstdint>
#include <string_view>

namespace auburn {

namespace {

using Fault = std::optional<std::string>;

constexpr std::uint64_t kMaxTimeMs = 24ULL * 3600 * 1000;
constexpr std::uint32_t kMaxSlots = 100000;
constexpr std::size_t kMaxHostLength = 253;
constexpr std::size_t kTokenHashLength = 64;

// Independent of the locale, unlike std::isalnum.
bool isAlphanumeric(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
}

bool isNameCharacter(char c)
{
    return isAlphanumeric(c) || c == '.' || c == '_' || c == '-' || c == ':';
}

Fault nameFault(std::string_view what, std::string_view name)
{
    if (name.empty())
        return std::string(what) + " is empty";
    if (name.size() > kMaxNameLength)
        return std::string(what) + " is longer than 64 characters";
    if (!isAlphanumeric(name.front()) || !std::all_of(name.begin(), name.end(), isNameCharacter))
        return std::string(what)
               + " must start with a letter or digit and hold only letters, digits and . _ - :";
    return std::nullopt;
}

Fault timeFault(std::string_view what, std::uint64_t milliseconds)
{
    if (milliseconds == 0 || milliseconds > kMaxTimeMs)
        return std::string(what) + " must be between 1 ms and 24 h";
    return std::nullopt;
}

bool isHost(std::string_view host)
{
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        const std::string_view inner = host.substr(1, host.size() - 2);
        return std::all_of(inner.begin(), inner.end(),
                           [](char c) { return isAlphanumeric(c) || c == ':' || c == '.'; });
    }
    return !host.empty() && host.size() <= kMaxHostLength
           && std::all_of(host.begin(), host.end(),
                          [](char c) { return isAlphanumeric(c) || c == '.' || c == '-'; });
}

bool isPort(std::string_view text)
{
    unsigned port = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, port);
    return parsed.ec == std::errc() && parsed.ptr == end && text.front() != '0' && port <= 65535;
}

Fault addressFault(std::string_view address)
{
    const std::size_t colon = address.rfind(':');
    const bool valid = colon != std::string_view::npos && colon + 1 < address.size()
                       && isHost(address.substr(0, colon)) && isPort(address.substr(colon + 1));
    if (!valid)
        return "backend server address must be host:port";
    return std::nullopt;
}

bool isLowerHex(char c)
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
}

Fault firstOf(std::initializer_list<Fault> faults)
{
    for (const Fault &fault : faults) {
        if (fault)
            return fault;
    }
    return std::nullopt;
}

Fault valueFault(const proto::ServiceItem &item)
{
    if (item.kind() != proto::SERVICE_KIND_ENGINE && item.kind() != proto::SERVICE_KIND_PLAIN)
        return "service kind must be engine or plain";
    return firstOf({ timeFault("service idle timeout", item.idle_timeout_ms()),
                     timeFault("service request timeout", item.request_timeout_ms()) });
}

Fault valueFault(const proto::ClassItem &item)
{
    if (item.tier() >= kTierCount)
        return "class tier must be below 8";
    return firstOf({ timeFault("class target for the first token", item.target_first_token_ms()),
                     timeFault("class target for the token gap", item.target_token_gap_ms()) });
}

Fault valueFault(const proto::CallerItem &item)
{
    const std::string &hash = item.token_sha256();
    if (hash.size() != kTokenHashLength || !std::all_of(hash.begin(), hash.end(), isLowerHex))
        return "caller token hash must be 64 lower-case hexadecimal digits";
    return firstOf({ nameFault("caller organisation", item.organisation()),
                     nameFault("caller class", item.class_name()) });
}

Fault valueFault(const proto::BackendServerItem &item)
{
    if (item.slots() == 0 || item.slots() > kMaxSlots)
        return "backend server slots must be between 1 and 100000";
    return firstOf({ nameFault("backend server service", item.service()),
                     nameFault("backend server failure domain", item.failure_domain()),
                     addressFault(item.address()) });
}

Fault valueFault(const proto::ConfigItem &item)
{
    switch (item.value_case()) {
    case proto::ConfigItem::kService:
        return valueFault(item.service());
    case proto::ConfigItem::kClassItem:
        return valueFault(item.class_item());
    case proto::ConfigItem::kCaller:
        return valueFault(item.caller());
    case proto::ConfigItem::kBackendServer:
        return valueFault(item.backend_server());
    case proto::ConfigItem::kOrganisation:
    case proto::ConfigItem::VALUE_NOT_SET:
        break;
    }
    return std::nullopt;
}

} // namespace

std::optional<ItemKey> keyOfChange(const proto::ConfigChange &change)
{
    const std::string &name = change.item().name();
    switch (change.item().value_case()) {
    case proto::ConfigItem::kService:
        return ItemKey{ ItemKind::Service, name };
    case proto::ConfigItem::kClassItem:
        return ItemKey{ ItemKind::RequestClass, name };
    case proto::ConfigItem::kOrganisation:
        return ItemKey{ ItemKind::Organisation, name };
    case proto::ConfigItem::kCaller:
        return ItemKey{ ItemKind::Caller, name };
    case proto::ConfigItem::kBackendServer:
        return ItemKey{ ItemKind::BackendServer, name };
    case proto::ConfigItem::VALUE_NOT_SET:
        break;
    }
    return std::nullopt;
}

bool isCountable(const proto::ConfigChange &change)
{
    return !nameFault("change id", change.change_id()) && change.ByteSizeLong() <= kMaxChangeBytes;
}

std::optional<std::string> shapeFault(const proto::ConfigChange &change)
{
    if (change.ByteSizeLong() > kMaxChangeBytes)
        return "change is larger than 16 KiB";
    if (Fault fault = nameFault("change id", change.change_id()))
        return fault;
    if (change.operator_name().size() > kMaxOperatorLength)
        return "operator name is longer than 128 characters";
    const auto key = keyOfChange(change);
    if (!key)
        return "change has no item value";
    if (Fault fault = nameFault(std::string(itemKindName(key->kind)) + " name", key->name))
        return fault;
    return change.remove() ? std::nullopt : valueFault(change.item());
}

} // namespace auburn
