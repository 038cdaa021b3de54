// CURVE keys in Z85 text form: creation and validation.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace auburn {

// 32-byte keys as 40 characters of Z85 text.
struct CurveKeyPair
{
    std::string publicKey;
    std::string secretKey;
};

// A new random key pair; empty with lastError() set if libzmq was built without CURVE.
std::optional<CurveKeyPair> makeCurveKeyPair();

// True if the text is the Z85 form of a 32-byte key.
bool isCurveKey(std::string_view text);

// The key without surrounding white space; empty with lastError() set if it is not a key. The
// reason never holds the text, which may be a secret.
std::optional<std::string> parseCurveKey(std::string_view text);

// The public key that belongs to a secret key; empty with lastError() set if it is not a key.
std::optional<std::string> curvePublicKey(const std::string &secretKey);

} // namespace auburn
