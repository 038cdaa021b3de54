#include "reportsplitter.h"

#include <cstddef>

namespace auburn::usage {

namespace {

constexpr std::size_t kMaxDatagramBytes = 1200;
// Upper bounds of the encoded sizes: the tag and length of a count, a window without its counts,
// and the datagram's own fields with the part numbers.
constexpr std::size_t kCountBytes = 3;
constexpr std::size_t kWindowBytes = 16;
constexpr std::size_t kDatagramBytes = 24;

// Collects counts until a report is full.
class Splitter
{
public:
    explicit Splitter(const proto::UsageReport &header)
        : header_(header)
    {
        startReport();
    }

    void add(const proto::UsageWindow &window)
    {
        window_ = nullptr;
        for (const proto::UsageCount &count : window.counts())
            add(window.window(), count);
    }

    std::vector<proto::UsageReport> takeReports() { return std::move(reports_); }

private:
    void startReport()
    {
        reports_.push_back(header_);
        bytes_ = kDatagramBytes + header_.ByteSizeLong();
        window_ = nullptr;
    }

    void add(std::uint64_t window, const proto::UsageCount &count)
    {
        const std::size_t bytes = kCountBytes + count.ByteSizeLong();
        if (bytes_ + bytes + kWindowBytes > kMaxDatagramBytes && reports_.back().windows_size() > 0)
            startReport();
        if (!window_) {
            window_ = reports_.back().add_windows();
            window_->set_window(window);
            bytes_ += kWindowBytes;
        }
        *window_->add_counts() = count;
        bytes_ += bytes;
    }

    const proto::UsageReport &header_;
    std::vector<proto::UsageReport> reports_;
    std::size_t bytes_ = 0;
    // The window of the last count, in the last report; null if it has none yet.
    proto::UsageWindow *window_ = nullptr;
};

} // namespace

std::vector<proto::UsageReport> splitReport(const proto::UsageReport &header,
                                            const std::vector<proto::UsageWindow> &windows)
{
    Splitter splitter(header);
    for (const proto::UsageWindow &window : windows)
        splitter.add(window);
    return splitter.takeReports();
}

} // namespace auburn::usage
