// Application state that travels with the membership messages: budgets, counts, versions.
//
// A topic is a decision module of its own. It is asked for a delta whenever a message is sent and has room,
// and for a part of its full state whenever two nodes compare their views. Payloads may be lost, repeated and
// reordered, so that receiving one twice, or late, must do no harm.
#ifndef HINGELINK_DECIDE_MEMBERSHIP_GOSSIP_TOPIC_H_
#define HINGELINK_DECIDE_MEMBERSHIP_GOSSIP_TOPIC_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "decide/membership/gossip_message.h"
#include "decide/membership/member.h"
#include "decide/milliseconds.h"

namespace hingelink::decide {

// Called on the thread of the owner of GossipTopics.
class GossipTopic {
 public:
  virtual ~GossipTopic() = default;
  // Names the topic on the wire. Never used for another topic.
  [[nodiscard]] virtual std::uint8_t id() const = 0;
  // Changes for the node at `to`, in at most `max_bytes`. Empty if there are none.
  [[nodiscard]] virtual std::string EncodeDelta(Milliseconds now, const PeerAddress& to,
                                                std::size_t max_bytes) = 0;
  // A part of the full state in at most `max_bytes`; successive calls cycle through all parts.
  [[nodiscard]] virtual std::string EncodeFullState(Milliseconds now, const PeerAddress& to,
                                                    std::size_t max_bytes) = 0;
  // A payload of this topic has arrived.
  virtual void OnMessage(Milliseconds now, const MemberRecord& from, std::string_view body) = 0;
};

// Upper bound of the payloads of one message, all topics together. Records of members take precedence.
inline constexpr std::size_t kMaxPayloadBytes = 600;
// Upper bound of what the encoding of a payload adds to its body.
inline constexpr std::size_t kPayloadOverheadBytes = 8;

// The topics of a node. Not thread-safe.
class GossipTopics {
 public:
  // `topic` must outlive the object, and no two topics may have the same id.
  void Register(GossipTopic& topic) { topics_.push_back(&topic); }
  // Adds payloads to a message as long as its encoded size stays within `max_message_bytes`. The topics take
  // turns at being the first.
  void AppendPayloads(Milliseconds now, const PeerAddress& to, GossipMessage& message,
                      std::size_t max_message_bytes);
  // Passes the payloads of a message to their topics. Unknown topics, of a later version, are ignored.
  void Dispatch(Milliseconds now, const GossipMessage& message);

 private:
  std::vector<GossipTopic*> topics_;
  std::size_t first_ = 0;
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_MEMBERSHIP_GOSSIP_TOPIC_H_
