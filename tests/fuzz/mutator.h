// Mutator derives invalid and unusual inputs from valid ones. Equal seeds give equal sequences.
#pragma once

#include "decoder.h"

#include <cstdint>
#include <string>

namespace auburn::fuzz {

class Mutator
{
public:
    explicit Mutator(std::uint64_t seed)
        : random_(seed)
    {}

    std::string nextInput(const Decoder &decoder);

private:
    std::size_t below(std::size_t bound) { return bound == 0 ? 0 : random_() % bound; }
    const std::string &anyOf(const std::vector<std::string> &inputs);
    void mutate(std::string &input, const Decoder &decoder);
    void changeByte(std::string &input);
    void insertToken(std::string &input);
    void replaceNumber(std::string &input);
    void removeRange(std::string &input);
    void repeatRange(std::string &input, std::size_t maxBytes);
    void splice(std::string &input, const std::string &other);

    Random random_;
};

} // namespace auburn::fuzz
