// Application state that is piggybacked on the membership messages, such as budgets, counts and versions.
//
// Each gossip topic is implemented by a separate decision module. GossipTopics asks the topic for a delta for
// every message with space left, and also for a part of its full state for every sync request and sync
// response. Payloads may be lost, duplicated and reordered, so a topic must tolerate a payload that arrives
// twice or late.
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

// The interface of a gossip topic. Its methods are called on the thread that uses GossipTopics.
class GossipTopic {
 public:
  virtual ~GossipTopic() = default;
  // Identifies the topic on the wire. The id of a former topic must not be reused.
  [[nodiscard]] virtual std::uint8_t id() const = 0;
  // Returns the changes to send to the node at `to`, encoded in at most `max_bytes`; empty if there are none.
  [[nodiscard]] virtual std::string EncodeDelta(Milliseconds now, const PeerAddress& to,
                                                std::size_t max_bytes) = 0;
  // Returns a part of the full state, encoded in at most `max_bytes`. Successive calls cycle through all
  // parts.
  [[nodiscard]] virtual std::string EncodeFullState(Milliseconds now, const PeerAddress& to,
                                                    std::size_t max_bytes) = 0;
  // Handles a received payload of this topic. `from` is the record of the sender in the message.
  virtual void OnMessage(Milliseconds now, const MemberRecord& from, std::string_view body) = 0;
};

// Upper bound of the total size of the payloads of one message. Payloads get only the space that member
// records leave.
inline constexpr std::size_t kMaxPayloadBytes = 600;
// Upper bound of the bytes that the encoding of a payload adds to its body.
inline constexpr std::size_t kPayloadOverheadBytes = 8;

// The topics of a node. Not thread-safe.
class GossipTopics {
 public:
  // `topic` must outlive the object, and no two topics may have the same id.
  void Register(GossipTopic& topic) { topics_.push_back(&topic); }
  // Appends payloads to a message as long as its encoded size stays within `max_message_bytes`. Each call
  // begins with the next topic in turn, so that every topic gets its share of the space.
  void AppendPayloads(Milliseconds now, const PeerAddress& to, GossipMessage& message,
                      std::size_t max_message_bytes);
  // Passes the payloads of a message to their topics. Ignores unknown topics, which a node of a later version
  // may send.
  void Dispatch(Milliseconds now, const GossipMessage& message);

 private:
  std::vector<GossipTopic*> topics_;
  std::size_t first_topic_ = 0;  // The index of the topic with which the latest call began.
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_MEMBERSHIP_GOSSIP_TOPIC_H_
