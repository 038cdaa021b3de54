#pragma once

#include <functional>

namespace auburn {

// Defers calls between the slot client and the cell owner of one process until the calling thread
// holds no lock of either.
//
// Without the deferral, a grant could run a requester's callback inside a call of the owner inside
// another callback, and the locks would be taken in arbitrary order.
class DeferredCalls
{
public:
    // Calls that this thread posts run when its outermost scope ends.
    class Scope
    {
    public:
        Scope();
        ~Scope();
        Scope(const Scope &) = delete;
        Scope &operator=(const Scope &) = delete;
    };

    // Runs the call at the end of the thread's outermost scope, or immediately if there is none.
    static void post(std::function<void()> call);
};

} // namespace auburn
