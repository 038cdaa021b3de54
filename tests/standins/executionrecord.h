// ExecutionRecord: what a stand-in of a backend server has executed, as the tests' evidence.
#pragma once

#include <deque>
#include <string>

namespace auburn::standin {

struct Execution
{
    std::string requestId;
    std::string idempotencyKey;
    unsigned tokens = 0;
    bool finished = false;
    bool cancelled = false;
};

class ExecutionRecord
{
public:
    // Adds an execution; the reference stays valid.
    Execution &add(std::string requestId, std::string idempotencyKey);
    const std::deque<Execution> &executions() const { return executions_; }
    // {"executions":[{"request_id","idempotency_key","tokens","finished","cancelled"}]}
    std::string toJson() const;

private:
    std::deque<Execution> executions_;
};

} // namespace auburn::standin
