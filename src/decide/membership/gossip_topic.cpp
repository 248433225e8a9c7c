#include "decide/membership/gossip_topic.h"

#include <algorithm>
#include <utility>

namespace hingelink::decide {

void GossipTopics::AppendPayloads(Milliseconds now, const PeerAddress& to, GossipMessage& message,
                                  std::size_t most_bytes) {
  if (topics_.empty()) return;
  const std::size_t used = MaxEncodedSize(message);
  std::size_t room = std::min(kMaxPayloadBytes, most_bytes > used ? most_bytes - used : 0);
  const bool whole =
      message.kind == GossipMessageKind::kSyncRequest || message.kind == GossipMessageKind::kSyncResponse;
  first_ = (first_ + 1) % topics_.size();
  for (std::size_t i = 0; i < topics_.size(); ++i) {
    GossipTopic& topic = *topics_[(first_ + i) % topics_.size()];
    for (const bool part : {false, true}) {
      if (room <= kPayloadOverheadBytes || (part && !whole)) break;
      std::string body = part ? topic.EncodeFullState(now, to, room - kPayloadOverheadBytes)
                              : topic.EncodeDelta(now, to, room - kPayloadOverheadBytes);
      // Guards against a topic that takes more than it was given: its payload would make the message too
      // long.
      if (body.empty() || body.size() + kPayloadOverheadBytes > room) continue;
      room -= body.size() + kPayloadOverheadBytes;
      message.payloads.push_back({topic.id(), std::move(body)});
    }
  }
}

void GossipTopics::Dispatch(Milliseconds now, const GossipMessage& message) {
  if (message.records.empty()) return;
  for (const Payload& payload : message.payloads) {
    for (GossipTopic* topic : topics_) {
      if (topic->id() == payload.topic) topic->OnMessage(now, message.records.front(), payload.body);
    }
  }
}

}  // namespace hingelink::decide
