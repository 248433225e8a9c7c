// The wire format of gossip messages: CBOR (RFC 8949), arrays whose elements are identified by position.
#ifndef HINGELINK_FLEET_CODEC_H_
#define HINGELINK_FLEET_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "decide/membership/gossip_message.h"

namespace hingelink::fleet {

// At most decide::MaxEncodedSize(message) bytes.
[[nodiscard]] std::string Encode(const decide::GossipMessage& message);
// None if the bytes are no message, or one with a value out of bounds. Never throws.
[[nodiscard]] std::optional<decide::GossipMessage> Decode(std::string_view bytes);

}  // namespace hingelink::fleet

#endif  // HINGELINK_FLEET_CODEC_H_
