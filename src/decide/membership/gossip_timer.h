// The time at which the next round of gossip is due.
#ifndef HINGELINK_DECIDE_MEMBERSHIP_GOSSIP_TIMER_H_
#define HINGELINK_DECIDE_MEMBERSHIP_GOSSIP_TIMER_H_

#include <algorithm>

#include "decide/milliseconds.h"

namespace hingelink::decide::membership {

// Shared by GossipRounds and the components that request a round. Not thread-safe.
class GossipTimer {
 public:
  [[nodiscard]] Milliseconds deadline() const { return deadline_; }
  void Set(Milliseconds deadline) { deadline_ = deadline; }
  // Makes the next round due now at the latest, for a change that other nodes should receive at once.
  void RequestRound(Milliseconds now) { deadline_ = std::min(deadline_, now); }

 private:
  Milliseconds deadline_{0};
};

}  // namespace hingelink::decide::membership

#endif  // HINGELINK_DECIDE_MEMBERSHIP_GOSSIP_TIMER_H_
