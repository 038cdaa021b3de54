// ConfigState: one immutable revision of the configuration, with the look-ups that the request path
// needs.
//
// Readers hold a shared pointer to a state and never see it change; a new revision is a new object.
#pragma once

#include "auburn.pb.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace auburn {

enum class ServiceKind { Engine, Plain };

struct Service
{
    std::string name;
    ServiceKind kind = ServiceKind::Engine;
    bool nonIdempotent = false;
    bool checksFencing = false;
    // A runner connection that delivers nothing for this long is closed.
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

struct Runner
{
    std::string name;
    std::string service;
    std::string place;
    // host:port
    std::string address;
    unsigned slots = 1;
    bool draining = false;
};

using ItemValue = std::variant<Service, RequestClass, Organisation, Caller, Runner>;

// Index of the kind within ItemValue; the names are those of the operators' language.
enum class ItemKind { Service, RequestClass, Organisation, Caller, Runner };

// "service", "class", "organisation", "caller" or "runner".
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

constexpr unsigned kTierCount = 8;

class ConfigState
{
public:
    using ItemMap = std::map<ItemKey, std::shared_ptr<const Item>>;

    // The state that holds the given items and is complete up to the given log offset.
    static std::shared_ptr<const ConfigState> make(ItemMap items, std::uint64_t revision);

    // Offset of the last record that was folded into this state; 0 for a state without any record.
    std::uint64_t revision() const { return revision_; }
    const ItemMap &items() const { return items_; }

    const Item *find(const ItemKey &key) const;
    const Service *service(const std::string &name) const;
    const RequestClass *requestClass(const std::string &name) const;
    const Organisation *organisation(const std::string &name) const;
    const Runner *runner(const std::string &name) const;
    // The caller whose token has the given SHA-256 in hexadecimal; revoked callers are found as
    // well.
    const Caller *callerByToken(const std::string &tokenSha256) const;
    // Runners of a service in a place, draining ones included, sorted by name.
    std::vector<const Runner *> runners(const std::string &service, const std::string &place) const;
    std::vector<const Service *> services() const;

private:
    ConfigState(ItemMap items, std::uint64_t revision);

    template<typename Value>
    const Value *findValue(ItemKind kind, const std::string &name) const;

    ItemMap items_;
    std::uint64_t revision_ = 0;
    std::unordered_map<std::string, const Caller *> callersByToken_;
    std::map<std::pair<std::string, std::string>, std::vector<const Runner *>> runnersByPool_;
};

} // namespace auburn
