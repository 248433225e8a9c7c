// Defers the removal of members while many are silent at once: a partition, or a fault of this node's own
// link, appears as the failure of many others.
//
// A member is removed only if messages of enough others were received since it fell silent, and if no more
// than a fraction of the members is silent. Removals that are deferred resume when messages of the others
// arrive again, or after MembershipOptions::max_removal_deferral; then a grace period follows in which no
// member is removed.
#ifndef HINGELINK_DECIDE_MEMBERSHIP_MASS_FAILURE_GUARD_H_
#define HINGELINK_DECIDE_MEMBERSHIP_MASS_FAILURE_GUARD_H_

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "decide/membership/member_table.h"
#include "decide/membership/membership_options.h"
#include "decide/milliseconds.h"

namespace hingelink::decide::membership {

// Not thread-safe. `options` and `table` must outlive the object.
class MassFailureGuard {
 public:
  MassFailureGuard(const MembershipOptions& options, const MemberTable& table)
      : options_(options), table_(table) {}

  // A message of this member has arrived.
  void OnMessage(Milliseconds now, const std::string& name);
  // Since the last message of any member; none if there was no message.
  [[nodiscard]] std::optional<Milliseconds> SinceLastMessage(Milliseconds now) const;

  enum class Verdict {
    kRemove,
    kDefer,        // Too many are silent.
    kGracePeriod,  // Removals were deferred until a short time ago: decide again at GracePeriodEnd().
  };
  // Forgets the removals that are older than the window. To be called before a suspect is decided on.
  void ExpireRemovals(Milliseconds now);
  // What to do with a suspect that has timed out.
  [[nodiscard]] Verdict Decide(Milliseconds now, const Member& suspect) const;
  [[nodiscard]] Milliseconds GracePeriodEnd() const;

  // Defers the removal of a member. Returns whether it is the only one that is deferred.
  bool Defer(Milliseconds now, Member& member);
  // Defers it no longer, if it was deferred. Returns whether that was the last one.
  bool Release(Member& member);
  // The member was removed.
  void OnRemoved(Milliseconds now) { removals_.push_back(now); }

  [[nodiscard]] bool is_deferring() const { return deferred_ > 0; }
  // Since removals began to be deferred; of the last time, if none is deferred now.
  [[nodiscard]] Milliseconds DeferringFor(Milliseconds now) const { return now - deferring_since_; }

 private:
  struct RecentSender {
    Milliseconds at{0};
    std::string name;
  };

  [[nodiscard]] bool MayRemove(Milliseconds now, const Member& suspect) const;
  [[nodiscard]] std::size_t CountRecentSenders(Milliseconds since, const std::string& name) const;

  const MembershipOptions& options_;
  const MemberTable& table_;
  std::vector<RecentSender> recent_senders_;  // The latest first; each member once.
  std::deque<Milliseconds> removals_;         // Within the window.
  std::size_t deferred_ = 0;
  Milliseconds deferring_since_{0};
  Milliseconds last_deferral_{-1e9};
};

}  // namespace hingelink::decide::membership

#endif  // HINGELINK_DECIDE_MEMBERSHIP_MASS_FAILURE_GUARD_H_
