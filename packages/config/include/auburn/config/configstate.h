// ConfigState: one immutable revision of the configuration, with the look-ups that the request path
// needs.
//
// Readers hold a shared pointer to a state and never see it change; a new revision is a new object.
#pragma once

#include "auburn/config/item.h"
#include "auburn/config/itemindex.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace auburn {

class ConfigState
{
public:
    using ItemMap = std::map<ItemKey, std::shared_ptr<const Item>>;

    // The state that holds the given items and is complete up to the given log offset.
    static std::shared_ptr<const ConfigState> make(const ItemMap &items, std::uint64_t revision);
    static std::shared_ptr<const ConfigState> fromIndex(ItemIndex index, std::uint64_t revision);

    // Offset of the last record that was folded into this state; 0 for a state without any record.
    std::uint64_t revision() const { return revision_; }
    // All items, sorted by key. The map is built at the first call, in 30 ms for 45,000 items;
    // visitItems() is cheaper.
    const ItemMap &items() const;
    std::size_t itemCount() const { return index_.size(); }
    // Calls visit(const ItemPtr &) for all items, in an order that depends only on their keys.
    template<typename Visitor>
    void visitItems(Visitor visit) const
    {
        index_.visitAll(visit);
    }

    const Item *find(const ItemKey &key) const;
    const Service *service(const std::string &name) const;
    const RequestClass *requestClass(const std::string &name) const;
    const Organisation *organisation(const std::string &name) const;
    const BackendServer *backendServer(const std::string &name) const;
    // The caller whose token has the given SHA-256 in hexadecimal; revoked callers are found as
    // well.
    const Caller *callerByToken(const std::string &tokenSha256) const;
    // Backend servers of a service in a failure domain, draining ones included, sorted by name.
    std::vector<const BackendServer *> backendServers(const std::string &service,
                                                      const std::string &failureDomain) const;
    std::vector<const Service *> services() const;

private:
    ConfigState(ItemIndex index, std::uint64_t revision);

    template<typename Value>
    const Value *findValue(ItemKind kind, const std::string &name) const;

    ItemIndex index_;
    std::uint64_t revision_ = 0;
    mutable std::once_flag itemsBuilt_;
    mutable ItemMap items_;
};

} // namespace auburn
