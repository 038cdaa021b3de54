#include "changebuilder.h"

#include "itemedit.h"

namespace auburn {

namespace {

ChangeRefusal notFound(ItemKind kind, const Term &name)
{
    return ChangeRefusal{ .status = proto::OPERATOR_STATUS_NOT_FOUND,
                          .message = "there is no " + std::string(itemKindName(kind)) + " '"
                                     + name.text + "'",
                          .column = name.column };
}

// The conflict that is already visible here. A daemon that lags behind the log may know a lower
// revision than the operator; the new value would then be built from an old one.
std::optional<ChangeRefusal> conflict(const std::optional<std::uint64_t> &wanted,
                                      std::uint64_t current)
{
    if (!wanted || *wanted == current)
        return std::nullopt;
    const std::string known = current == 0 ? "does not exist"
                                           : "has revision " + std::to_string(current);
    return ChangeRefusal{ .status = proto::OPERATOR_STATUS_CONFLICT,
                          .message = "the item " + known + ", not " + std::to_string(*wanted) };
}

proto::ConfigChange change(const ItemValue &value, std::uint64_t baseRevision)
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
    if (const auto refusal = conflict(command.ifRevision, revisionOf(current)))
        return *refusal;
    const auto edited = editItem(command, state);
    if (const auto *error = std::get_if<CommandError>(&edited))
        return ChangeRefusal{ .message = error->message, .column = error->column };
    return change(std::get<ItemValue>(edited), revisionOf(current));
}

BuiltChange buildChange(const UnsetCommand &command, const ConfigState &state)
{
    const ItemKey key{ command.kind, command.name.text };
    const Item *current = state.find(key);
    if (!current)
        return notFound(command.kind, command.name);
    if (const auto refusal = conflict(command.ifRevision, current->revision))
        return *refusal;
    if (const auto problem = removalProblem(key, state))
        return ChangeRefusal{ .message = "cannot be removed: " + *problem,
                              .column = command.name.column };
    proto::ConfigChange message = change(current->value, current->revision);
    message.set_remove(true);
    return message;
}

BuiltChange buildChange(const DrainCommand &command, const ConfigState &state)
{
    const Item *current = state.find(
            ItemKey{ ItemKind::BackendServer, command.backendServer.text });
    if (!current)
        return notFound(ItemKind::BackendServer, command.backendServer);
    if (const auto refusal = conflict(command.ifRevision, current->revision))
        return *refusal;
    BackendServer backendServer = std::get<BackendServer>(current->value);
    backendServer.draining = command.draining;
    return change(backendServer, current->revision);
}

} // namespace auburn
