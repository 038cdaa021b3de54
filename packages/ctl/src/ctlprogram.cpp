#include "auburn/ctl/ctlprogram.h"

#include "statusprogram.h"

#include "auburn/core/hash.h"
#include "auburn/ctl/commandparser.h"
#include "auburn/ctl/duration.h"
#include "auburn/ctl/operatorclient.h"
#include "auburn/ctl/options.h"
#include "auburn/ctl/replyformat.h"
#include "auburn/ctl/statuscommand.h"

#include <array>
#include <iostream>
#include <tclap/CmdLine.h>
#include <zmq.h>

namespace auburn {

namespace {

constexpr const char *kVersion = "0.1.0";
constexpr std::size_t kZ85KeyLength = 40;

struct Options
{
    OperatorClientOptions client;
    // IP:PORT of a daemon's metrics port.
    std::string status;
    bool json = false;
    bool wait = false;
    std::vector<std::string> words;
};

struct UsageError
{
    std::string message;
};

class OptionParser
{
public:
    explicit OptionParser(const CtlEnvironment &environment)
        : environment_(environment)
        , commandLine_(
                  "Operators' tool of auburnworks. Commands: show, set, unset, drain, undrain, "
                  "keygen, hash-token; duties and explain, which need only --status. Every option "
                  "can also be set by an environment variable: AUBURN_CTL_ and the option's name, "
                  "for "
                  "example AUBURN_CTL_SERVER_KEY.\n"
                  "duties: who performs the duties, and on that daemon the usage reports and the "
                  "ordered servers.\n"
                  "explain SERVICE [prompt ID:TOKENS,...] [urgency N] [stream] [deadline MS] "
                  "[organisation NAME]: where the daemon would send a request now, and why. Ids "
                  "are decimal, or hexadecimal with the prefix 0x.",
                  ' ', kVersion)
        , endpoint_("e", "endpoint", "Operators' endpoint of a daemon.", false, "", "tcp://IP:PORT",
                    commandLine_)
        , status_("s", "status", "Metrics port of a daemon, for duties and explain.", false, "",
                  "IP:PORT", commandLine_)
        , serverKey_("", "server-key", "The fleet's public key.", false, "", "Z85", commandLine_)
        , publicKey_("", "public-key", "The operator's public key.", false, "", "Z85", commandLine_)
        , secretKey_("", "secret-key",
                     "The operator's secret key; prefer AUBURN_CTL_SECRET_KEY, which other users "
                     "cannot see.",
                     false, "", "Z85", commandLine_)
        , output_("o", "output", "Form of the output.", false, "table", "table|json", commandLine_)
        , timeout_("t", "timeout", "Longest time to wait for the reply.", false, "30s", "DURATION",
                   commandLine_)
        , wait_("w", "wait", "Wait until the change is in force everywhere.", commandLine_, false)
        , words_("command", "The command and its words.", false, "COMMAND...", commandLine_)
    {
        commandLine_.setExceptionHandling(false);
    }

    Options parse(std::vector<std::string> arguments)
    {
        arguments = splitAssignments(arguments, { "endpoint", "server-key", "public-key",
                                                  "secret-key", "output", "timeout", "status" });
        arguments.insert(arguments.begin(), "auburnctl");
        commandLine_.parse(arguments);
        Options options;
        options.client.endpoint = value(endpoint_, "ENDPOINT");
        options.client.serverKey = value(serverKey_, "SERVER_KEY");
        options.client.publicKey = value(publicKey_, "PUBLIC_KEY");
        options.client.secretKey = value(secretKey_, "SECRET_KEY");
        options.client.timeout = timeout(value(timeout_, "TIMEOUT"));
        options.status = value(status_, "STATUS");
        options.json = isJson(value(output_, "OUTPUT"));
        options.wait = wait_.getValue() || isTrue(environment_.variable("AUBURN_CTL_WAIT"));
        options.words = words_.getValue();
        return options;
    }

private:
    // The flag, then the environment, then the default.
    std::string value(TCLAP::ValueArg<std::string> &argument, const std::string &name) const
    {
        if (argument.isSet())
            return argument.getValue();
        return environment_.variable("AUBURN_CTL_" + name).value_or(argument.getValue());
    }

