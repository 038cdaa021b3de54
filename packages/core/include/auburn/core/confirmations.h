// Confirmations decides whether something that this daemon has not found does not exist.
//
// Another process may know what this daemon lacks: a server that registered while this daemon was
// cut off, a record that a restored store has lost, a figure that was sent. So absence proves
// something only once every source that may know more has confirmed it, in the era of the store in
// which this daemon decides, and recently enough. A silent source confirms nothing: it may be
// suspended or cut off, and go on later.
//
// A confirmation is dated by the moment at which the question was sent, on a clock that also counts
// suspended time. The moment at which the reply is handled says nothing about its age, because
// replies wait in the socket while this process is suspended.
#pragma once

#include "auburn/core/bootclock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace auburn {

class Confirmations
{
public:
    using TimePoint = BootClock::time_point;

    // What the confirmations that a decision relies on must fulfil.
    struct Bound
    {
        // The oldest permitted era of the store; 0 permits all.
        std::uint64_t era = 0;
        // The oldest permitted time of a question.
        TimePoint askedSince;
    };

    // From now on nothing is proven without this source; it keeps the confirmation that it has.
    void expect(const std::string &source) { sources_.try_emplace(source); }
    // The source cannot know more than the others any longer, or has been replaced.
    void release(const std::string &source) { sources_.erase(source); }
    // The source has replied to a question that was sent at this time. Ignored if it is not
    // expected, or if it has already replied in a later era or to a later question.
    void confirm(const std::string &source, std::uint64_t era, TimePoint askedAt);

    // Returns true if all of these sources have confirmed.
    bool haveConfirmed(const std::vector<std::string> &sources, const Bound &bound) const;
    // Returns true if at least one source is expected and all of them have confirmed.
    bool areComplete(const Bound &bound) const;
    // The sources whose confirmations a decision lacks.
    std::vector<std::string> missing(const Bound &bound) const;
    // The number of sources that have confirmed.
    std::size_t confirmed(const Bound &bound) const;
    // The time of the newest question to which the source has replied; empty if it has not.
    std::optional<TimePoint> askedAt(const std::string &source) const;

private:
    struct Confirmation
    {
        std::uint64_t era = 0;
        TimePoint askedAt;
    };

    static bool fulfils(const std::optional<Confirmation> &confirmation, const Bound &bound);

    std::map<std::string, std::optional<Confirmation>> sources_;
};

} // namespace auburn
