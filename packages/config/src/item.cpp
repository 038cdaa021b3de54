#include "auburn/config/item.h"

#include "auburn/core/lasterror.h"

#include <array>
#include <utility>

namespace auburn {

namespace {

constexpr std::array<std::string_view, 5> kKindNames{ "service", "class", "organisation", "caller",
                                                      "backend_server" };

struct ToProto
{
    proto::ConfigItem &message;

    void operator()(const Service &value) const
    {
        message.set_name(value.name);
        proto::ServiceItem *item = message.mutable_service();
        item->set_kind(value.kind == ServiceKind::Engine ? proto::SERVICE_KIND_ENGINE
                                                         : proto::SERVICE_KIND_PLAIN);
        item->set_non_idempotent(value.nonIdempotent);
        item->set_checks_fencing(value.checksFencing);
        item->set_idle_timeout_ms(static_cast<std::uint64_t>(value.idleTimeout.count()));
        item->set_request_timeout_ms(static_cast<std::uint64_t>(value.requestTimeout.count()));
    }

    void operator()(const RequestClass &value) const
    {
        message.set_name(value.name);
        proto::ClassItem *item = message.mutable_class_item();
        item->set_tier(value.tier);
        item->set_target_first_token_ms(static_cast<std::uint64_t>(value.targetFirstToken.count()));
        item->set_target_token_gap_ms(static_cast<std::uint64_t>(value.targetTokenGap.count()));
    }

    void operator()(const Organisation &value) const
    {
        message.set_name(value.name);
        proto::OrganisationItem *item = message.mutable_organisation();
        item->set_max_concurrent(value.maxConcurrent);
        item->set_suspended(value.suspended);
    }

    void operator()(const Caller &value) const
    {
        message.set_name(value.name);
        proto::CallerItem *item = message.mutable_caller();
        item->set_organisation(value.organisation);
        item->set_class_name(value.className);
        item->set_token_sha256(value.tokenSha256);
        item->set_revoked(value.revoked);
    }

    void operator()(const BackendServer &value) const
    {
        message.set_name(value.name);
        proto::BackendServerItem *item = message.mutable_backend_server();
        item->set_service(value.service);
        item->set_failure_domain(value.failureDomain);
        item->set_address(value.address);
        item->set_slots(value.slots);
        item->set_draining(value.draining);
    }
};

ItemValue valueFrom(const std::string &name, const proto::ServiceItem &item)
{
    return Service{
        .name = name,
        .kind = item.kind() == proto::SERVICE_KIND_PLAIN ? ServiceKind::Plain : ServiceKind::Engine,
        .nonIdempotent = item.non_idempotent(),
        .checksFencing = item.checks_fencing(),
        .idleTimeout = std::chrono::milliseconds(item.idle_timeout_ms()),
        .requestTimeout = std::chrono::milliseconds(item.request_timeout_ms()),
    };
}

ItemValue valueFrom(const std::string &name, const proto::ClassItem &item)
{
    return RequestClass{
        .name = name,
        .tier = item.tier(),
        .targetFirstToken = std::chrono::milliseconds(item.target_first_token_ms()),
        .targetTokenGap = std::chrono::milliseconds(item.target_token_gap_ms()),
    };
}

ItemValue valueFrom(const std::string &name, const proto::OrganisationItem &item)
{
    return Organisation{ .name = name,
                         .maxConcurrent = item.max_concurrent(),
                         .suspended = item.suspended() };
}

ItemValue valueFrom(const std::string &name, const proto::CallerItem &item)
{
    return Caller{ .name = name,
                   .organisation = item.organisation(),
                   .className = item.class_name(),
                   .tokenSha256 = item.token_sha256(),
                   .revoked = item.revoked() };
}

ItemValue valueFrom(const std::string &name, const proto::BackendServerItem &item)
{
    return BackendServer{ .name = name,
                          .service = item.service(),
                          .failureDomain = item.failure_domain(),
                          .address = item.address(),
                          .slots = item.slots(),
                          .draining = item.draining() };
}

} // namespace

std::string_view itemKindName(ItemKind kind)
{
    return kKindNames[static_cast<std::size_t>(kind)];
}

std::optional<ItemKind> itemKindFromName(std::string_view name)
{
    for (std::size_t i = 0; i < kKindNames.size(); ++i) {
        if (kKindNames[i] == name)
            return static_cast<ItemKind>(i);
    }
    return std::nullopt;
}

ItemKey keyOf(const ItemValue &value)
{
    return ItemKey{ .kind = static_cast<ItemKind>(value.index()),
                    .name = std::visit([](const auto &item) { return item.name; }, value) };
}

std::optional<Item> itemFromProto(const proto::ConfigItem &message)
{
    const std::string &name = message.name();
    switch (message.value_case()) {
    case proto::ConfigItem::kService:
        return Item{ valueFrom(name, message.service()), message.revision() };
    case proto::ConfigItem::kClassItem:
        return Item{ valueFrom(name, message.class_item()), message.revision() };
    case proto::ConfigItem::kOrganisation:
        return Item{ valueFrom(name, message.organisation()), message.revision() };
    case proto::ConfigItem::kCaller:
        return Item{ valueFrom(name, message.caller()), message.revision() };
    case proto::ConfigItem::kBackendServer:
        return Item{ valueFrom(name, message.backend_server()), message.revision() };
    case proto::ConfigItem::VALUE_NOT_SET:
        break;
    }
    setLastError("configuration item '" + name + "' has no value");
    return std::nullopt;
}

proto::ConfigItem itemToProto(const Item &item)
{
    proto::ConfigItem message;
    message.set_revision(item.revision);
    std::visit(ToProto{ message }, item.value);
    return message;
}

} // namespace auburn
