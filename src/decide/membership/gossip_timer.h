// When the next round of gossip is due.
#ifndef HINGELINK_DECIDE_MEMBERSHIP_GOSSIP_TIMER_H_
#define HINGELINK_DECIDE_MEMBERSHIP_GOSSIP_TIMER_H_

#include <algorithm>

#include "decide/milliseconds.h"

namespace hingelink::decide::membership {

// Not thread-safe.
class GossipTimer {
 public:
  [[nodiscard]] Milliseconds deadline() const { return deadline_; }
  void Set(Milliseconds deadline) { deadline_ = deadline; }
  // There is something that others should learn at once.
  void RequestRound(Milliseconds now) { deadline_ = std::min(deadline_, now); }

 private:
  Milliseconds deadline_{0};
};

}  // namespace hingelink::decide::membership

#endif  // HINGELINK_DECIDE_MEMBERSHIP_GOSSIP_TIMER_H_
