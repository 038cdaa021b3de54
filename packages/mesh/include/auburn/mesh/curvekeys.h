// Creates and validates CURVE keys in Z85 text form.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace auburn {

// CurveKeyPair holds two 32-byte keys, each encoded as 40 characters of Z85 text.
struct CurveKeyPair
{
    std::string publicKey;
    std::string secretKey;
};

// Creates a random key pair. Returns nullopt and sets lastError() if libzmq was built without
// CURVE.
std::optional<CurveKeyPair> makeCurveKeyPair();

// Returns true if the text is the Z85 encoding of a 32-byte key.
bool isCurveKey(std::string_view text);

// Strips surrounding whitespace and validates the key. Returns nullopt and sets lastError() if the
// text is not a key. The error message never contains the text, which may be a secret key.
std::optional<std::string> parseCurveKey(std::string_view text);

// Derives the public key from a secret key. Returns nullopt and sets lastError() if the argument is
// not a valid key.
std::optional<std::string> curvePublicKey(const std::string &secretKey);

} // namespace auburn
