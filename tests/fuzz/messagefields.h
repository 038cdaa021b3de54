// Changes fields of protobuf messages, for decoders whose input is a serialized message.
#pragma once

#include "decoder.h"

#include <google/protobuf/message.h>

#include <string>

namespace auburn::fuzz {

// Sets, adds or removes one field of the message or of a message in it.
void changeField(google::protobuf::Message &message, Random &random);

// The same for a serialized message; bytes that cannot be parsed are left as they are.
template<typename Message>
void changeSerializedField(std::string &bytes, Random &random)
{
    Message message;
    if (!message.ParseFromString(bytes))
        return;
    changeField(message, random);
    message.SerializeToString(&bytes);
}

} // namespace auburn::fuzz
