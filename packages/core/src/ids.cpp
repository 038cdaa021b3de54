#include "auburn/core/ids.h"

#include <QByteArray>
#include <QRandomGenerator>

#include <array>

namespace auburn {

namespace {

template<std::size_t Words>
std::string randomHex()
{
    std::array<quint32, Words> words{};
    QRandomGenerator::system()->fillRange(words.data(), static_cast<qsizetype>(words.size()));
    const auto *bytes = reinterpret_cast<const char *>(words.data());
    return QByteArray::fromRawData(bytes, sizeof(words)).toHex().toStdString();
}

} // namespace

std::string makeRandomId()
{
    return randomHex<4>();
}

std::string makeShortId()
{
    return randomHex<2>();
}

} // namespace auburn
