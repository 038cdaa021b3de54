#include "decoder.h"

#include "auburn/core/hash.h"

#include <algorithm>

namespace auburn::fuzz {

std::vector<std::string_view> dividedInput(std::string_view input)
{
    // A piece of one read, a few pieces, or pieces of a few bytes.
    constexpr std::size_t kLargestPieces[] = { std::size_t{ 64 } * 1024, 512, 8 };
    Random random(stableHash(input));
    const std::size_t largest = kLargestPieces[random() % std::size(kLargestPieces)];
    std::vector<std::string_view> pieces;
    while (!input.empty()) {
        const std::size_t size = std::min<std::size_t>(input.size(), 1 + random() % largest);
        pieces.push_back(input.substr(0, size));
        input.remove_prefix(size);
    }
    return pieces;
}

} // namespace auburn::fuzz
