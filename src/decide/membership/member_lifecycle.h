// The transitions of other members between alive, suspect and dead.
//
// Any node may suspect a member. The member refutes the suspicion by announcing a greater incarnation (SWIM,
// section 4.2). If it does not, the suspicion times out (suspicion_timers.h) and the member is declared dead,
// unless the mass failure guard defers its removal.
#ifndef HINGELINK_DECIDE_MEMBERSHIP_MEMBER_LIFECYCLE_H_
#define HINGELINK_DECIDE_MEMBERSHIP_MEMBER_LIFECYCLE_H_

#include <string>

#include "decide/membership/broadcast_queue.h"
#include "decide/membership/gossip_sender.h"
#include "decide/membership/gossip_timer.h"
#include "decide/membership/local_member.h"
#include "decide/membership/mass_failure_guard.h"
#include "decide/membership/member_table.h"
#include "decide/membership/membership_actions.h"
#include "decide/membership/membership_options.h"
#include "decide/membership/suspicion_timers.h"
#include "decide/milliseconds.h"

namespace hingelink::decide::membership {

// Not thread-safe. All references must outlive the object.
class MemberLifecycle {
 public:
  MemberLifecycle(const MembershipOptions& options, const LocalMember& self, MemberTable& table,
                  BroadcastQueue& broadcasts, SuspicionTimers& timers, MassFailureGuard& guard,
                  GossipTimer& gossip_timer, GossipSender& sender, ActionSink& actions);

  // Replaces the record of a member. Ends its suspicion if the new record is not in state kSuspect.
  void Update(Milliseconds now, Member& member, const MemberRecord& record);
  // Begins a suspicion of the member or, if it is a suspect already, confirms the suspicion. `accuser`: the
  // name of the node that suspects the member; it may be this node.
  void Suspect(Milliseconds now, Member& member, const std::string& accuser);
  // Handles a suspicion that has timed out at this node or at another one: removes the member, that is, sets
  // its state to kDead, unless the mass failure guard defers the removal.
  void DeclareDead(Milliseconds now, Member& member);

  // Sends the final probes of suspects that are due, and calls DeclareDead() for suspects whose suspicion has
  // timed out.
  void Tick(Milliseconds now);

 private:
  void BeginSuspicion(Milliseconds now, Member& member, const std::string& accuser);
  // Returns whether the confirmation counts: it is the accuser's first one, and more confirmations are
  // needed.
  bool ConfirmSuspicion(Member& member, const std::string& accuser);
  void DeferRemoval(Milliseconds now, Member& member);
  void AwaitGracePeriodEnd(Milliseconds now, Member& member);
  void Remove(Milliseconds now, Member& member);
  // Schedules the suspicion to time out at `deadline`, but not in the current tick.
  void Reschedule(Milliseconds now, Member& member, Milliseconds deadline, bool with_final_probe);

  const MembershipOptions& options_;
  const LocalMember& self_;
  MemberTable& table_;
  BroadcastQueue& broadcasts_;
  SuspicionTimers& timers_;
  MassFailureGuard& guard_;
  GossipTimer& gossip_timer_;
  GossipSender& sender_;
  ActionSink& actions_;
};

}  // namespace hingelink::decide::membership

#endif  // HINGELINK_DECIDE_MEMBERSHIP_MEMBER_LIFECYCLE_H_
