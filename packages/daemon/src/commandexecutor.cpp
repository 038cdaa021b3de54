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

Reply replyWith(proto::OperatorStatus status, std::string message, unsigned column = 0)
{
    Reply reply;
    reply.set_status(status);
    reply.set_message(std::move(message));
    reply.set_error_column(column);
    return reply;
}

Reply acceptedReply(proto::OperatorStatus status, const std::string &message,
                    std::uint64_t revision)
{
    Reply reply = replyWith(status, message);
    reply.set_revision(revision);
    return reply;
}

struct ToReply
{
    Reply operator()(const ChangeAccepted &result) const
    {
        return acceptedReply(proto::OPERATOR_STATUS_OK,
                             "accepted as revision " + std::to_string(result.revision),
                             result.revision);
    }
    Reply operator()(const ChangeConflict &result) const
    {
        return replyWith(proto::OPERATOR_STATUS_CONFLICT,
                         "another change came first: " + result.reason);
    }
    Reply operator()(const ChangeInvalid &result) const
    {
        return replyWith(proto::OPERATOR_STATUS_INVALID, result.reason);
    }
    Reply operator()(const ChangeUnavailable &result) const
    {
        return replyWith(proto::OPERATOR_STATUS_UNAVAILABLE, "not done: " + result.reason);
    }
    Reply operator()(const ChangeUnknown &result) const
    {
        return replyWith(proto::OPERATOR_STATUS_UNKNOWN, "may have been done: " + result.reason);
    }
};

std::string lagging(const std::vector<FailureDomainProgress> &failureDomains,
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
    const std::uint64_t longest = std::chrono::milliseconds(kLongestCommandTimeout).count();
    return std::chrono::milliseconds(std::min(request.timeout_ms(), longest));
}

// The same request of the same operator is the same change, so that a repeated request counts once.
// A hash, because the length and the characters of change ids are limited.
std::string changeId(const proto::OperatorRequest &request, const std::string &operatorName)
{
    const std::string suffix = request.request_id().empty() ? makeRandomId() : request.request_id();
    return sha256Hex(operatorName + '/' + suffix);
}

std::string_view kindOf(const proto::ConfigChange &change)
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

// A change that has no answer yet.
class CommandExecutor::Pending
{
public:
    Pending(ReplyCallback reply, bool wait, Clock::time_point deadline)
        : reply_(std::move(reply))
        , wait_(wait)
        , deadline_(deadline)
    {}

    // Takes the backend's result; the reply is ready unless it has to wait for the failure domains.
    void setResult(const ChangeResult &result)
    {
        if (const auto *accepted = std::get_if<ChangeAccepted>(&result); accepted && wait_)
            revision_ = accepted->revision;
        else
            ready_ = std::visit(ToReply{}, result);
    }

    void checkProgress(const OperatorBackend &backend, Clock::time_point now)
    {
        if (ready_)
            return;
        const bool late = now >= deadline_;
        if (!revision_) {
            if (late)
                ready_ = std::visit(
                        ToReply{}, ChangeResult(ChangeUnknown{ "no result from the log in time" }));
            return;
        }
        const auto failureDomains = backend.progress();
        const std::string missing = lagging(failureDomains, *revision_);
        const std::string revision = std::to_string(*revision_);
        if (missing.empty())
            ready_ = acceptedReply(proto::OPERATOR_STATUS_OK,
                                   "in force everywhere as revision " + revision, *revision_);
        else if (late)
            ready_ = acceptedReply(proto::OPERATOR_STATUS_NOT_IN_FORCE,
                                   "accepted as revision " + revision
                                           + ", but not seen in force in: " + missing,
                                   *revision_);
    }

    bool isReady() const { return ready_.has_value(); }
    void send() const { reply_(*ready_); }

private:
    ReplyCallback reply_;
    bool wait_ = false;
    Clock::time_point deadline_;
    std::optional<std::uint64_t> revision_;
    std::optional<Reply> ready_;
};

class CommandExecutor::PendingTable
{
public:
    // Nothing if too many commands are pending.
    std::shared_ptr<Pending> add(Pending pending)
    {
        const std::lock_guard lock(mutex_);
        if (entries_.size() >= kMaxPendingCommands)
            return nullptr;
        entries_.push_back(std::make_shared<Pending>(std::move(pending)));
        return entries_.back();
    }

    void setResult(const std::shared_ptr<Pending> &pending, const ChangeResult &result)
    {
        {
            const std::lock_guard lock(mutex_);
            const auto found = std::find(entries_.begin(), entries_.end(), pending);
            if (found == entries_.end())
                return;
            pending->setResult(result);
        }
        sendReady();
    }

    void checkProgress(const OperatorBackend &backend, Clock::time_point now)
    {
        {
            const std::lock_guard lock(mutex_);
            for (const auto &pending : entries_)
                pending->checkProgress(backend, now);
        }
        sendReady();
    }

