// Items of the configuration: the typed values behind the operators' language and the log.
#pragma once

#include "auburn.pb.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace auburn {

constexpr unsigned kTierCount = 8;

enum class ServiceKind { Engine, Plain };

struct Service
{
    std::string name;
    ServiceKind kind = ServiceKind::Engine;
    bool nonIdempotent = false;
    bool checksFencing = false;
    // A backend server connection that delivers nothing for this long is closed.
    std::chrono::milliseconds idleTimeout{ 10000 };
    // Longest time from the caller's request to the end of the answer.
    std::chrono::milliseconds requestTimeout{ 120000 };
};

struct RequestClass
{
    std::string name;
    // 0 is the highest tier, kTierCount - 1 the lowest.
    unsigned tier = 0;
    std::chrono::milliseconds targetFirstToken{ 1800 };
    std::chrono::milliseconds targetTokenGap{ 26 };
};

struct Organisation
{
    std::string name;
    // Requests in flight or waiting at one daemon; 0 means no limit.
    unsigned maxConcurrent = 0;
    bool suspended = false;
};

struct Caller
{
    std::string name;
    std::string organisation;
    std::string className;
    std::string tokenSha256;
    bool revoked = false;
};

struct BackendServer
{
    std::string name;
    std::string service;
    std::string failureDomain;
    // host:port
    std::string address;
    unsigned slots = 1;
    bool draining = false;
};

using ItemValue = std::variant<Service, RequestClass, Organisation, Caller, BackendServer>;

// Index of the kind within ItemValue; the names are those of the operators' language.
enum class ItemKind { Service, RequestClass, Organisation, Caller, BackendServer };

// "service", "class", "organisation", "caller" or "backend_server".
std::string_view itemKindName(ItemKind kind);
std::optional<ItemKind> itemKindFromName(std::string_view name);

struct ItemKey
{
    ItemKind kind = ItemKind::Service;
    std::string name;
    auto operator<=>(const ItemKey &) const = default;
};

struct Item
{
    ItemValue value;
    // Log offset of the change that wrote the item.
    std::uint64_t revision = 0;
};

ItemKey keyOf(const ItemValue &value);

// Conversion from and to the message on the log; empty with lastError() set for a message without a
// value.
std::optional<Item> itemFromProto(const proto::ConfigItem &message);
proto::ConfigItem itemToProto(const Item &item);

} // namespace auburn
