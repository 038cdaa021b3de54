#include "auburn/daemon/commandexecutor.h"

#include "auburn/core/hash.h"
#include "auburn/core/ids.h"
#include "auburn/core/lasterror.h"
#include "auburn/core/log.h"
#include "auburn/ctl/commandparser.h"
#include "changebuilder.h"
#include "query.h"
#include "tablerows.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

namespace auburn {

namespace {

using Reply = proto::OperatorReply;

Reply makeReply(proto::OperatorStatus status, std::string message, unsigned column = 0)
{
    Reply reply;
    reply.set_status(status);
    reply.set_message(std::move(message));
    reply.set_error_column(column);
    return reply;
}

Reply makeAcceptedReply(proto::OperatorStatus status, const std::string &message,
                        std::uint64_t revision)
{
    Reply reply = makeReply(status, message);
    reply.set_revision(revision);
    return reply;
}

struct ResultToReply
{
    Reply operator()(const ChangeAccepted &result) const
    {
        return makeAcceptedReply(proto::OPERATOR_STATUS_OK,
                                 "accepted as revision " + std::to_string(result.revision),
                                 result.revision);
    }
    Reply operator()(const ChangeConflict &result) const
    {
        return makeReply(proto::OPERATOR_STATUS_CONFLICT,
                         "another change came first: " + result.reason);
    }
    Reply operator()(const ChangeInvalid &result) const
    {
        return makeReply(proto::OPERATOR_STATUS_INVALID, result.reason);
    }
    Reply operator()(const ChangeUnavailable &result) const
    {
        return makeReply(proto::OPERATOR_STATUS_UNAVAILABLE, "not done: " + result.reason);
    }
    Reply operator()(const ChangeUnknown &result) const
    {
        return makeReply(proto::OPERATOR_STATUS_UNKNOWN, "may have been done: " + result.reason);
    }
};

// Returns the names of the failure domains that do not have the revision in force yet, separated by
// ", ".
std::string failureDomainsBehind(const std::vector<FailureDomainProgress> &failureDomains,
                                 std::uint64_t revision)
{
    if (failureDomains.empty())
        return "unknown failure domains, because this daemon has no member table yet";
    std::string names;
    for (const FailureDomainProgress &failureDomain : failureDomains) {
        if (failureDomain.reachable && failureDomain.daemons > 0
            && failureDomain.minRevision >= revision)
            continue;
        names += (names.empty() ? "" : ", ") + failureDomain.failureDomain;
    }
    return names;
}

std::chrono::milliseconds timeoutOf(const proto::OperatorRequest &request)
{
    if (request.timeout_ms() == 0)
        return kDefaultCommandTimeout;
    const std::uint64_t maxTimeout = std::chrono::milliseconds(kMaxCommandTimeout).count();
    return std::chrono::milliseconds(std::min(request.timeout_ms(), maxTimeout));
}

// Derives the change id from the operator and the request id, so that a repeated request is applied
// only once. The id is a hash, because the length and the characters of change ids are limited.
std::string changeId(const proto::OperatorRequest &request, const std::string &operatorName)
{
    const std::string suffix = request.request_id().empty() ? makeRandomId() : request.request_id();
    return sha256Hex(operatorName + '/' + suffix);
}

std::string_view changedItemKind(const proto::ConfigChange &change)
{
    const auto item = itemFromProto(change.item());
    return item ? itemKindName(keyOf(item->value).kind) : std::string_view("unknown");
}

std::uint64_t nowMilliseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

} // namespace

// A submitted change whose reply has not been sent.
class CommandExecutor::PendingChange
{
public:
    PendingChange(ReplyCallback reply, bool wait, Clock::time_point deadline)
        : replyCallback_(std::move(reply))
        , wait_(wait)
        , deadline_(deadline)
    {}

    // Records the result of the backend. The reply is then ready, unless it has to wait until the
    // failure domains have the revision in force.
    void setResult(const ChangeResult &result)
    {
        if (const auto *accepted = std::get_if<ChangeAccepted>(&result); accepted && wait_)
            revision_ = accepted->revision;
        else
            finalReply_ = std::visit(ResultToReply{}, result);
    }

    // Prepares the reply if the revision is in force everywhere or the timeout has passed.
    void checkProgress(const OperatorBackend &backend, Clock::time_point now)
    {
        if (finalReply_)
            return;
        const bool timedOut = now >= deadline_;
        if (!revision_) {
            if (timedOut)
                finalReply_ = std::visit(
                        ResultToReply{},
                        ChangeResult(ChangeUnknown{ "no result from the log in time" }));
            return;
        }
        const auto failureDomains = backend.progress();
        const std::string behind = failureDomainsBehind(failureDomains, *revision_);
        const std::string revision = std::to_string(*revision_);
        if (behind.empty())
            finalReply_ = makeAcceptedReply(proto::OPERATOR_STATUS_OK,
                                            "in force everywhere as revision " + revision,
                                            *revision_);
        else if (timedOut)
            finalReply_ = makeAcceptedReply(proto::OPERATOR_STATUS_NOT_IN_FORCE,
                                            "accepted as revision " + revision
                                                    + ", but not seen in force in: " + behind,
                                            *revision_);
    }

    bool isReady() const { return finalReply_.has_value(); }
    void send() const { replyCallback_(*finalReply_); }

private:
    ReplyCallback replyCallback_;
    bool wait_ = false;
    Clock::time_point deadline_;
    std::optional<std::uint64_t> revision_;
    std::optional<Reply> finalReply_;
};

// Thread-safe list of pending changes; sends each reply once.
class CommandExecutor::PendingChanges
{
public:
    // Returns null if kMaxPendingChanges changes are pending.
    std::shared_ptr<PendingChange> add(PendingChange pending)
    {
        const std::lock_guard lock(mutex_);
        if (changes_.size() >= kMaxPendingChanges)
            return nullptr;
        changes_.push_back(std::make_shared<PendingChange>(std::move(pending)));
        return changes_.back();
    }