    void clear()
    {
        const std::lock_guard lock(mutex_);
        entries_.clear();
    }

private:
    // Replies are sent without the lock, because a reply may lead to the next command.
    void sendReady()
    {
        std::vector<std::shared_ptr<Pending>> ready;
        {
            const std::lock_guard lock(mutex_);
            const auto first = std::stable_partition(
                    entries_.begin(), entries_.end(),
                    [](const auto &entry) { return !entry->isReady(); });
            ready.assign(first, entries_.end());
            entries_.erase(first, entries_.end());
        }
        for (const auto &pending : ready)
            pending->send();
    }

    std::mutex mutex_;
    std::vector<std::shared_ptr<Pending>> entries_;
};

CommandExecutor::CommandExecutor(OperatorBackend &backend)
    : backend_(backend)
    , pending_(std::make_shared<PendingTable>())
{}

CommandExecutor::~CommandExecutor()
{
    pending_->clear();
}

void CommandExecutor::execute(const proto::OperatorRequest &request,
                              const std::string &operatorName, const ReplyCallback &reply,
                              Clock::time_point now)
{
    const ReplyCallback answer = [id = request.request_id(), reply](Reply message) {
        message.set_request_id(id);
        reply(std::move(message));
    };
    const ParsedCommand parsed = CommandParser::parse(request.command());
    if (const auto *error = std::get_if<CommandError>(&parsed)) {
        answer(replyWith(proto::OPERATOR_STATUS_SYNTAX_ERROR, error->message, error->column));
        return;
    }
    const Command &command = std::get<Command>(parsed);
    if (const auto *show = std::get_if<ShowCommand>(&command)) {
        answer(run(*show));
        return;
    }
    const auto state = backend_.configState();
    if (!state) {
        answer(replyWith(proto::OPERATOR_STATUS_UNAVAILABLE,
                         "not done: this daemon has no configuration yet"));
        return;
    }
    const BuiltChange built = std::visit(
            [&](const auto &typed) -> BuiltChange {
                if constexpr (std::is_same_v<std::decay_t<decltype(typed)>, ShowCommand>)
                    return ChangeRefusal{};
                else
                    return buildChange(typed, *state);
            },
            command);
    if (const auto *refusal = std::get_if<ChangeRefusal>(&built)) {
        answer(replyWith(refusal->status, refusal->message, refusal->column));
        return;
    }
    submit(std::get<proto::ConfigChange>(built), request, operatorName, answer, now);
}

void CommandExecutor::tick(Clock::time_point now)
{
    pending_->checkProgress(backend_, now);
}

Reply CommandExecutor::run(const ShowCommand &command) const
{
    auto rows = tableRows(command.table, backend_);
    if (!rows)
        return replyWith(proto::OPERATOR_STATUS_UNAVAILABLE, lastError());
    const auto result = evaluateQuery(command, std::move(*rows));
    if (const auto *error = std::get_if<CommandError>(&result))
        return replyWith(proto::OPERATOR_STATUS_INVALID, error->message, error->column);
    const auto &selected = std::get<std::vector<CellRow>>(result);
    if (selected.size() > kMaxReplyRows)
        return replyWith(proto::OPERATOR_STATUS_INVALID, "more than "
                                                                 + std::to_string(kMaxReplyRows)
                                                                 + " rows; add where or limit");
    Reply reply = replyWith(proto::OPERATOR_STATUS_OK, {});
    for (const Column &column : tableColumns(command.table))
        reply.add_columns(std::string(column.name));
    for (const CellRow &row : selected) {
        proto::OperatorRow *target = reply.add_rows();
        for (const CellValue &value : row)
            target->add_cells()->set_text(cellText(value));
    }
    return reply;
}

void CommandExecutor::submit(proto::ConfigChange change, const proto::OperatorRequest &request,
                             const std::string &operatorName, const ReplyCallback &reply,
                             Clock::time_point now)
{
    const auto pending = pending_->add(Pending(reply, request.wait(), now + timeoutOf(request)));
    if (!pending) {
        reply(replyWith(proto::OPERATOR_STATUS_UNAVAILABLE,
                        "not done: too many changes are in progress at this daemon"));
        return;
    }
    change.set_change_id(changeId(request, operatorName));
    change.set_operator_name(operatorName);
    change.set_time_ms(nowMilliseconds());
    logEvent(LogLevel::Info, "operator_change",
             { { "operator", operatorName },
               { "change", change.change_id() },
               { "kind", kindOf(change) },
               { "item", change.item().name() },
               { "base", static_cast<long long>(change.base_revision()) } });
    backend_.submit(std::move(change), [table = pending_, pending](const ChangeResult &result) {
        table->setResult(pending, result);
    });
}

} // namespace auburn
