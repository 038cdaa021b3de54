#pragma once

#include "auburn/ctl/command.h"
#include "auburn/daemon/operatorbackend.h"

#include "auburn.pb.h"

#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace auburn {

// Timeout of a command whose request gives 0, and upper limit for the requested timeout.
constexpr std::chrono::seconds kDefaultCommandTimeout{ 30 };
constexpr std::chrono::hours kMaxCommandTimeout{ 1 };

// Maximum number of rows in a reply; a query that selects more is rejected. Leaves room for 21,000
// organisations.
constexpr std::size_t kMaxReplyRows = 50'000;

// Maximum number of changes per daemon whose result is outstanding; further changes are rejected.
constexpr std::size_t kMaxPendingChanges = 256;

// Runs the commands of operators against the state of this daemon.
//
// Queries are answered immediately. For a change, the executor builds the new value from the item's
// current value, submits it with the item's revision as the base revision, and replies when the
// backend reports the result. If OperatorRequest.wait is set, the reply is delayed until every
// failure domain has the revision in force.
class CommandExecutor
{
public:
    using Clock = std::chrono::steady_clock;
    // Called exactly once per command, on the thread that calls execute(), tick() or the backend's
    // change callback.
    using ReplyCallback = std::function<void(proto::OperatorReply)>;

    explicit CommandExecutor(OperatorBackend &backend);
    // Discards the pending changes without a reply. Backend callbacks that arrive later have no
    // effect.
    ~CommandExecutor();
    CommandExecutor(const CommandExecutor &) = delete;
    CommandExecutor &operator=(const CommandExecutor &) = delete;

    // Parses and runs one command. operatorName is the authenticated sender and is recorded in the
    // change.
    void execute(const proto::OperatorRequest &request, const std::string &operatorName,
                 const ReplyCallback &reply, Clock::time_point now = Clock::now());

    // Replies to pending changes that are now in force everywhere or have timed out. Must be called
    // about every 50 ms; the interval bounds the delay of these replies.
    void tick(Clock::time_point now = Clock::now());

private:
    class PendingChange;
    class PendingChanges;

    proto::OperatorReply run(const ShowCommand &command) const;
    void submit(proto::ConfigChange change, const proto::OperatorRequest &request,
                const std::string &operatorName, const ReplyCallback &reply, Clock::time_point now);

    OperatorBackend &backend_;
    // Shared with the callbacks passed to the backend, which may outlive the executor.
    std::shared_ptr<PendingChanges> pendingChanges_;
};

} // namespace auburn
