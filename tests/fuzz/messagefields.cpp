#include "messagefields.h"

#include <array>
#include <cstdint>
#include <limits>

namespace auburn::fuzz {

namespace {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using google::protobuf::Reflection;

std::uint64_t anyNumber(Random &random)
{
    constexpr std::array<std::uint64_t, 12> kNumbers{
        0,
        1,
        2,
        255,
        std::numeric_limits<std::int32_t>::max(),
        std::numeric_limits<std::uint32_t>::max(),
        std::uint64_t{ std::numeric_limits<std::uint32_t>::max() } + 1,
        std::numeric_limits<std::int64_t>::max(),
        std::uint64_t{ 1 } << 63,
        std::numeric_limits<std::uint64_t>::max(),
        std::numeric_limits<std::uint64_t>::max() - 1,
        std::numeric_limits<std::int64_t>::max() / 1000000,
    };
    return random() % 4 == 0 ? random() >> random() % 64 : kNumbers[random() % kNumbers.size()];
}

std::string anyText(Random &random)
{
    const std::array<std::string, 9> texts{
        "",     "a",       "127.0.0.1:1",         "10.0.0.1:70000",        "tcp://127.0.0.1:1",
        "x:-1", "service", std::string(300, 'n'), std::string("\0\xff", 2)
    };
    return texts[random() % texts.size()];
}

// Calls set(value) with a value of the field's type.
template<typename SetNumber, typename SetText>
void setScalar(const FieldDescriptor &field, Random &random, SetNumber setNumber, SetText setText)
{
    if (field.cpp_type() == FieldDescriptor::CPPTYPE_STRING)
        setText(anyText(random));
    else
        setNumber(anyNumber(random));
}

void setSingle(Message &message, const FieldDescriptor &field, Random &random)
{
    const Reflection &reflection = *message.GetReflection();
    const auto setNumber = [&](std::uint64_t number) {
        switch (field.cpp_type()) {
        case FieldDescriptor::CPPTYPE_UINT64:
            return reflection.SetUInt64(&message, &field, number);
        case FieldDescriptor::CPPTYPE_UINT32:
            return reflection.SetUInt32(&message, &field, static_cast<std::uint32_t>(number));
        case FieldDescriptor::CPPTYPE_INT64:
            return reflection.SetInt64(&message, &field, static_cast<std::int64_t>(number));
        case FieldDescriptor::CPPTYPE_INT32:
            return reflection.SetInt32(&message, &field, static_cast<std::int32_t>(number));
        case FieldDescriptor::CPPTYPE_BOOL:
            return reflection.SetBool(&message, &field, number % 2 == 1);
        case FieldDescriptor::CPPTYPE_ENUM:
            return reflection.SetEnumValue(&message, &field, static_cast<int>(number % 8));
        default:
            return;
        }
    };
    setScalar(field, random, setNumber,
              [&](const std::string &text) { reflection.SetString(&message, &field, text); });
}

void addElement(Message &message, const FieldDescriptor &field, Random &random)
{
    const Reflection &reflection = *message.GetReflection();
    const auto addNumber = [&](std::uint64_t number) {
        switch (field.cpp_type()) {
        case FieldDescriptor::CPPTYPE_UINT64:
            return reflection.AddUInt64(&message, &field, number);
        case FieldDescriptor::CPPTYPE_UINT32:
            return reflection.AddUInt32(&message, &field, static_cast<std::uint32_t>(number));
        default:
            return;
        }
    };
    setScalar(field, random, addNumber,
              [&](const std::string &text) { reflection.AddString(&message, &field, text); });
}

void changeRepeated(Message &message, const FieldDescriptor &field, Random &random)
{
    const Reflection &reflection = *message.GetReflection();
    const int size = reflection.FieldSize(message, &field);
    const bool isMessage = field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE;
    if (size > 0 && random() % 4 == 0)
        reflection.RemoveLast(&message, &field);
    else if (!isMessage)
        addElement(message, field, random);
    else if (size == 0 || random() % 4 == 0)
        changeField(*reflection.AddMessage(&message, &field), random);
    else
        changeField(
                *reflection.MutableRepeatedMessage(
                        &message, &field, static_cast<int>(random() % static_cast<unsigned>(size))),
                random);
}

} // namespace

void changeField(Message &message, Random &random)
{
    const auto &descriptor = *message.GetDescriptor();
    if (descriptor.field_count() == 0)
        return;
    const Reflection &reflection = *message.GetReflection();
    const auto index = random() % static_cast<unsigned>(descriptor.field_count());
    const FieldDescriptor *field = descriptor.field(static_cast<int>(index));
    // The content that is there is changed more often than it is replaced by another one.
    if (const auto *choice = field->containing_oneof(); choice && random() % 16 != 0) {
        if (const auto *present = reflection.GetOneofFieldDescriptor(message, choice))
            field = present;
    }
    if (field->is_repeated())
        changeRepeated(message, *field, random);
    else if (field->cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE)
        changeField(*reflection.MutableMessage(&message, field), random);
    else
        setSingle(message, *field, random);
}

} // namespace auburn::fuzz
