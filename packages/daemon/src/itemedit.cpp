#include "itemedit.h"

#include "auburn/ctl/duration.h"

#include <algorithm>
#include <charconv>
#include <functional>
#include <set>

namespace auburn {

namespace {

using std::chrono::milliseconds;

// Thrown and caught within this file only: carries the first error up to editItem().
struct EditError
{
    CommandError error;
};

constexpr unsigned kMaxSlotsPerBackendServer = 4096;
constexpr unsigned kMaxConcurrentRequests = 1'000'000;
// Hexadecimal digits of a SHA-256 hash.
constexpr std::size_t kTokenHashDigits = 64;
constexpr milliseconds kMaxTimeout = std::chrono::hours(1);

[[noreturn]] void fail(const Term &term, const std::string &message)
{
    throw EditError{ { term.column, message } };
}

bool isItemName(const std::string &text)
{
    const auto allowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
               || std::string_view("._-/:@").find(c) != std::string_view::npos;
    };
    return !text.empty() && std::all_of(text.begin(), text.end(), allowed);
}

bool parseBoolean(const Term &value)
{
    if (value.text != "true" && value.text != "false")
        fail(value, "expected true or false");
    return value.text == "true";
}

unsigned parseNumber(const Term &value, unsigned minimum, unsigned maximum)
{
    unsigned result = 0;
    const char *const end = value.text.data() + value.text.size();
    const auto parsed = std::from_chars(value.text.data(), end, result);
    if (parsed.ec != std::errc() || parsed.ptr != end || result < minimum || result > maximum)
        fail(value, "expected a number from " + std::to_string(minimum) + " to "
                            + std::to_string(maximum));
    return result;
}

milliseconds parseTimeout(const Term &value)
{
    const auto parsed = parseDuration(value.text);
    if (!parsed || *parsed < milliseconds(1) || *parsed > kMaxTimeout)
        fail(value, "expected a duration from 1ms to 1h, such as 26ms or 1.8s");
    const auto rounded = std::chrono::duration_cast<milliseconds>(*parsed);
    if (rounded != *parsed)
        fail(value, "expected whole milliseconds");
    return rounded;
}

ServiceKind parseServiceKind(const Term &value)
{
    if (value.text != "engine" && value.text != "plain")
        fail(value, "expected engine or plain");
    return value.text == "engine" ? ServiceKind::Engine : ServiceKind::Plain;
}

std::string address(const Term &value)
{
    const std::size_t colon = value.text.rfind(':');
    unsigned port = 0;
    if (colon != std::string::npos && colon > 0) {
        const char *const end = value.text.data() + value.text.size();
        const auto parsed = std::from_chars(value.text.data() + colon + 1, end, port);
        if (parsed.ptr != end || parsed.ec != std::errc())
            port = 0;
    }
    if (port < 1 || port > 65535)
        fail(value, "expected HOST:PORT");
    return value.text;
}

std::string parseTokenHash(const Term &value)
{
    const auto isHex = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
    if (value.text.size() != kTokenHashDigits
        || !std::all_of(value.text.begin(), value.text.end(), isHex))
        fail(value, "expected 64 lower-case hexadecimal digits; see auburnctl hash-token");
    return value.text;
}

std::string requireExistingItem(const Term &value, ItemKind kind, const ConfigState &state)
{
    if (!state.find(ItemKey{ kind, value.text }))
        fail(value, "there is no " + std::string(itemKindName(kind)) + " '" + value.text + "'");
    return value.text;
}

// Visitor that validates an assignment and sets the field that it names.
class FieldSetter
{
public:
    FieldSetter(const Assignment &assignment, const ConfigState &state)
        : field_(assignment.field)
        , value_(assignment.value)
        , state_(state)
    {}

    void operator()(Service &item) const
    {
        if (isField("kind"))
            item.kind = parseServiceKind(value_);
        else if (isField("non_idempotent"))
            item.nonIdempotent = parseBoolean(value_);
        else if (isField("checks_fencing"))
            item.checksFencing = parseBoolean(value_);
        else if (isField("idle_timeout"))
            item.idleTimeout = parseTimeout(value_);
        else if (isField("request_timeout"))
            item.requestTimeout = parseTimeout(value_);
        else
            failUnknownField("kind, non_idempotent, checks_fencing, idle_timeout, request_timeout");
    }

    void operator()(RequestClass &item) const
    {
        if (isField("tier"))
            item.tier = parseNumber(value_, 0, kTierCount - 1);
        else if (isField("first_token"))
            item.targetFirstToken = parseTimeout(value_);
        else if (isField("token_gap"))
            item.targetTokenGap = parseTimeout(value_);
        else
            failUnknownField("tier, first_token, token_gap");
    }

    void operator()(Organisation &item) const
    {
        if (isField("max_concurrent"))
            item.maxConcurrent = parseNumber(value_, 0, kMaxConcurrentRequests);
        else if (isField("suspended"))
            item.suspended = parseBoolean(value_);
        else
            failUnknownField("max_concurrent, suspended");
    }

