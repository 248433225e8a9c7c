// The transitions of other members between alive, suspect and dead.
//
// Any node may suspect a member; the member itself ends the suspicion by a greater incarnation (SWIM, section
// 4.2), or else the suspicion times out (suspicion_timers.h) and the member is declared dead, unless the mass
// failure guard defers its removal.
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

  // Replaces the record of a member. If it is a suspect no longer, its suspicion ends.
  void Update(Milliseconds now, Member& member, const MemberRecord& record);
  // A node, perhaps this one, suspects the member: begins a suspicion or confirms the one that there is.
  void Suspect(Milliseconds now, Member& member, const std::string& accuser);
  // The suspicion has timed out, here or elsewhere. Removes the member, or defers that.
  void DeclareDead(Milliseconds now, Member& member);

  // Probes suspects once more, and declares those dead that have timed out.
  void Tick(Milliseconds now);

 private:
  void BeginSuspicion(Milliseconds now, Member& member, const std::string& accuser);
  // Returns whether the accuser is a new one that counts.
  bool ConfirmSuspicion(Member& member, const std::string& accuser);
  void DeferRemoval(Milliseconds now, Member& member);
  void AwaitGracePeriodEnd(Milliseconds now, Member& member);
  void Remove(Milliseconds now, Member& member);
  // Has the suspicion time out again, soon but not at once.
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
