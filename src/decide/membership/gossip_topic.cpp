#include "decide/membership/gossip_topic.h"

#include <algorithm>
#include <utility>

namespace hingelink::decide {
namespace {

bool IsSync(const GossipMessage& message) {
  return message.kind == GossipMessageKind::kSyncRequest || message.kind == GossipMessageKind::kSyncResponse;
}

// Appends a payload and subtracts its size from `available_bytes`. Drops a body that is empty or too long.
void Append(std::uint8_t topic, std::string body, GossipMessage& message, std::size_t& available_bytes) {
  const std::size_t bytes = body.size() + kPayloadOverheadBytes;
  if (body.empty() || bytes > available_bytes) return;
  available_bytes -= bytes;
  message.payloads.push_back({topic, std::move(body)});
}

}  // namespace

void GossipTopics::AppendPayloads(Milliseconds now, const PeerAddress& to, GossipMessage& message,
                                  std::size_t max_message_bytes) {
  if (topics_.empty()) return;
  const std::size_t used = MaxEncodedSize(message);
  std::size_t available_bytes =
      std::min(kMaxPayloadBytes, max_message_bytes > used ? max_message_bytes - used : 0);
  first_topic_ = (first_topic_ + 1) % topics_.size();
  for (std::size_t i = 0; i < topics_.size(); ++i) {
    GossipTopic& topic = *topics_[(first_topic_ + i) % topics_.size()];
    if (available_bytes <= kPayloadOverheadBytes) return;
    Append(topic.id(), topic.EncodeDelta(now, to, available_bytes - kPayloadOverheadBytes), message,
           available_bytes);
    if (!IsSync(message) || available_bytes <= kPayloadOverheadBytes) continue;
    Append(topic.id(), topic.EncodeFullState(now, to, available_bytes - kPayloadOverheadBytes), message,
           available_bytes);
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
