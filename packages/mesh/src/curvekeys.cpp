#include "auburn/mesh/curvekeys.h"

#include "auburn/core/lasterror.h"

#include <array>
#include <cstdint>
#include <zmq.h>

namespace auburn {

namespace {

constexpr std::size_t kKeyBytes = 32;
constexpr std::size_t kKeyTextLength = 40;

using KeyText = std::array<char, kKeyTextLength + 1>;

} // namespace

std::optional<CurveKeyPair> makeCurveKeyPair()
{
    KeyText publicKey{};
    KeyText secretKey{};
    if (zmq_curve_keypair(publicKey.data(), secretKey.data()) != 0) {
        setLastError("libzmq does not support CURVE");
        return std::nullopt;
    }
    return CurveKeyPair{ .publicKey = publicKey.data(), .secretKey = secretKey.data() };
}

bool isCurveKey(std::string_view text)
{
    if (text.size() != kKeyTextLength)
        return false;
    std::array<std::uint8_t, kKeyBytes> bytes{};
    return zmq_z85_decode(bytes.data(), std::string(text).c_str()) != nullptr;
}

std::optional<std::string> parseCurveKey(std::string_view text)
{
    constexpr std::string_view kWhitespace = " \t\r\n";
    const std::size_t first = text.find_first_not_of(kWhitespace);
    if (first != std::string_view::npos)
        text = text.substr(first, text.find_last_not_of(kWhitespace) - first + 1);
    if (isCurveKey(text))
        return std::string(text);
    setLastError("not a CURVE key: expected 40 characters of Z85 text");
    return std::nullopt;
}

std::optional<std::string> curvePublicKey(const std::string &secretKey)
{
    KeyText publicKey{};
    if (isCurveKey(secretKey) && zmq_curve_public(publicKey.data(), secretKey.c_str()) == 0)
        return std::string(publicKey.data());
    setLastError("not a CURVE secret key");
    return std::nullopt;
}

} // namespace auburn
