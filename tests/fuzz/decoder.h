// Decoder: one decoder of external input, with the inputs that the fuzz test starts from.
#pragma once

#include <cstddef>
#include <functional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace auburn::fuzz {

using Random = std::mt19937_64;

struct Decoder
{
    std::string name;
    // Valid inputs.
    std::vector<std::string> corpus;
    // Must depend on nothing but the input, so that a fault can be replayed.
    std::function<void(std::string_view input)> decode;
    // Changes a field of a binary format whose lengths a change of single bytes would break. May be
    // empty.
    std::function<void(std::string &input, Random &random)> changeField;
    std::size_t maxBytes = std::size_t{ 64 } * 1024;
};

std::vector<Decoder> gatewayDecoders();
std::vector<Decoder> relayDecoders();
std::vector<Decoder> platformDecoders();
std::vector<Decoder> dutyDecoders();
std::vector<Decoder> peerDecoders();
std::vector<Decoder> commandDecoders();

// Divides the input at places that depend on nothing but the input, as reads from a socket do.
std::vector<std::string_view> dividedInput(std::string_view input);

} // namespace auburn::fuzz
