#include "localcalls.h"

#include <deque>
#include <utility>

namespace auburn {

namespace {

thread_local unsigned depth = 0;
thread_local std::deque<std::function<void()>> calls;

} // namespace

LocalCalls::Scope::Scope()
{
    ++depth;
}

LocalCalls::Scope::~Scope()
{
    while (depth == 1 && !calls.empty()) {
        const std::function<void()> call = std::move(calls.front());
        calls.pop_front();
        call();
    }
    --depth;
}

void LocalCalls::post(std::function<void()> call)
{
    const Scope scope;
    calls.push_back(std::move(call));
}

} // namespace auburn
