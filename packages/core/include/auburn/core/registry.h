// Registry: the kernel's table of plug-ins, which register themselves at program start.
//
// A plug-in's source file defines a namespace-scope Registration object; the program picks plug-ins
// by name. The package that holds plug-ins must be linked as an object library, or the linker drops
// the registrations.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace auburn {

// Interface is the abstract class of one kind of plug-in.
template<typename Interface>
class Registry
{
public:
    using Factory = std::function<std::unique_ptr<Interface>()>;

    // Adds its factory to the registry on construction.
    class Registration
    {
    public:
        Registration(const std::string &name, Factory factory)
        {
            factories().insert_or_assign(name, std::move(factory));
        }
    };

    // A new instance of the named plug-in; null if none has that name.
    static std::unique_ptr<Interface> make(const std::string &name)
    {
        const auto found = factories().find(name);
        return found == factories().end() ? nullptr : found->second();
    }

    // Names of all registered plug-ins, sorted.
    static std::vector<std::string> names()
    {
        std::vector<std::string> result;
        for (const auto &entry : factories())
            result.push_back(entry.first);
        return result;
    }

private:
    static std::map<std::string, Factory> &factories()
    {
        static std::map<std::string, Factory> table;
        return table;
    }
};

} // namespace auburn
