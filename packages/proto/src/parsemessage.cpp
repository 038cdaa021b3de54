#include "auburn/proto/parsemessage.h"

#include <google/protobuf/descriptor.h>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>

namespace auburn::proto {

namespace {

using google::protobuf::Descriptor;
using google::protobuf::FieldDescriptor;

// Messages of this project are nested less deeply than this.
constexpr int kMaxDepth = 32;
constexpr unsigned kWireTypeBits = 3;

enum WireType : unsigned { Varint = 0, Fixed64 = 1, Delimited = 2, Fixed32 = 5 };

// Removes a varint from the beginning. Returns nullopt if it is truncated or too long.
std::optional<std::uint64_t> takeVarint(std::string_view &bytes)
{
    constexpr std::size_t kMaxVarintBytes = 10;
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < bytes.size() && i < kMaxVarintBytes; ++i) {
        const auto byte = static_cast<unsigned char>(bytes[i]);
        value |= static_cast<std::uint64_t>(byte & 0x7fU) << (7 * i);
        if (byte < 0x80) {
            bytes.remove_prefix(i + 1);
            return value;
        }
    }
    return std::nullopt;
}

// Removes bytes from the beginning. Returns nullopt if there are fewer.
std::optional<std::string_view> take(std::string_view &bytes, std::uint64_t size)
{
    if (size > bytes.size())
        return std::nullopt;
    const std::string_view taken = bytes.substr(0, size);
    bytes.remove_prefix(size);
    return taken;
}

bool hasSoundLengths(std::string_view bytes, const Descriptor &type, int depth)
{
    while (!bytes.empty()) {
        const auto tag = takeVarint(bytes);
        if (!tag)
            return false;
        const unsigned wireType = *tag & ((1U << kWireTypeBits) - 1);
        const std::uint64_t number = *tag >> kWireTypeBits;
        if (wireType == Varint) {
            if (!takeVarint(bytes))
                return false;
        } else if (wireType == Fixed64 || wireType == Fixed32) {
            if (!take(bytes, wireType == Fixed64 ? 8 : 4))
                return false;
        } else if (wireType == Delimited) {
            const auto size = takeVarint(bytes);
            const auto content = size ? take(bytes, *size) : std::nullopt;
            if (!content || number > FieldDescriptor::kMaxNumber)
                return false;
            const FieldDescriptor *field = type.FindFieldByNumber(static_cast<int>(number));
            const bool isMessage = field && field->type() == FieldDescriptor::TYPE_MESSAGE;
            if (isMessage
                && (depth == kMaxDepth
                    || !hasSoundLengths(*content, *field->message_type(), depth + 1)))
                return false;
        } else {
            // Groups are not used.
            return false;
        }
    }
    return true;
}

} // namespace

bool parseMessage(std::string_view bytes, google::protobuf::Message &message)
{
    message.Clear();
    return bytes.size() <= static_cast<std::size_t>(std::numeric_limits<int>::max())
           && hasSoundLengths(bytes, *message.GetDescriptor(), 0)
           && message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
}

} // namespace auburn::proto
