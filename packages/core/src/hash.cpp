#include "auburn/core/hash.h"

#include <QCryptographicHash>
#include <array>
#include <charconv>
#include <xxhash.h>

namespace auburn {

std::uint64_t stableHash(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

Hash128 stableHash128(std::string_view bytes)
{
    const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
    return Hash128{ .high = hash.high64, .low = hash.low64 };
}

std::string sha256Hex(std::string_view bytes)
{
    const QByteArrayView view(bytes.data(), static_cast<qsizetype>(bytes.size()));
    QCryptographicHash hash(QCryptographicHash::Sha256);
    hash.addData(view);
    return hash.result().toHex().toStdString();
}

std::string toHexadecimal(std::uint64_t number)
{
    constexpr int kBase = 16;
    std::array<char, 2 * sizeof(number)> digits{};
    const auto written = std::to_chars(digits.data(), digits.data() + digits.size(), number, kBase);
    return { digits.data(), written.ptr };
}

bool equalConstantTime(std::string_view left, std::string_view right)
{
    if (left.size() != right.size())
        return false;
    unsigned char difference = 0;
    for (std::size_t i = 0; i < left.size(); ++i)
        difference |= static_cast<unsigned char>(left[i] ^ right[i]);
    return difference == 0;
}

} // namespace auburn
