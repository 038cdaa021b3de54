// ItemIndex: the items of a configuration with the look-ups of the request path, in a form whose
// copies share everything that was not changed since.
//
// A daemon holds a mutable index in its fold and an immutable copy in each ConfigState. With 21,000
// organisations a full copy took 40 ms for each change.
#pragma once

#include "auburn/config/item.h"
#include "auburn/core/hash.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace auburn {

using ItemPtr = std::shared_ptr<const Item>;

// Hash table of items in two levels of 32 branches. The leaves are sorted, so that the order of a
// visit depends only on the content. Traits: Key (a view), keyOf(item), hash(key).
//
// A copy may be read on any thread while the original changes; the original has one writer.
template<typename Traits>
class PersistentItems
{
public:
    using Key = typename Traits::Key;

    std::size_t size() const { return size_; }

    const Item *find(const Key &key) const
    {
        const std::uint64_t hash = Traits::hash(key);
        const NodePtr &node = (*root_)[rootIndex(hash)];
        const LeafPtr *leaf = node ? &(*node)[nodeIndex(hash)] : nullptr;
        if (!leaf || !*leaf)
            return nullptr;
        const auto found = lowerBound(**leaf, key);
        return matches(**leaf, found, key) ? found->get() : nullptr;
    }

    // Inserts the item, in place of one with the same key.
    void put(ItemPtr item)
    {
        const Key key = Traits::keyOf(*item);
        Leaf &leaf = mutableLeaf(Traits::hash(key));
        const auto found = lowerBound(leaf, key);
        if (matches(leaf, found, key)) {
            *found = std::move(item);
            return;
        }
        leaf.insert(found, std::move(item));
        ++size_;
    }

    void erase(const Key &key)
    {
        if (!find(key))
            return;
        Leaf &leaf = mutableLeaf(Traits::hash(key));
        leaf.erase(lowerBound(leaf, key));
        --size_;
    }

    template<typename Visitor>
    void visitAll(Visitor visit) const
    {
        for (const NodePtr &node : *root_) {
            if (node)
                visitNode(*node, visit);
        }
    }

private:
    // 1,024 leaves hold 44 items each at the design scale of 45,000 items.
    static constexpr std::size_t kBranches = 32;

    using Leaf = std::vector<ItemPtr>;
    using LeafPtr = std::shared_ptr<Leaf>;
    using Node = std::array<LeafPtr, kBranches>;
    using NodePtr = std::shared_ptr<Node>;
    using Root = std::array<NodePtr, kBranches>;

    static std::size_t rootIndex(std::uint64_t hash) { return hash % kBranches; }
    static std::size_t nodeIndex(std::uint64_t hash) { return hash / kBranches % kBranches; }

    template<typename Items>
    static auto lowerBound(Items &leaf, const Key &key)
    {
        return std::lower_bound(leaf.begin(), leaf.end(), key,
                                [](const ItemPtr &item, const Key &wanted) {
                                    return Traits::keyOf(*item) < wanted;
                                });
    }

    template<typename Iterator>
    static bool matches(const Leaf &leaf, Iterator found, const Key &key)
    {
        return found != leaf.end() && Traits::keyOf(**found) == key;
    }

    template<typename Visitor>
    static void visitNode(const Node &node, Visitor &visit)
    {
        for (const LeafPtr &leaf : node) {
            if (!leaf)
                continue;
            for (const ItemPtr &item : *leaf)
                visit(item);
        }
    }

    // The part itself if no copy shares it, otherwise a part of its own.
    template<typename Part>
    static Part &own(std::shared_ptr<Part> &part)
    {
        if (!part)
            part = std::make_shared<Part>();
        else if (part.use_count() > 1)
            part = std::make_shared<Part>(*part);
        else // Orders the reads of a copy that was just dropped before the writes to come.
            std::atomic_thread_fence(std::memory_order_acquire);
        return *part;
    }

    Leaf &mutableLeaf(std::uint64_t hash)
    {
        Node &node = own(own(root_)[rootIndex(hash)]);
        return own(node[nodeIndex(hash)]);
    }

    std::shared_ptr<Root> root_ = std::make_shared<Root>();
    std::size_t size_ = 0;
};

struct ItemKeyView
{
    ItemKind kind = ItemKind::Service;
    std::string_view name;
    auto operator<=>(const ItemKeyView &) const = default;
};

struct ByKey
{
    using Key = ItemKeyView;
    static Key keyOf(const Item &item);
    static std::uint64_t hash(const Key &key)
    {
        return stableHash(key.name, static_cast<std::uint64_t>(key.kind));
    }
};

// For callers only.
struct ByToken
{
    using Key = std::string_view;
    static Key keyOf(const Item &item) { return std::get<Caller>(item.value).tokenSha256; }
    static std::uint64_t hash(const Key &key) { return stableHash(key); }
};

class ItemIndex
{
public:
    std::size_t size() const { return items_.size(); }

    const Item *find(const ItemKeyView &key) const { return items_.find(key); }
    // Null if no caller has the token.
    const Caller *callerByToken(std::string_view tokenSha256) const;
    // Sorted by name.
    const std::vector<const BackendServer *> &backendServers(
            const std::string &service, const std::string &failureDomain) const;
    // Sorted by name.
    const std::vector<const Service *> &services() const { return *services_; }

    // Inserts or replaces an item.
    void put(ItemPtr item);
    void erase(const ItemKeyView &key);

    // Calls visit(ItemPtr) for all items; the order depends only on their keys.
    template<typename Visitor>
    void visitAll(Visitor visit) const
    {
        items_.visitAll(visit);
    }

private:
    using Pools = std::map<std::pair<std::string, std::string>, std::vector<const BackendServer *>>;
    using Services = std::vector<const Service *>;

    void link(const ItemPtr &item);
    void unlink(const Item &item);

    // The pointers of the other members point into these items.
    PersistentItems<ByKey> items_;
    PersistentItems<ByToken> callers_;
    // Replaced as a whole when a backend server or a service changes.
    std::shared_ptr<const Pools> pools_ = std::make_shared<const Pools>();
    std::shared_ptr<const Services> services_ = std::make_shared<const Services>();
};

} // namespace auburn
