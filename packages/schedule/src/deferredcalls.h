#pragma once

#include <functional>

namespace auburn {

// Defers calls between the slot client and the cell owner of one process until the calling thread
// holds no lock of either.
//
// Without the deferral, the slot client would call the owner while it holds the lock of a request,
// and the owner's answer would call the client again, which could run the callback of another
// request. The locks of several requests would be held at once, in arbitrary order.
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
