// LocalCalls: calls between the front and the owner side of one process, deferred until the calling
// thread holds no lock of either side.
//
// Without the deferral a grant could run a front's callback inside the owner's call inside another
// callback, with locks taken in any order.
#pragma once

#include <functional>

namespace auburn {

class DeferredCalls
{
public:
    // Calls posted by this thread run when its outermost scope ends.
    class Scope
    {
    public:
        Scope();
        ~Scope();
        Scope(const Scope &) = delete;
        Scope &operator=(const Scope &) = delete;
    };

    // Runs the call at the end of the thread's scope, or at once if there is none.
    static void post(std::function<void()> call);
};

} // namespace auburn
