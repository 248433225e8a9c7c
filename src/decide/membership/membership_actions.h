// The actions that the caller of Membership must execute, and the counters of Membership.
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

// The actions that one call of Membership requests. The messages and the events are each in order.
struct MembershipActions {
  std::vector<OutgoingMessage> messages;
  std::vector<MembershipEvent> events;  // Events to log.
  bool view_changed = false;  // A member was added, or the record of a member or of this node changed.
};

// Counts since the start of the process.
struct MembershipCounters {
  std::uint64_t suspicions = 0;
  std::uint64_t withdrawn_suspicions = 0;
  std::uint64_t removed = 0;        // Members declared dead.
  std::uint64_t returned = 0;       // Dead members that are alive again.
  std::uint64_t refutations = 0;    // Records about this node that it refuted.
  std::uint64_t pauses = 0;         // Pauses of this process.
  std::uint64_t stale_records = 0;  // Received records of outdated versions.
  std::uint64_t table_full = 0;     // Records of new members that were ignored as the member table was full.
};

namespace membership {

// Collects the actions of the current call, and holds the counters. Not thread-safe.
class ActionSink {
 public:
  // Adds a message to send.
  void Send(const PeerAddress& to, GossipMessage message) {
    actions_.messages.push_back({to, std::move(message)});
  }
  // Adds an event to log. The meaning of `value` depends on the kind (MembershipEventKind).
  void Report(MembershipEventKind kind, const std::string& member, double value = 0) {
    actions_.events.push_back({kind, member, value});
  }
  void MarkViewChanged() { actions_.view_changed = true; }

  // Returns the collected actions and clears them.
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
