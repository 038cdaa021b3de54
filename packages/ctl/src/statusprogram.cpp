#include "statusprogram.h"

#include "auburn/ctl/replyformat.h"
#include "auburn/ctl/statusclient.h"
#include "auburn/ctl/statuscommand.h"
#include "auburn/ctl/statusformat.h"

#include <algorithm>
#include <optional>
#include <ostream>
#include <variant>

namespace auburn {

namespace {

constexpr int kOk = 200;
// An error message is one line; longer ones are not from a daemon.
constexpr std::size_t kMaxErrorBytes = 200;

CtlExit fail(const CtlEnvironment &environment, const std::string &message, CtlExit exit)
{
    environment.err << "auburnctl: " << printableText(message) << '\n';
    return exit;
}

CtlExit exitFor(StatusFailure failure)
{
    switch (failure) {
    case StatusFailure::Usage:
        return CtlExit::Usage;
    case StatusFailure::Unavailable:
        return CtlExit::Unavailable;
    case StatusFailure::Unreadable:
        return CtlExit::Failed;
    }
    return CtlExit::Failed;
}

CtlExit exitForStatus(int status)
{
    constexpr int kBadRequest = 400;
    constexpr int kNotFound = 404;
    constexpr int kServiceUnavailable = 503;
    switch (status) {
    case kBadRequest:
        return CtlExit::Usage;
    case kNotFound:
        return CtlExit::NotFound;
    case kServiceUnavailable:
        return CtlExit::Unavailable;
    default:
        return CtlExit::Failed;
    }
}

std::string errorMessage(const StatusDocument &document)
{
    const std::string line = document.body.substr(
            0, std::min(document.body.find('\n'), kMaxErrorBytes));
    return "the daemon responded with status " + std::to_string(document.status)
           + (line.empty() ? "" : ": " + line);
}

} // namespace

CtlExit runStatusCommand(const CtlEnvironment &environment, const StatusOptions &options)
{
    const auto parsed = parseStatusCommand(options.words);
    if (const auto *error = std::get_if<StatusCommandError>(&parsed))
        return fail(environment, error->message, CtlExit::Usage);
    if (options.address.empty())
        return fail(environment, "--status is required for duties and explain", CtlExit::Usage);
    const auto &command = std::get<StatusCommand>(parsed);
    const auto result = readStatus(options.address, command.target, options.timeout);
    if (const auto *error = std::get_if<StatusError>(&result))
        return fail(environment, error->message, exitFor(error->failure));
    const auto &document = std::get<StatusDocument>(result);
    if (document.status != kOk)
        return fail(environment, errorMessage(document), exitForStatus(document.status));
    const std::optional<std::string> text = options.json
                                                    ? formatStatusJson(command.view, document.body)
                                                    : formatStatusTable(command.view,
                                                                        document.body);
    if (!text)
        return fail(environment, "the daemon's response is unreadable", CtlExit::Failed);
    environment.out << *text;
    return CtlExit::Done;
}

} // namespace auburn
