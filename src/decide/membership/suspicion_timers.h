// When suspicions time out.
//
// LHA-Suspicion of Lifeguard (Dadgar, Phillips, Currey 2017): a suspicion begins with the longest timeout,
// and each independent confirmation by another accuser shortens it towards the shortest one. Some time before
// the deadline a member is probed once more.
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

  // The timeout of a suspicion, by the number of its accusers.
  [[nodiscard]] Milliseconds Timeout(const Member& member, std::size_t live_members) const;

  // Sets the deadline, but not before Suspicion::earliest_deadline. The timer fires at the deadline or, if a
  // final probe is wanted, MembershipOptions::final_probe_lead earlier.
  void Schedule(Member& member, Milliseconds deadline, bool with_final_probe);
  void Cancel(Member& member);
  // Lets no suspicion time out before `earliest`, and has all suspects probed once more.
  void PostponeAll(Milliseconds earliest);

  [[nodiscard]] bool empty() const { return timers_.empty(); }
  // The timer that fires first; there must be one.
  [[nodiscard]] Milliseconds next_deadline() const { return timers_.begin()->first; }
  [[nodiscard]] Member& next_member() const { return *timers_.begin()->second; }

 private:
  using Timer = std::pair<Milliseconds, Member*>;
  // By time, then by name.
  struct Earlier {
    bool operator()(const Timer& left, const Timer& right) const;
  };

  const MembershipOptions& options_;
  std::set<Timer, Earlier> timers_;
};

}  // namespace hingelink::decide::membership

#endif  // HINGELINK_DECIDE_MEMBERSHIP_SUSPICION_TIMERS_H_
