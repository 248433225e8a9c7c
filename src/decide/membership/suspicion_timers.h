// The timers of suspicions.
//
// Implements LHA-Suspicion of Lifeguard (Dadgar, Phillips, Currey 2017): a suspicion begins with the maximum
// timeout, and each confirmation by another accuser shortens it towards the minimum. Some time before the
// deadline, the timer fires for a final probe of the suspect.
#ifndef HINGELINK_DECIDE_MEMBERSHIP_SUSPICION_TIMERS_H_
#define HINGELINK_DECIDE_MEMBERSHIP_SUSPICION_TIMERS_H_

#include <cstddef>
#include <set>
#include <string>
#include <utility>

#include "decide/membership/member_table.h"
#include "decide/membership/membership_options.h"
#include "decide/milliseconds.h"

namespace hingelink::decide::membership {

// Not thread-safe. `options` must outlive the object; members must be cancelled before they are destroyed.
class SuspicionTimers {
 public:
  explicit SuspicionTimers(const MembershipOptions& options) : options_(options) {}

  // The timeout of the member's suspicion, counted from its beginning. It depends on the number of accusers.
  [[nodiscard]] Milliseconds Timeout(const Member& member, std::size_t live_members) const;

  // Sets the suspicion's deadline to `deadline` or Suspicion::earliest_deadline, whichever is later. The
  // timer fires at the deadline or, if `with_final_probe` is set, MembershipOptions::final_probe_lead
  // earlier.
  void Schedule(Member& member, Milliseconds deadline, bool with_final_probe);
  void Cancel(Member& member);
  // Moves the deadlines of all suspicions to `earliest` or later, and schedules a final probe of every
  // suspect.
  void PostponeAll(Milliseconds earliest);

  [[nodiscard]] bool empty() const { return timers_.empty(); }
  // The time at which the next timer fires, and its member. There must be a timer.
  [[nodiscard]] Milliseconds next_deadline() const { return timers_.begin()->first; }
  [[nodiscard]] Member& next_member() const { return *timers_.begin()->second; }

 private:
  using Timer = std::pair<Milliseconds, Member*>;
  // Orders by time, then by the member's name.
  struct TimerOrder {
    bool operator()(const Timer& left, const Timer& right) const;
  };

  const MembershipOptions& options_;
  std::set<Timer, TimerOrder> timers_;
};

}  // namespace hingelink::decide::membership

#endif  // HINGELINK_DECIDE_MEMBERSHIP_SUSPICION_TIMERS_H_
