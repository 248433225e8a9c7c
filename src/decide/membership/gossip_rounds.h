// Periodic rounds of gossip, which disseminate changes sooner than probes and their answers alone would
// (SWIM, section 4.1).
#ifndef HINGELINK_DECIDE_MEMBERSHIP_GOSSIP_ROUNDS_H_
#define HINGELINK_DECIDE_MEMBERSHIP_GOSSIP_ROUNDS_H_

#include "decide/membership/broadcast_queue.h"
#include "decide/membership/gossip_sender.h"
#include "decide/membership/gossip_timer.h"
#include "decide/membership/local_member.h"
#include "decide/membership/member_table.h"
#include "decide/membership/membership_options.h"
#include "decide/milliseconds.h"

namespace hingelink::decide::membership {

// Not thread-safe. All references must outlive the object.
class GossipRounds {
 public:
  GossipRounds(const MembershipOptions& options, LocalMember& self, const MemberTable& table,
               const BroadcastQueue& broadcasts, GossipTimer& timer, GossipSender& sender)
      : options_(options),
        self_(self),
        table_(table),
        broadcasts_(broadcasts),
        timer_(timer),
        sender_(sender) {}

  // Sends a gossip message to each of MembershipOptions::gossip_fanout random live members, if the round is
  // due and is_pending().
  void Tick(Milliseconds now);
  // Whether there are queued broadcasts or changes of this node's own record to send. The GossipTimer
  // determines when the round is due.
  [[nodiscard]] bool is_pending() const { return !broadcasts_.empty() || self_.has_pending_rounds(); }

 private:
  const MembershipOptions& options_;
  LocalMember& self_;
  const MemberTable& table_;
  const BroadcastQueue& broadcasts_;
  GossipTimer& timer_;
  GossipSender& sender_;
};

}  // namespace hingelink::decide::membership

#endif  // HINGELINK_DECIDE_MEMBERSHIP_GOSSIP_ROUNDS_H_
