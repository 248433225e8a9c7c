// What the caller of Membership has to do, and what Membership counts.
#ifndef HINGELINK_DECIDE_MEMBERSHIP_MEMBERSHIP_ACTIONS_H_
#define HINGELINK_DECIDE_MEMBERSHIP_MEMBERSHIP_ACTIONS_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "decide/membership/gossip_message.h"
#include "decide/membership/member.h"
#include "decide/membership/membership_event.h"

namespace hingelink::decide {

struct OutgoingMessage {
  PeerAddress to;
  GossipMessage message;
};

// To be executed in order.
struct MembershipActions {
  std::vector<OutgoingMessage> messages;
  std::vector<MembershipEvent> events;  // For the log.
  bool view_changed = false;            // A member was added or removed, or its phase or state changed.
};

// Since the start.
struct MembershipCounters {
  std::uint64_t suspicions = 0;
  std::uint64_t withdrawn_suspicions = 0;
  std::uint64_t removed = 0;      // Members declared dead.
  std::uint64_t returned = 0;     // Dead members that are alive again.
  std::uint64_t refutations = 0;  // Of statements about this node.
  std::uint64_t pauses = 0;       // Of this process.
  std::uint64_t stale_records = 0;
  std::uint64_t table_full = 0;  // Records of members for which there was no room.
};

namespace membership {

// Collects the actions and the counts of one call. Not thread-safe.
class ActionSink {
 public:
  // Adds a message to those to be sent.
  void Send(const PeerAddress& to, GossipMessage message) {
    actions_.messages.push_back({to, std::move(message)});
  }
  // Adds an event for the log; the meaning of `value` depends on the kind.
  void Report(MembershipEventKind kind, const std::string& member, double value = 0) {
    actions_.events.push_back({kind, member, value});
  }
  void MarkViewChanged() { actions_.view_changed = true; }

  [[nodiscard]] MembershipActions ReleaseActions() { return std::exchange(actions_, {}); }

  MembershipCounters& counters() { return counters_; }
  const MembershipCounters& counters() const { return counters_; }

 private:
  MembershipActions actions_;
  MembershipCounters counters_;
};

}  // namespace membership
}  // namespace hingelink::decide

#endif  // HINGELINK_DECIDE_MEMBERSHIP_MEMBERSHIP_ACTIONS_H_
