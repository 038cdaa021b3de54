// Parses messages that others have sent.
#pragma once

#include <google/protobuf/message.h>

#include <string_view>

namespace auburn::proto {

// Parses the serialized message. Returns false if it is malformed; the message is then empty or
// incomplete.
//
// The protobuf library does not compare the length of a message with the rest of the message that
// contains it, and reserves up to 50 MB for a string in it before it finds that the bytes are
// missing. This function checks all lengths before anything is parsed.
bool parseMessage(std::string_view bytes, google::protobuf::Message &message);

} // namespace auburn::proto
