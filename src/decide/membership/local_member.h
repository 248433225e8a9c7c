// This node's own record: what it announces, and how it answers statements of others about it.
//
// Only the node itself raises its incarnation; it does so to refute a suspicion (SWIM, section 4.2) and to
// announce a new phase. If others know a greater process epoch under its name, its own becomes greater still.
#ifndef HINGELINK_DECIDE_MEMBERSHIP_LOCAL_MEMBER_H_
#define HINGELINK_DECIDE_MEMBERSHIP_LOCAL_MEMBER_H_

#include "decide/membership/broadcast_queue.h"
#include "decide/membership/gossip_timer.h"
#include "decide/membership/local_health.h"
#include "decide/membership/member.h"
#include "decide/membership/member_table.h"
#include "decide/membership/membership_actions.h"
#include "decide/membership/view_digest.h"
#include "decide/milliseconds.h"
#include "decide/random_source.h"

namespace hingelink::decide::membership {

// Not thread-safe. All references must outlive the object; `digest` includes the record.
class LocalMember {
 public:
  LocalMember(MemberRecord self, const RandomSource& random, ViewDigest& digest, const MemberTable& table,
              const BroadcastQueue& broadcasts, GossipTimer& gossip_timer, LocalHealth& health,
              ActionSink& actions);

  [[nodiscard]] const MemberRecord& record() const { return record_; }
  [[nodiscard]] const std::string& name() const { return record_.name; }

  // Announces another phase, as a new incarnation.
  void SetPhase(MemberPhase phase);
  // Announces a greater incarnation than its own and `seen`.
  void Refute(Milliseconds now, const MemberVersion& seen);
  // Another node has sent this record, which has this node's name.
  void OnRecord(Milliseconds now, const MemberRecord& record);

  // Whether rounds of gossip are still owed to the record itself.
  [[nodiscard]] bool has_pending_rounds() const { return pending_rounds_ > 0; }
  void OnGossipRound() { pending_rounds_ -= pending_rounds_ > 0 ? 1 : 0; }

 private:
  void Set(const MemberRecord& record);
  // Another process of this name has a greater epoch.
  void RaiseProcessEpoch(Milliseconds now, std::uint64_t seen);

  MemberRecord record_;
  const RandomSource& random_;
  ViewDigest& digest_;
  const MemberTable& table_;
  const BroadcastQueue& broadcasts_;
  GossipTimer& gossip_timer_;
  LocalHealth& health_;
  ActionSink& actions_;
  unsigned pending_rounds_ = 0;
  Milliseconds epoch_raised_at_{-1e9};
  int epoch_raises_ = 0;
};

}  // namespace hingelink::decide::membership

#endif  // HINGELINK_DECIDE_MEMBERSHIP_LOCAL_MEMBER_H_
