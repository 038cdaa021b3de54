// ReportStatus is what the holder of the duties shows operators about the usage reports.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace auburn::usage {

// A window whose figure the platform accepted.
struct ReportedWindow
{
    std::uint64_t window = 0;
    // Time since the end of the window.
    std::chrono::milliseconds age{ 0 };
    // Calls that failed before the one that was accepted.
    unsigned failures = 0;
};

struct ReportStatus
{
    // The newest window that this daemon reported; empty if it reported none.
    std::optional<ReportedWindow> newest;
    // Figures that are committed and not yet accepted, and their failed calls.
    std::size_t waitingWindows = 0;
    unsigned waitingFailures = 0;
};

} // namespace auburn::usage
