#include "decide/membership/gossip_topic.h"

#include <algorithm>
#include <utility>

namespace hingelink::decide {
namespace {

bool IsSync(const GossipMessage& message) {
  return message.kind == GossipMessageKind::kSyncRequest || message.kind == GossipMessageKind::kSyncResponse;
}

// Adds a payload, and subtracts what it takes from `room`. Bodies that are too long are dropped.
void Append(std::uint8_t topic, std::string body, GossipMessage& message, std::size_t& room) {
  const std::size_t bytes = body.size() + kPayloadOverheadBytes;
  if (body.empty() || bytes > room) return;
  room -= bytes;
  message.payloads.push_back({topic, std::move(body)});
}

}  // namespace

void GossipTopics::AppendPayloads(Milliseconds now, const PeerAddress& to, GossipMessage& message,
                                  std::size_t max_message_bytes) {
  if (topics_.empty()) return;
  const std::size_t used = MaxEncodedSize(message);
  std::size_t room = std::min(kMaxPayloadBytes, max_message_bytes > used ? max_message_bytes - used : 0);
  first_ = (first_ + 1) % topics_.size();
  for (std::size_t i = 0; i < topics_.size(); ++i) {
    GossipTopic& topic = *topics_[(first_ + i) % topics_.size()];
    if (room <= kPayloadOverheadBytes) return;
    Append(topic.id(), topic.EncodeDelta(now, to, room - kPayloadOverheadBytes), message, room);
    if (!IsSync(message) || room <= kPayloadOverheadBytes) continue;
    Append(topic.id(), topic.EncodeFullState(now, to, room - kPayloadOverheadBytes), message, room);
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