    static std::chrono::milliseconds timeout(const std::string &text)
    {
        const auto duration = parseDuration(text);
        if (!duration || *duration < std::chrono::milliseconds(1)
            || *duration > std::chrono::hours(1))
            throw UsageError{ "--timeout must be a duration from 1ms to 1h, such as 30s" };
        return std::chrono::duration_cast<std::chrono::milliseconds>(*duration);
    }

    static bool isJson(const std::string &text)
    {
        if (text != "table" && text != "json")
            throw UsageError{ "--output must be table or json" };
        return text == "json";
    }

    static bool isTrue(const std::optional<std::string> &text)
    {
        return text && (*text == "1" || *text == "true");
    }

    const CtlEnvironment &environment_;
    TCLAP::CmdLine commandLine_;
    TCLAP::ValueArg<std::string> endpoint_;
    TCLAP::ValueArg<std::string> status_;
    TCLAP::ValueArg<std::string> serverKey_;
    TCLAP::ValueArg<std::string> publicKey_;
    TCLAP::ValueArg<std::string> secretKey_;
    TCLAP::ValueArg<std::string> output_;
    TCLAP::ValueArg<std::string> timeout_;
    TCLAP::SwitchArg wait_;
    TCLAP::UnlabeledMultiArg<std::string> words_;
};

std::string join(const std::vector<std::string> &words)
{
    std::string result;
    for (const std::string &word : words)
        result += (result.empty() ? "" : " ") + word;
    return result;
}

CtlExit generateKeys(const CtlEnvironment &environment)
{
    std::array<char, kZ85KeyLength + 1> publicKey{};
    std::array<char, kZ85KeyLength + 1> secretKey{};
    if (zmq_curve_keypair(publicKey.data(), secretKey.data()) != 0) {
        environment.err << "auburnctl: ZeroMQ was built without CURVE\n";
        return CtlExit::Failed;
    }
    environment.out << "public-key " << publicKey.data() << "\nsecret-key " << secretKey.data()
                    << '\n';
    return CtlExit::Done;
}

CtlExit hashToken(const CtlEnvironment &environment)
{
    std::string token;
    std::getline(environment.in, token);
    if (!token.empty() && token.back() == '\r')
        token.pop_back();
    if (token.empty()) {
        environment.err << "auburnctl: expected a token on standard input\n";
        return CtlExit::Usage;
    }
    environment.out << sha256Hex(token) << '\n';
    return CtlExit::Done;
}

CtlExit exitFor(proto::OperatorStatus status)
{
    switch (status) {
    case proto::OPERATOR_STATUS_OK:
        return CtlExit::Done;
    case proto::OPERATOR_STATUS_SYNTAX_ERROR:
    case proto::OPERATOR_STATUS_INVALID:
        return CtlExit::Usage;
    case proto::OPERATOR_STATUS_NOT_FOUND:
        return CtlExit::NotFound;
    case proto::OPERATOR_STATUS_CONFLICT:
        return CtlExit::Conflict;
    case proto::OPERATOR_STATUS_UNAVAILABLE:
        return CtlExit::Unavailable;
    case proto::OPERATOR_STATUS_UNKNOWN:
        return CtlExit::Unknown;
    case proto::OPERATOR_STATUS_NOT_IN_FORCE:
        return CtlExit::NotInForce;
    default:
        return CtlExit::Failed;
    }
}

CtlExit exitFor(ClientFailure failure, bool query)
{
    switch (failure) {
    case ClientFailure::Usage:
        return CtlExit::Usage;
    case ClientFailure::Unauthorised:
        return CtlExit::Failed;
    case ClientFailure::NotSent:
        return CtlExit::Unavailable;
    case ClientFailure::NoReply:
        // A query changes nothing, so it can be repeated whatever became of it.
        return query ? CtlExit::Unavailable : CtlExit::Unknown;
    }
    return CtlExit::Failed;
}

std::optional<TableId> tableOf(const Command &command)
{
    const auto *show = std::get_if<ShowCommand>(&command);
    return show ? std::optional(show->table) : std::nullopt;
}

void checkClientOptions(const OperatorClientOptions &options)
{
    const std::array<std::pair<const char *, const std::string *>, 3> keys{ {
            { "--server-key", &options.serverKey },
            { "--public-key", &options.publicKey },
            { "--secret-key", &options.secretKey },
    } };
    if (options.endpoint.empty())
        throw UsageError{ "--endpoint is required" };
    for (const auto &[name, key] : keys) {
        if (key->size() != kZ85KeyLength)
            throw UsageError{ std::string(name) + " must be a Z85 key of 40 characters" };
    }
}

class CommandRun
{
public:
    CommandRun(const CtlEnvironment &environment, Options options)
        : environment_(environment)
        , options_(std::move(options))
        , text_(join(options_.words))
    {}

