#include "changebuilder.h"

#include "itemedit.h"

namespace auburn {

namespace {

ChangeError itemNotFound(ItemKind kind, const Term &name)
{
    return ChangeError{ .status = proto::OPERATOR_STATUS_NOT_FOUND,
                        .message = "there is no " + std::string(itemKindName(kind)) + " '"
                                   + name.text + "'",
                        .column = name.column };
}

// Reports a conflict that is already visible in the local state. A daemon that lags behind the log
// may have a lower revision than the operator expects; the new value would then be built from a
// stale one.
std::optional<ChangeError> findConflict(const std::optional<std::uint64_t> &expectedRevision,
                                        std::uint64_t current)
{
    if (!expectedRevision || *expectedRevision == current)
        return std::nullopt;
    const std::string actual = current == 0 ? "does not exist" : "is at " + std::to_string(current);
    return ChangeError{ .status = proto::OPERATOR_STATUS_CONFLICT,
                        .message = "the item " + actual + ", but was expected at revision "
                                   + std::to_string(*expectedRevision) };
}

proto::ConfigChange makeChange(const ItemValue &value, std::uint64_t baseRevision)
{
    proto::ConfigChange message;
    message.set_base_revision(baseRevision);
    *message.mutable_item() = itemToProto(Item{ .value = value });
    return message;
}

std::uint64_t revisionOf(const Item *item)
{
    return item ? item->revision : 0;
}

} // namespace

BuiltChange buildChange(const SetCommand &command, const ConfigState &state)
{
    const Item *current = state.find(ItemKey{ command.kind, command.name.text });
    if (const auto conflict = findConflict(command.ifRevision, revisionOf(current)))
        return *conflict;
    const auto edited = editItem(command, state);
    if (const auto *error = std::get_if<CommandError>(&edited))
        return ChangeError{ .message = error->message, .column = error->column };
    return makeChange(std::get<ItemValue>(edited), revisionOf(current));
}

BuiltChange buildChange(const UnsetCommand &command, const ConfigState &state)
{
    const ItemKey key{ command.kind, command.name.text };
    const Item *current = state.find(key);
    if (!current)
        return itemNotFound(command.kind, command.name);
    if (const auto conflict = findConflict(command.ifRevision, current->revision))
        return *conflict;
    if (const auto blockedReason = removalBlockedReason(key, state))
        return ChangeError{ .message = "cannot be removed: " + *blockedReason,
                            .column = command.name.column };
    proto::ConfigChange message = makeChange(current->value, current->revision);
    message.set_remove(true);
    return message;
}

BuiltChange buildChange(const DrainCommand &command, const ConfigState &state)
{
    const Item *current = state.find(
            ItemKey{ ItemKind::BackendServer, command.backendServer.text });
    if (!current)
        return itemNotFound(ItemKind::BackendServer, command.backendServer);
    if (const auto conflict = findConflict(command.ifRevision, current->revision))
        return *conflict;
    BackendServer backendServer = std::get<BackendServer>(current->value);
    backendServer.draining = command.draining;
    return makeChange(backendServer, current->revision);
}

} // namespace auburn
