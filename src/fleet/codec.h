// The wire format of gossip messages: CBOR (RFC 8949) arrays whose elements are identified by their position.
#ifndef HINGELINK_FLEET_CODEC_H_
#define HINGELINK_FLEET_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "decide/membership/gossip_message.h"

namespace hingelink::fleet {

// Returns the encoded message, which has at most decide::MaxEncodedSize(message) bytes.
[[nodiscard]] std::string Encode(const decide::GossipMessage& message);
// Returns nullopt if the bytes are not a message or if one of its values is out of bounds. Never throws.
[[nodiscard]] std::optional<decide::GossipMessage> Decode(std::string_view bytes);

}  // namespace hingelink::fleet

#endif  // HINGELINK_FLEET_CODEC_H_
