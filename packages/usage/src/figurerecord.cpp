#include "figurerecord.h"

#include "auburn.pb.h"
#include "auburn/proto/parsemessage.h"
#include "auburn/usage/usagewindow.h"

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace auburn::usage {

namespace {

// The store accepts records of up to 262,144 bytes; the rest is for the key and for framing.
constexpr std::size_t kMaxValueBytes = 250000;
// Upper bounds of the encoded sizes of the tag and length of a count, and of the window's number.
constexpr std::size_t kCountBytes = 6;
constexpr std::size_t kWindowBytes = 11;

// One part of a figure, as found in a listing.
struct Part
{
    LogPosition position = 0;
    proto::UsageRecord record;
};

// Parts by window and number of parts, then by part, which counts from 1.
using Parts = std::map<std::pair<std::uint64_t, std::size_t>, std::map<std::size_t, Part>>;

struct PartNumber
{
    std::size_t part = 1;
    std::size_t parts = 1;
};

// Parses "KEY" or "KEY-PART-PARTS".
std::optional<PartNumber> parseKey(std::string_view key)
{
    PartNumber number;
    const std::size_t first = key.find('-');
    if (first == std::string_view::npos)
        return number;
    const char *const end = key.data() + key.size();
    const auto part = std::from_chars(key.data() + first + 1, end, number.part);
    if (part.ec != std::errc() || part.ptr == end || *part.ptr != '-')
        return std::nullopt;
    const auto parts = std::from_chars(part.ptr + 1, end, number.parts);
    const bool isValid = parts.ec == std::errc() && parts.ptr == end && number.part >= 1
                         && number.part <= number.parts;
    return isValid ? std::optional(number) : std::nullopt;
}

bool isComplete(const std::map<std::size_t, Part> &parts, std::size_t expected)
{
    if (parts.size() != expected)
        return false;
    const LogPosition first = parts.begin()->second.position;
    return std::all_of(parts.begin(), parts.end(), [first](const auto &item) {
        return item.second.position == first + item.first - 1;
    });
}

} // namespace

std::uint64_t figureKeyCount(std::chrono::milliseconds windowLength)
{
    return static_cast<std::uint64_t>(kReportLimit / windowLength) + 2;
}

std::vector<FigureRecord> encodeFigure(const duties::UsageFigure &figure, std::uint64_t keyCount)
{
    std::vector<proto::UsageRecord> records(1);
    std::size_t bytes = kWindowBytes;
    for (const auto &[organisation, requests] : figure.requests) {
        proto::UsageCount count;
        count.set_organisation(organisation);
        count.set_requests(requests);
        const std::size_t size = kCountBytes + count.ByteSizeLong();
        if (bytes + size > kMaxValueBytes) {
            records.emplace_back();
            bytes = kWindowBytes;
        }
        bytes += size;
        *records.back().add_counts() = std::move(count);
    }
    const std::string key = std::to_string(figure.window % keyCount);
    std::vector<FigureRecord> result;
    for (std::size_t i = 0; i < records.size(); ++i) {
        records[i].set_window(figure.window);
        const std::string part = "-" + std::to_string(i + 1) + "-" + std::to_string(records.size());
        result.push_back({ .key = records.size() == 1 ? key : key + part,
                           .value = records[i].SerializeAsString() });
    }
    return result;
}

CommittedFigures decodeFigures(const duties::LogListing &listing, std::uint64_t firstWindow,
                               std::uint64_t lastWindow)
{
    Parts found;
    for (const duties::LogItem &item : listing.items) {
        const auto number = parseKey(item.key);
        Part part{ .position = item.position };
        if (!number || !proto::parseMessage(item.value, part.record))
            continue;
        const std::uint64_t window = part.record.window();
        if (window > lastWindow)
            continue;
        if (window < firstWindow)
            part.record = {};
        found[{ window, number->parts }][number->part] = std::move(part);
    }
    CommittedFigures result;
    for (const auto &[id, parts] : found) {
        if (!isComplete(parts, id.second))
            continue;
        result.nextWindow = id.first + 1;
        if (id.first < firstWindow)
            continue;
        duties::UsageFigure &figure = result.figures[id.first];
        figure.window = id.first;
        for (const auto &[number, part] : parts) {
            for (const proto::UsageCount &count : part.record.counts())
                figure.requests[count.organisation()] = count.requests();
        }
    }
    return result;
}

} // namespace auburn::usage
