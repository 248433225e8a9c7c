// A node under test. The test sends it the messages of its peers.
#ifndef HINGELINK_TESTS_DECIDE_MEMBERSHIP_MEMBERSHIP_NODE_H_
#define HINGELINK_TESTS_DECIDE_MEMBERSHIP_MEMBERSHIP_NODE_H_

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "decide/membership/membership.h"
#include "member_records.h"

namespace hingelink::decide {

class MembershipNode {
 public:
  // The node is named "self" and has process epoch 100.
  explicit MembershipNode(const MembershipOptions& options = {})
      : membership(options, MakeRecord("self", 100), {}, MakeRandomSource()) {}

  // Delivers a message with these records. The first one is the record of the sender.
  MembershipActions Receive(double now_ms, std::vector<MemberRecord> records) {
    const PeerAddress from{2, 1};
    return CountEvents(membership.OnMessage(Milliseconds(now_ms), from, MakeGossip(std::move(records))));
  }
  // Delivers a message from each of the members n0, n1, ... with process epoch 5, one per millisecond from
  // time 0.
  void ReceiveFromMembers(int count) {
    for (int i = 0; i < count; ++i) Receive(i, {MakeRecord("n" + std::to_string(i), 5)});
  }
  // Calls Tick() at each deadline up to `end_ms`.
  void RunUntil(double end_ms) {
    for (double now = membership.NextDeadline().count(); now <= end_ms;
         now = std::max(now + 1, membership.NextDeadline().count()))
      CountEvents(membership.Tick(Milliseconds(now)));
  }

  [[nodiscard]] std::optional<MemberRecord> Find(const std::string& name) const {
    for (const MemberView& view : membership.Members(Milliseconds(0))) {
      if (view.record.name == name) return view.record;
    }
    return std::nullopt;
  }
  // The number of reported events of this kind.
  [[nodiscard]] int CountReported(MembershipEventKind kind) const {
    const auto found = events_.find(kind);
    return found == events_.end() ? 0 : found->second;
  }

  Membership membership;

 private:
  MembershipActions CountEvents(MembershipActions actions) {
    for (const MembershipEvent& event : actions.events) ++events_[event.kind];
    return actions;
  }

  std::map<MembershipEventKind, int> events_;
};

}  // namespace hingelink::decide

#endif  // HINGELINK_TESTS_DECIDE_MEMBERSHIP_MEMBERSHIP_NODE_H_