    void operator()(Caller &item) const
    {
        if (isField("organisation"))
            item.organisation = requireExistingItem(value_, ItemKind::Organisation, state_);
        else if (isField("class"))
            item.className = requireExistingItem(value_, ItemKind::RequestClass, state_);
        else if (isField("token_sha256"))
            item.tokenSha256 = unusedTokenHash(item.name);
        else if (isField("revoked"))
            item.revoked = parseBoolean(value_);
        else
            failUnknownField("organisation, class, token_sha256, revoked");
    }

    void operator()(BackendServer &item) const
    {
        if (isField("service"))
            item.service = requireExistingItem(value_, ItemKind::Service, state_);
        else if (isField("failure_domain"))
            item.failureDomain = failureDomain();
        else if (isField("address"))
            item.address = address(value_);
        else if (isField("slots"))
            item.slots = parseNumber(value_, 1, kMaxSlotsPerBackendServer);
        else if (isField("draining"))
            item.draining = parseBoolean(value_);
        else
            failUnknownField("service, failure_domain, address, slots, draining");
    }

private:
    bool isField(std::string_view name) const { return field_.text == name; }

    [[noreturn]] void failUnknownField(const std::string &names) const
    {
        fail(field_, "there is no field '" + field_.text + "'; expected one of " + names);
    }

    std::string failureDomain() const
    {
        if (!isItemName(value_.text))
            fail(value_, "expected a failure domain's name");
        return value_.text;
    }

    // Rejects the token hash of another caller: two callers with the same token could not be
    // distinguished.
    std::string unusedTokenHash(const std::string &callerName) const
    {
        std::string hash = parseTokenHash(value_);
        const Caller *other = state_.callerByToken(hash);
        if (other && other->name != callerName)
            fail(value_, "caller '" + other->name + "' already uses this token");
        return hash;
    }

    const Term &field_;
    const Term &value_;
    const ConfigState &state_;
};

ItemValue newItem(ItemKind kind, const std::string &name)
{
    switch (kind) {
    case ItemKind::Service:
        return Service{ .name = name };
    case ItemKind::RequestClass:
        return RequestClass{ .name = name };
    case ItemKind::Organisation:
        return Organisation{ .name = name };
    case ItemKind::Caller:
        return Caller{ .name = name };
    case ItemKind::BackendServer:
        return BackendServer{ .name = name };
    }
    return Service{ .name = name };
}

// Fields that must be assigned when an item of the kind is created, because they have no sensible
// default.
std::vector<std::string_view> requiredFields(ItemKind kind)
{
    switch (kind) {
    case ItemKind::RequestClass:
        return { "tier" };
    case ItemKind::Caller:
        return { "organisation", "class", "token_sha256" };
    case ItemKind::BackendServer:
        return { "service", "failure_domain", "address" };
    default:
        return {};
    }
}

void checkNewItem(const SetCommand &command)
{
    if (!isItemName(command.name.text))
        fail(command.name, "a name consists of letters, digits and . _ - / : @");
    for (const std::string_view field : requiredFields(command.kind)) {
        const bool given = std::any_of(
                command.assignments.begin(), command.assignments.end(),
                [field](const Assignment &assignment) { return assignment.field.text == field; });
        if (!given)
            fail(command.name, "a new " + std::string(itemKindName(command.kind)) + " needs "
                                       + std::string(field));
    }
}

ItemValue applyAssignments(const SetCommand &command, const ConfigState &state)
{
    const Item *current = state.find(ItemKey{ command.kind, command.name.text });
    if (!current)
        checkNewItem(command);
    ItemValue value = current ? current->value : newItem(command.kind, command.name.text);
    std::set<std::string_view> assignedFields;
    for (const Assignment &assignment : command.assignments) {
        if (!assignedFields.insert(assignment.field.text).second)
            fail(assignment.field, "the field is given twice");
        std::visit(FieldSetter(assignment, state), value);
    }
    return value;
}

// Visitor that returns whether an item refers to the item with the given key.
struct RefersTo
{
    const ItemKey &key;

    bool operator()(const Caller &item) const
    {
        return (key.kind == ItemKind::Organisation && item.organisation == key.name)
               || (key.kind == ItemKind::RequestClass && item.className == key.name);
    }
    bool operator()(const BackendServer &item) const
    {
        return key.kind == ItemKind::Service && item.service == key.name;
    }
    template<typename Other>
    bool operator()(const Other &) const
    {
        return false;
    }
};

} // namespace

std::variant<ItemValue, CommandError> editItem(const SetCommand &command, const ConfigState &state)
{
    try {
        return applyAssignments(command, state);
    } catch (const EditError &failure) {
        return failure.error;
    }
}

std::optional<std::string> removalBlockedReason(const ItemKey &key, const ConfigState &state)
{
    for (const auto &[otherKey, item] : state.items()) {
        if (std::visit(RefersTo{ key }, item->value))
            return std::string(itemKindName(otherKey.kind)) + " '" + otherKey.name
                   + "' refers to it";
    }
    return std::nullopt;
}

} // namespace auburn
