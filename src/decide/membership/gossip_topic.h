// What other shared state (budgets, counts, judgements, versions) sends along with the members' messages.
//
// A topic is a decision module of its own. It is asked for a delta whenever a message goes out and there is
// room in it, and for a part of everything it holds whenever two nodes compare their views (push-pull). Both
// may be lost, repeated or reordered on the way: what a topic tells must be safe to hear twice and late.
#ifndef HINGELINK_DECIDE_RIDER_H_
#define HINGELINK_DECIDE_RIDER_H_

#include <string>
#include <string_view>
#include <vector>

#include "decide/membership/gossip_message.h"
#include "decide/milliseconds.h"

namespace hingelink::decide {

class GossipTopic {
 public:
  virtual ~GossipTopic() = default;
  // Names it on the link; never used for anything else again.
  virtual std::uint8_t id() const = 0;
  // News for this peer in at most `room` bytes; empty: none.
  virtual std::string EncodeDelta(Milliseconds now, const PeerAddress& to, std::size_t room) = 0;
  // A part of all it holds, another one at each call until all has been told; at most `room` bytes.
  virtual std::string EncodeFullState(Milliseconds now, const PeerAddress& to, std::size_t room) = 0;
  virtual void OnMessage(Milliseconds now, const MemberRecord& from, std::string_view body) = 0;
};

// At most so many bytes of parcels in one message, all riders together: members' own news has gone first.
inline constexpr std::size_t kMaxPayloadBytes = 600;
inline constexpr std::size_t kPayloadOverheadBytes = 8;

class GossipTopics {
 public:
  void Register(GossipTopic& topic) { topics_.push_back(&topic); }
  // Fills what room the message has. GossipTopics take turns at being first.
  void AppendPayloads(Milliseconds now, const PeerAddress& to, GossipMessage& message,
                      std::size_t most_bytes);
  // Parcels of no topic known here are passed over: a later version's.
  void Dispatch(Milliseconds now, const GossipMessage& message);

 private:
  std::vector<GossipTopic*> topics_;
  std::size_t first_ = 0;
};

}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_RIDER_H_