    CtlExit run()
    {
        // Syntax errors are found here, so that they need no daemon.
        const ParsedCommand parsed = CommandParser::parse(text_);
        if (const auto *error = std::get_if<CommandError>(&parsed)) {
            printError(error->message, error->column);
            return CtlExit::Usage;
        }
        checkClientOptions(options_.client);
        const Command &command = std::get<Command>(parsed);
        const auto result = callOperator(options_.client, request());
        if (const auto *error = std::get_if<ClientError>(&result)) {
            printError(error->message, 0);
            return exitFor(error->failure, isQuery(command));
        }
        return printReply(std::get<proto::OperatorReply>(result), tableOf(command));
    }

private:
    proto::OperatorRequest request() const
    {
        proto::OperatorRequest request;
        request.set_command(text_);
        request.set_wait(options_.wait);
        request.set_timeout_ms(static_cast<std::uint64_t>(options_.client.timeout.count()));
        return request;
    }

    CtlExit printReply(const proto::OperatorReply &reply, std::optional<TableId> table)
    {
        const bool done = reply.status() == proto::OPERATOR_STATUS_OK;
        const bool accepted = done || reply.status() == proto::OPERATOR_STATUS_NOT_IN_FORCE;
        if (table && done)
            environment_.out << (options_.json ? formatJson(reply, table) : formatTable(reply));
        else if (accepted && options_.json)
            environment_.out << formatChangeJson(reply);
        else if (done)
            environment_.out << printableText(reply.message()) << '\n';
        if (!done)
            printError(reply.message(), reply.error_column());
        return exitFor(reply.status());
    }

    void printError(const std::string &message, unsigned column)
    {
        environment_.err << "auburnctl: " << printableText(message) << '\n';
        if (column > 0)
            environment_.err << formatCaret(text_, column);
    }

    const CtlEnvironment &environment_;
    Options options_;
    std::string text_;
};

CtlExit runParsed(const CtlEnvironment &environment, Options options)
{
    if (options.words.empty())
        throw UsageError{ "expected a command; see --help" };
    const bool single = options.words.size() == 1;
    if (single && options.words.front() == "keygen")
        return generateKeys(environment);
    if (single && options.words.front() == "hash-token")
        return hashToken(environment);
    if (isStatusCommand(options.words))
        return runStatusCommand(environment, { .address = options.status,
                                               .timeout = options.client.timeout,
                                               .json = options.json,
                                               .words = options.words });
    return CommandRun(environment, std::move(options)).run();
}

} // namespace

CtlExit runCtl(const std::vector<std::string> &arguments, const CtlEnvironment &environment)
{
    try {
        return runParsed(environment, OptionParser(environment).parse(arguments));
    } catch (const UsageError &error) {
        environment.err << "auburnctl: " << error.message << '\n';
    } catch (const TCLAP::ArgException &error) {
        environment.err << "auburnctl: " << error.error() << ' ' << error.argId() << '\n';
    } catch (const TCLAP::ExitException &exit) {
        // Thrown after TCLAP has printed the text of --help or --version.
        return static_cast<CtlExit>(exit.getExitStatus());
    }
    return CtlExit::Usage;
}

} // namespace auburn
