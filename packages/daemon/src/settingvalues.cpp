#include "settingvalues.h"

#include "auburn/ctl/options.h"

#include <algorithm>
#include <cstddef>
#include <memory>
#include <tclap/CmdLine.h>

namespace auburn {

namespace {

// Bounds the text of the errors.
constexpr std::size_t kMaxListedArguments = 20;

using ValueFlag = TCLAP::MultiArg<std::string>;

// Parses the command line with TCLAP. Every flag is a MultiArg, and a trailing unlabelled argument
// collects the arguments that match no flag, because TCLAP would otherwise stop at the first error.
class FlagSet
{
public:
    FlagSet()
        : commandLine_("auburnd", ' ', "none", false)
        , help_("", "help", "", commandLine_)
        , version_("", "version", "", commandLine_)
    {
        commandLine_.setExceptionHandling(false);
        for (const SettingInfo &info : settingTable())
            flags_[info.name] = std::make_unique<ValueFlag>("", info.name, "", false, "",
                                                            commandLine_);
        unmatchedArguments_ = std::make_unique<TCLAP::UnlabeledMultiArg<std::string>>(
                "rest", "Unknown arguments.", false, "", commandLine_);
    }

    void parse(std::vector<std::string> arguments)
    {
        arguments.insert(arguments.begin(), "auburnd");
        commandLine_.parse(arguments);
    }

    void storeValues(SettingValues &values)
    {
        values.help = help_.isSet();
        values.version = version_.isSet();
        for (const SettingInfo &info : settingTable())
            storeFlag(values, info);
        const std::vector<std::string> &unknown = unmatchedArguments_->getValue();
        const std::size_t listed = std::min(unknown.size(), kMaxListedArguments);
        for (std::size_t i = 0; i < listed; ++i)
            values.errors.push_back("unknown argument '" + withoutValue(unknown[i]) + "'");
        if (unknown.size() > listed)
            values.errors.push_back(std::to_string(unknown.size() - listed)
                                    + " more unknown arguments");
    }

private:
    void storeFlag(SettingValues &values, const SettingInfo &info)
    {
        const std::vector<std::string> &flagValues = flags_[info.name]->getValue();
        if (flagValues.size() > 1 && !info.list)
            values.errors.push_back("--" + info.name + " is given "
                                    + std::to_string(flagValues.size()) + " times");
        if (flagValues.empty())
            return;
        std::string joined;
        for (const std::string &text : flagValues)
            joined += (joined.empty() ? "" : ",") + text;
        values.rawValues[info.name] = joined;
    }

    // Removes the value from an unknown argument, because a mistyped flag may contain a secret
    // after '='. A misplaced secret may itself begin with a dash, but hardly consists only of the
    // characters of a flag.
    static std::string withoutValue(const std::string &argument)
    {
        const std::string name = argument.substr(0, argument.find('='));
        const bool isFlag = name.starts_with("-")
                            && name.find_first_not_of("-abcdefghijklmnopqrstuvwxyz0123456789")
                                       == std::string::npos;
        return isFlag ? name : "(value)";
    }

    TCLAP::CmdLine commandLine_;
    TCLAP::SwitchArg help_;
    TCLAP::SwitchArg version_;
    std::map<std::string, std::unique_ptr<ValueFlag>> flags_;
    std::unique_ptr<TCLAP::UnlabeledMultiArg<std::string>> unmatchedArguments_;
};

std::vector<std::string> settingNames()
{
    std::vector<std::string> names;
    for (const SettingInfo &info : settingTable())
        names.push_back(info.name);
    return names;
}

void readFlags(SettingValues &values, std::vector<std::string> arguments)
{
    while (true) {
        try {
            FlagSet flags;
            flags.parse(arguments);
            flags.storeValues(values);
            return;
        } catch (const TCLAP::CmdLineParseException &error) {
            values.errors.push_back(error.error() + ' ' + error.argId());
            return;
        } catch (const TCLAP::ArgParseException &) {
            // Only the last argument can lack a value, because any other flag takes the next
            // argument as its value.
            values.errors.push_back(arguments.back() + " has no value");
            arguments.pop_back();
        }
    }
}

} // namespace

SettingValues readSettingValues(const std::vector<std::string> &arguments,
                                const EnvironmentLookup &environment)
{
    SettingValues values;
    for (const SettingInfo &info : settingTable())
        values.rawValues[info.name] = environment(info.environmentName).value_or(info.defaultValue);
    readFlags(values, splitAssignments(arguments, settingNames()));
    return values;
}

} // namespace auburn
