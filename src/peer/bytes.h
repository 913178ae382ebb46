#pragma once

#include <cstdint>
#include <google/protobuf/message_lite.h>
#include <vector>

namespace turmericpier::peer {

/// Serializes a protobuf message into the bytes that an envelope carries.
inline std::vector<uint8_t> toBytes(const google::protobuf::MessageLite& message)
{
    std::vector<uint8_t> bytes(message.ByteSizeLong());
    message.SerializeToArray(bytes.data(), static_cast<int>(bytes.size()));
    return bytes;
}

} // namespace turmericpier::peer
