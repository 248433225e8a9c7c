// A node under test, whose peers are played by the test.
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
  // Named "self", with process epoch 100.
  explicit MembershipNode(const MembershipOptions& options = {})
      : membership(options, MakeRecord("self", 100), {}, MakeRandomSource()) {}

  // Delivers a message with these records at this time.
  MembershipActions Receive(double now_ms, std::vector<MemberRecord> records) {
    const PeerAddress from{2, 1};
    return CountEvents(membership.OnMessage(Milliseconds(now_ms), from, MakeGossip(std::move(records))));
  }
  // Delivers a message of each of the members n0, n1, ... of process epoch 5, a millisecond apart.
  void ReceiveFromMembers(int count) {
    for (int i = 0; i < count; ++i) Receive(i, {MakeRecord("n" + std::to_string(i), 5)});
  }
  // Calls Tick() whenever it is due up to this time.
  void RunUntil(double end_ms) {
    for (double due = membership.NextDeadline().count(); due <= end_ms;
         due = std::max(due + 1, membership.NextDeadline().count()))
      CountEvents(membership.Tick(Milliseconds(due)));
  }

  [[nodiscard]] std::optional<MemberRecord> Find(const std::string& name) const {
    for (const MemberView& view : membership.Members(Milliseconds(0))) {
      if (view.record.name == name) return view.record;
    }
    return std::nullopt;
  }
  // How often an event was reported.
  [[nodiscard]] int Reported(MembershipEventKind kind) const {
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
