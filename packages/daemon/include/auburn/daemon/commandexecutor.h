// CommandExecutor: runs operators' commands against the daemon's state.
//
// Queries are answered at once. A change is built from the item's current value, submitted with
// that item's revision as its base, and answered when the backend reports the result. With
// OperatorRequest.wait the answer is held back until every failure domain has the revision in
// force.
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

// Bounds of a command's timeout; 0 in the request means the default.
constexpr std::chrono::seconds kDefaultCommandTimeout{ 30 };
constexpr std::chrono::hours kMaxCommandTimeout{ 1 };

// Largest number of rows in a reply without a limit in the command. 21,000 organisations fit.
constexpr std::size_t kMaxReplyRows = 50'000;

// Largest number of changes that wait for their result at one daemon.
constexpr std::size_t kMaxPendingCommands = 256;

class CommandExecutor
{
public:
    using Clock = std::chrono::steady_clock;
    // Called exactly once, on the thread of execute(), of tick() or of the backend's callback.
    using ReplyCallback = std::function<void(proto::OperatorReply)>;

    explicit CommandExecutor(OperatorBackend &backend);
    // Backend callbacks that come later have no effect.
    ~CommandExecutor();
    CommandExecutor(const CommandExecutor &) = delete;
    CommandExecutor &operator=(const CommandExecutor &) = delete;

    void execute(const proto::OperatorRequest &request, const std::string &operatorName,
                 const ReplyCallback &reply, Clock::time_point now = Clock::now());

    // Answers changes that are in force everywhere or whose timeout has passed; to be called every
    // 50 ms or so.
    void tick(Clock::time_point now = Clock::now());

private:
    class PendingChange;
    class PendingChanges;

    proto::OperatorReply run(const ShowCommand &command) const;
    void submit(proto::ConfigChange change, const proto::OperatorRequest &request,
                const std::string &operatorName, const ReplyCallback &reply, Clock::time_point now);

    OperatorBackend &backend_;
    // Shared with the backend's callbacks, which may outlive the executor.
    std::shared_ptr<PendingChanges> pendingChanges_;
};

} // namespace auburn
