// This node's own record, which it announces to the other members, and its response to records about it that
// other nodes send.
//
// Only the node itself raises its incarnation, to refute a suspicion (SWIM, section 4.2) or to announce a new
// phase. If another node sends a record of this node's name with a greater process epoch, this node raises
// its own epoch above that one.
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

// Not thread-safe. All references must outlive the object. Keeps `digest` up to date with the record.
class LocalMember {
 public:
  LocalMember(MemberRecord self, const RandomSource& random, ViewDigest& digest, const MemberTable& table,
              const BroadcastQueue& broadcasts, GossipTimer& gossip_timer, LocalHealth& health,
              ActionSink& actions);

  [[nodiscard]] const MemberRecord& record() const { return record_; }
  [[nodiscard]] const std::string& name() const { return record_.name; }

  // Announces a new phase with a new incarnation.
  void SetPhase(MemberPhase phase);
  // Announces an incarnation that is greater than this node's current one and the one in `refuted`, and
  // requests a round of gossip.
  void Refute(Milliseconds now, const MemberVersion& refuted);
  // Handles a received record that has this node's name: refutes it or raises the process epoch, if needed.
  void OnRecord(Milliseconds now, const MemberRecord& record);

  // Whether the last change of the record is still to be sent in rounds of gossip.
  [[nodiscard]] bool has_pending_rounds() const { return pending_rounds_ > 0; }
  // Counts a round of gossip, which carries the record.
  void OnGossipRound() { pending_rounds_ -= pending_rounds_ > 0 ? 1 : 0; }

 private:
  void ReplaceRecord(const MemberRecord& record);
  // Raises the process epoch above `peer_epoch`, the greater epoch of another process of this node's name.
  void RaiseProcessEpoch(Milliseconds now, std::uint64_t peer_epoch);

  MemberRecord record_;
  const RandomSource& random_;
  ViewDigest& digest_;
  const MemberTable& table_;
  const BroadcastQueue& broadcasts_;
  GossipTimer& gossip_timer_;
  LocalHealth& health_;
  ActionSink& actions_;
  unsigned pending_rounds_ = 0;  // Rounds of gossip in which the record is still to be sent.
  Milliseconds epoch_raised_at_{-1e9};
  int epoch_raises_ = 0;
};

}  // namespace hingelink::decide::membership

#endif  // HINGELINK_DECIDE_MEMBERSHIP_LOCAL_MEMBER_H_
