#include "deferredcalls.h"

#include <deque>
#include <utility>

namespace auburn {

namespace {

thread_local unsigned scopeDepth = 0;
thread_local std::deque<std::function<void()>> calls;

} // namespace

DeferredCalls::Scope::Scope()
{
    ++scopeDepth;
}

DeferredCalls::Scope::~Scope()
{
    while (scopeDepth == 1 && !calls.empty()) {
        const std::function<void()> call = std::move(calls.front());
        calls.pop_front();
        call();
    }
    --scopeDepth;
}

void DeferredCalls::post(std::function<void()> call)
{
    const Scope scope;
    calls.push_back(std::move(call));
}

} // namespace auburn