    void setResult(const std::shared_ptr<PendingChange> &pending, const ChangeResult &result)
    {
        {
            const std::lock_guard lock(mutex_);
            const auto found = std::find(changes_.begin(), changes_.end(), pending);
            if (found == changes_.end())
                return;
            pending->setResult(result);
        }
        sendReady();
    }

    void checkProgress(const OperatorBackend &backend, Clock::time_point now)
    {
        {
            const std::lock_guard lock(mutex_);
            for (const auto &pending : changes_)
                pending->checkProgress(backend, now);
        }
        sendReady();
    }

    void clear()
    {
        const std::lock_guard lock(mutex_);
        changes_.clear();
    }

private:
    // Replies are sent without holding the lock, because a reply callback may execute the next
    // command.
    void sendReady()
    {
        std::vector<std::shared_ptr<PendingChange>> ready;
        {
            const std::lock_guard lock(mutex_);
            const auto first = std::stable_partition(
                    changes_.begin(), changes_.end(),
                    [](const auto &entry) { return !entry->isReady(); });
            ready.assign(first, changes_.end());
            changes_.erase(first, changes_.end());
        }
        for (const auto &pending : ready)
            pending->send();
    }

    std::mutex mutex_;
    std::vector<std::shared_ptr<PendingChange>> changes_;
};

CommandExecutor::CommandExecutor(OperatorBackend &backend)
    : backend_(backend)
    , pendingChanges_(std::make_shared<PendingChanges>())
{}

CommandExecutor::~CommandExecutor()
{
    pendingChanges_->clear();
}

void CommandExecutor::execute(const proto::OperatorRequest &request,
                              const std::string &operatorName, const ReplyCallback &reply,
                              Clock::time_point now)
{
    const ReplyCallback replyWithRequestId = [id = request.request_id(), reply](Reply message) {
        message.set_request_id(id);
        reply(std::move(message));
    };
    const ParsedCommand parsed = CommandParser::parse(request.command());
    if (const auto *error = std::get_if<CommandError>(&parsed)) {
        replyWithRequestId(
                makeReply(proto::OPERATOR_STATUS_SYNTAX_ERROR, error->message, error->column));
        return;
    }
    const Command &command = std::get<Command>(parsed);
    if (const auto *show = std::get_if<ShowCommand>(&command)) {
        replyWithRequestId(run(*show));
        return;
    }
    const auto state = backend_.configState();
    if (!state) {
        replyWithRequestId(makeReply(proto::OPERATOR_STATUS_UNAVAILABLE,
                                     "not done: this daemon has no configuration yet"));
        return;
    }
    const BuiltChange built = std::visit(
            [&](const auto &changeCommand) -> BuiltChange {
                if constexpr (std::is_same_v<std::decay_t<decltype(changeCommand)>, ShowCommand>)
                    return ChangeError{};
                else
                    return buildChange(changeCommand, *state);
            },
            command);
    if (const auto *changeError = std::get_if<ChangeError>(&built)) {
        replyWithRequestId(
                makeReply(changeError->status, changeError->message, changeError->column));
        return;
    }
    submit(std::get<proto::ConfigChange>(built), request, operatorName, replyWithRequestId, now);
}

void CommandExecutor::tick(Clock::time_point now)
{
    pendingChanges_->checkProgress(backend_, now);
}

Reply CommandExecutor::run(const ShowCommand &command) const
{
    auto rows = tableRows(command.table, backend_);
    if (!rows)
        return makeReply(proto::OPERATOR_STATUS_UNAVAILABLE, lastError());
    const auto result = evaluateQuery(command, std::move(*rows));
    if (const auto *error = std::get_if<CommandError>(&result))
        return makeReply(proto::OPERATOR_STATUS_INVALID, error->message, error->column);
    const auto &selected = std::get<std::vector<TableRow>>(result);
    if (selected.size() > kMaxReplyRows)
        return makeReply(proto::OPERATOR_STATUS_INVALID, "more than "
                                                                 + std::to_string(kMaxReplyRows)
                                                                 + " rows; add where or limit");
    Reply reply = makeReply(proto::OPERATOR_STATUS_OK, {});
    for (const Column &column : tableColumns(command.table))
        reply.add_columns(std::string(column.name));
    for (const TableRow &row : selected) {
        proto::OperatorRow *replyRow = reply.add_rows();
        for (const TableValue &value : row)
            replyRow->add_cells()->set_text(valueText(value));
    }
    return reply;
}

void CommandExecutor::submit(proto::ConfigChange change, const proto::OperatorRequest &request,
                             const std::string &operatorName, const ReplyCallback &reply,
                             Clock::time_point now)
{
    const auto pending = pendingChanges_->add(
            PendingChange(reply, request.wait(), now + timeoutOf(request)));
    if (!pending) {
        reply(makeReply(proto::OPERATOR_STATUS_UNAVAILABLE,
                        "not done: too many changes are in progress at this daemon"));
        return;
    }
    change.set_change_id(changeId(request, operatorName));
    change.set_operator_name(operatorName);
    change.set_time_ms(nowMilliseconds());
    logEvent(LogLevel::Info, "operator_change",
             { { "operator", operatorName },
               { "change", change.change_id() },
               { "kind", changedItemKind(change) },
               { "item", change.item().name() },
               { "base", static_cast<long long>(change.base_revision()) } });
    backend_.submit(std::move(change),
                    [table = pendingChanges_, pending](const ChangeResult &result) {
                        table->setResult(pending, result);
                    });
}

} // namespace auburn
