// What the members tell each other as CBOR, and back. Arrays by place; decide::MaxEncodedSize() bounds the
// size.
#ifndef HINGELINK_FLEET_CODEC_H_
#define HINGELINK_FLEET_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "decide/membership/membership.h"

namespace hingelink::fleet {

std::string Encode(const decide::GossipMessage& message);
// Nothing where the bytes are no such message, or one out of bounds.
std::optional<decide::GossipMessage> Decode(std::string_view bytes);

}  // namespace hingelink::fleet

#endif  // HINGELINK_FLEET_CODEC_H_
